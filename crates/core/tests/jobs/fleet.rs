//! Entry processes, agents, workers and callers in simulated time, in steps of one millisecond.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use knapweedwall_core::executor;
use knapweedwall_core::job::TaskId;
use knapweedwall_core::scheduler::{self, Answer};
use knapweedwall_core::{Event, LinkKey, Now};
use knapweedwall_wire::frame::Body;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use smol_str::SmolStr;

use crate::callers::Caller;
use crate::calls::{LateAnswer, LostCalls, PendingCall};
use crate::clocks::clocks;
use crate::peers::PeerLink;
use crate::store::Store;
use crate::worker::Worker;

/// Way between two processes.
pub const WAY_MS: u64 = 1;

/// Start of the simulated time: zero stands for "never" in the decisions.
const START_MS: u64 = 60_000;

/// Event of a job that has ended.
const JOB_ENDED: u16 = 304;

/// A host with a worker and its agent.
pub struct Host {
    pub agent: Option<executor::Machine>,
    pub instance: u64,
    pub worker: Worker,
    pub calls: Vec<PendingCall>,
    pub next_beat_ms: u64,
    pub beats: u64,
    pub draining: bool,
    pub frozen: bool,
    /// Labels of the worker.
    pub labels: Vec<SmolStr>,
    /// Description of the worker in the store.
    pub registration: Option<executor::Heartbeat>,
    /// Lifetime of the worker that calls are meant for.
    pub life: SmolStr,
    /// What arrived while the agent stood still; it reads this first.
    pub backlog: Vec<executor::Input>,
}

/// An entry process.
pub struct Entry {
    pub machine: Option<scheduler::Machine>,
    pub instance: u64,
    /// By how much the time of day of its machine is ahead.
    pub ahead_ms: i64,
    pub frozen: bool,
    /// What arrived while the process stood still; it reads this first.
    pub backlog: Vec<scheduler::Input>,
}

/// A connection between an entry process and an agent.
#[derive(Default)]
pub struct Link {
    pub key: Option<LinkKey>,
    /// Frames to the agent and to the entry process, with the time of arrival.
    pub down: VecDeque<(u64, Body)>,
    pub up: VecDeque<(u64, Body)>,
    pub cut: bool,
    /// Whether what is sent to the agent, or to the entry process, is held up.
    pub held: (bool, bool),
    pub relink_ms: u64,
}

/// The whole fleet.
pub struct Fleet {
    zones: usize,
    pub now_ms: u64,
    pub entries: Vec<Entry>,
    pub hosts: Vec<Host>,
    pub links: BTreeMap<(usize, usize), Link>,
    /// Connections between entry processes.
    pub peers: Vec<PeerLink>,
    pub store: Store,
    /// Answers to questions and cancellations, by call.
    pub replies: BTreeMap<u64, Answer>,
    pub callers: Vec<Caller>,
    pub next_key: u64,
    pub rng: ChaCha8Rng,
    pub late_answers: Vec<LateAnswer>,
    /// Share of the calls to workers without an answer, in percent; they are carried out late.
    pub late_percent: u32,
    /// Calls that get no answer.
    pub lost_calls: LostCalls,
    /// By how much such a call is late at least, and by how much at most beyond that.
    pub late_ms: (u64, u64),
    /// Time that each call to a worker takes longer than usual.
    pub slow_ms: u64,
    /// Limits of callers in the store.
    pub caller_limits: Vec<(SmolStr, Duration)>,
    pub faults: Vec<String>,
    /// Callers whose connections ended without an answer when a process ended as planned.
    pub cut_off: Vec<usize>,
    pub events: Vec<u16>,
    /// Jobs that have ended, by id, with the time that they took as the log has it.
    pub ended: BTreeMap<SmolStr, u64>,
    /// Calls that were made to workers.
    pub calls: u64,
}

impl Fleet {
    /// A fleet of workers with this processor and these speeds.
    pub fn new(entries: usize, workers: &[(u32, f64)], seed: u64) -> Self {
        Self::in_zones(1, entries, workers, seed)
    }

    /// The same with entry processes and workers spread evenly over availability zones.
    pub fn in_zones(zones: usize, entries: usize, workers: &[(u32, f64)], seed: u64) -> Self {
        let hosts = workers.iter().enumerate().map(|(at, (cpu, speed))| Host {
            agent: None,
            instance: 0,
            worker: Worker::new(*cpu, *speed, 1_000 + at as u64, 0),
            calls: Vec::new(),
            next_beat_ms: START_MS,
            beats: 0,
            draining: false,
            frozen: false,
            labels: vec!["a".into()],
            registration: None,
            life: SmolStr::default(),
            backlog: Vec::new(),
        });
        let mut fleet = Self {
            zones,
            now_ms: START_MS,
            entries: Vec::new(),
            hosts: hosts.collect(),
            links: BTreeMap::new(),
            peers: Vec::new(),
            store: Store::default(),
            replies: BTreeMap::new(),
            callers: Vec::new(),
            next_key: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            late_answers: Vec::new(),
            late_percent: 0,
            lost_calls: LostCalls::default(),
            late_ms: (2_000, 10_000),
            slow_ms: 0,
            caller_limits: Vec::new(),
            faults: Vec::new(),
            cut_off: Vec::new(),
            events: Vec::new(),
            ended: BTreeMap::new(),
            calls: 0,
        };
        for at in 0..entries {
            fleet.entries.push(Entry {
                machine: None,
                instance: 0,
                ahead_ms: 0,
                frozen: false,
                backlog: Vec::new(),
            });
            fleet.start_entry(at);
            fleet
                .peers
                .extend((0..at).map(|first| PeerLink::new(first, at)));
        }
        for at in 0..workers.len() {
            fleet.start_agent(at);
            for entry in 0..entries {
                fleet.links.insert((entry, at), Link::default());
            }
        }
        fleet.run(600);
        fleet
    }

    /// Zone of the entry process or host with this number.
    pub fn zone(&self, at: usize) -> SmolStr {
        format!("z{}", at % self.zones).into()
    }

    pub fn key(&mut self) -> u64 {
        self.next_key += 1;
        self.next_key
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    /// Clocks of an entry process.
    pub fn entry_now(&self, at: usize) -> Now {
        clocks(self.now_ms, self.entries[at].ahead_ms)
    }

    /// Clocks of an agent.
    pub fn agent_now(&self, at: usize) -> Now {
        clocks(self.now_ms, self.hosts[at].worker.ahead_ms)
    }

    pub fn worker(&mut self, at: usize) -> &mut Worker {
        &mut self.hosts[at].worker
    }

    /// Announces that a worker leaves.
    pub fn drain_worker(&mut self, at: usize) {
        self.hosts[at].draining = true;
        self.hosts[at].next_beat_ms = self.now_ms;
    }

    pub fn entry_input(&mut self, at: usize, input: scheduler::Input) {
        if self.entries[at].frozen {
            return self.entries[at].backlog.push(input);
        }
        let now = self.entry_now(at);
        let mut out = Vec::new();
        if let Some(machine) = &mut self.entries[at].machine {
            machine.step(now, input, &mut out);
        }
        self.entry_actions(at, out);
    }

    pub fn agent_input(&mut self, at: usize, input: executor::Input) {
        if self.hosts[at].frozen {
            return self.hosts[at].backlog.push(input);
        }
        let now = self.agent_now(at);
        let mut out = Vec::new();
        if let Some(machine) = &mut self.hosts[at].agent {
            machine.step(now, input, &mut out);
        }
        self.agent_actions(at, out);
    }

    pub fn entry_actions(&mut self, at: usize, actions: Vec<scheduler::Action>) {
        let due = self.now_ms + WAY_MS;
        for action in actions {
            match action {
                scheduler::Action::Reply(call, answer) => self.answer(at, call, answer),
                scheduler::Action::Send(key, body) => {
                    if let Some((_, link)) = self.link_of(key) {
                        link.down.push_back((due, body));
                    } else {
                        self.send_peer(at, key, body);
                    }
                }
                scheduler::Action::Store(key, call) => {
                    let instance = self.entries[at].instance;
                    self.store.call(self.now_ms, (at, instance), key, call);
                }
                scheduler::Action::StoreCallerLimits(limits) => self.caller_limits = limits,
                scheduler::Action::Close(key, _) => {
                    if self.close_peer(key) {
                        continue;
                    }
                    if let Some(((entry, host), _)) = self.link_of(key) {
                        self.reset_link(entry, host);
                    }
                }
                scheduler::Action::Exit => self.end_entry(at),
                scheduler::Action::Log(event) => {
                    self.trace(&format!("entry-{at}"), &event);
                    self.events.push(event.number);
                    if event.number == JOB_ENDED {
                        let field = |name| {
                            let mut fields = event.fields.iter();
                            fields.find(|(of, _)| *of == name).map(|(_, value)| value)
                        };
                        let took_ms = field("took_ms").and_then(|ms| ms.parse().ok());
                        let ended = field("job").map(SmolStr::from);
                        self.ended.extend(ended.zip(took_ms));
                    }
                }
                _ => {}
            }
        }
    }

    /// Prints the log of a run that is looked into; shown with `--nocapture`.
    pub fn trace(&self, process: &str, event: &Event) {
        if std::env::var_os("KNAPWEEDWALL_TRACE").is_some() {
            println!(
                "{} {process} {} {:?}",
                self.now_ms, event.text, event.fields
            );
        }
    }

    pub fn flush(&mut self) {
        for at in 0..self.entries.len() {
            if self.entries[at].frozen {
                continue;
            }
            let now = self.entry_now(at);
            let mut out = Vec::new();
            if let Some(machine) = &mut self.entries[at].machine {
                machine.flush(now, &mut out);
            }
            self.entry_actions(at, out);
        }
        for at in 0..self.hosts.len() {
            if self.hosts[at].frozen {
                continue;
            }
            let now = self.agent_now(at);
            let mut out = Vec::new();
            if let Some(machine) = &mut self.hosts[at].agent {
                machine.flush(now, &mut out);
            }
            self.agent_actions(at, out);
        }
    }

    /// Notes tasks that run twice at the same time.
    pub fn check(&mut self) {
        let mut seen: BTreeMap<&TaskId, usize> = BTreeMap::new();
        let mut found = Vec::new();
        for (at, host) in self.hosts.iter().enumerate() {
            if !host.worker.up {
                continue;
            }
            for run in host.worker.runs.keys() {
                if let Some(other) = seen.insert(&run.task, at) {
                    found.push(format!("{run} on {other} and {at}"));
                }
            }
        }
        for fault in found {
            if !self.faults.iter().any(|known| known.ends_with(&fault)) {
                self.faults.push(format!("{} ms: {fault}", self.now_ms));
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.relink();
            self.relink_peers();
            self.deliver();
            self.deliver_peers();
            self.deliver_store();
            for at in 0..self.hosts.len() {
                self.heartbeat(at);
                self.carry_out_calls(at);
            }
            self.answer_late();
            self.resend();
            self.flush();
            self.check();
        }
    }

    /// How often an event was logged.
    pub fn count(&self, event: u16) -> usize {
        let events = self.events.iter();
        events.filter(|&&number| number == event).count()
    }

    /// Ends the test if a rule was broken.
    pub fn assert_rules(&self) {
        assert_eq!(self.faults, Vec::<String>::new());
        assert_eq!(self.repeated(), Vec::<String>::new());
        assert_eq!(self.over_budget(), Vec::<String>::new());
        for host in &self.hosts {
            assert_eq!(host.worker.faults, Vec::<String>::new());
        }
    }

    /// Highest number of workers that have crashed under one task of a caller's job.
    pub fn most_crashes(&self, caller: usize) -> usize {
        let job = &self.callers[caller].request.id;
        let crashed = self.hosts.iter().flat_map(|host| &host.worker.crashed);
        let tasks: Vec<&TaskId> = crashed
            .map(|run| &run.task)
            .filter(|task| task.job == *job)
            .collect();
        let count = |task: &&TaskId| tasks.iter().filter(|other| *other == task).count();
        tasks.iter().map(count).max().unwrap_or_default()
    }

    /// Number of runs on a worker.
    pub fn running(&self, at: usize) -> usize {
        self.hosts[at].worker.runs.len()
    }

    /// Whether a run of a caller's job is on a worker.
    pub fn has_run_of(&self, caller: usize, at: usize) -> bool {
        let job = &self.callers[caller].request.id;
        let mut runs = self.hosts[at].worker.runs.keys();
        runs.any(|run| run.task.job == *job)
    }
}
