//! Entry processes, agents, workers and callers in simulated time, in steps of one millisecond.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use knapweedwall_core::executor::{self, HoldOutcome, Refusal, StartOutcome, StopOutcome};
use knapweedwall_core::scheduler::{self, Answer, CallKey};
use knapweedwall_core::work::{Catalog, JobRequest, PhaseSpec, QueueRules, Room, RunId, TaskId};
use knapweedwall_core::{Event, Instance, LinkKey, Now, PeerInfo, Role};
use knapweedwall_wire::frame::Body;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use smol_str::SmolStr;

use crate::peers::PeerLink;
use crate::store::Store;
use crate::worker::{LEASE_MS, Worker, spec};

/// Way between two processes.
const WAY_MS: u64 = 1;

/// Pause before a lost connection is made anew.
const RELINK_MS: u64 = 60;

/// Pause of a worker's heartbeat.
const HEARTBEAT_MS: u64 = 500;

/// Time in which the platform's client waits for an answer of the worker.
const CALL_MS: u64 = 200;

/// Time that such a client waits for the lists beyond what the worker was asked to wait.
const HOLD_SLACK_MS: u64 = 100;

/// Pause before a caller that lost its answer submits again.
const RESEND_MS: u64 = 1_300;

/// Start of the simulated time: zero stands for "never" in the decisions.
const START_MS: u64 = 60_000;

/// A call to a worker on its way.
#[derive(Debug, Clone)]
enum Call {
    Start(executor::Order, u64, u64),
    Stop(RunId, u64),
    Hold {
        lease_ms: Option<u64>,
        fence: u64,
        acknowledged: u64,
        until_ms: u64,
    },
}

/// A call to a worker that waits to be carried out.
#[derive(Debug)]
struct PendingCall {
    key: executor::CallKey,
    call: Call,
    due_ms: u64,
    /// Nobody waits for the answer.
    lost: bool,
    /// Lifetime that the call is meant for; any when empty.
    life: SmolStr,
}

/// A host with a worker and its agent.
struct Host {
    agent: Option<executor::Machine>,
    instance: u64,
    pub worker: Worker,
    calls: Vec<PendingCall>,
    next_beat_ms: u64,
    beats: u64,
    draining: bool,
    frozen: bool,
    /// Lifetime of the worker that calls are meant for.
    life: SmolStr,
    /// What arrived while the agent stood still; it reads this first.
    backlog: Vec<executor::Input>,
}

/// An entry process.
struct Entry {
    machine: Option<scheduler::Machine>,
    instance: u64,
    frozen: bool,
    /// What arrived while the process stood still; it reads this first.
    backlog: Vec<scheduler::Input>,
}

/// A connection between an entry process and an agent.
#[derive(Default)]
struct Link {
    key: Option<LinkKey>,
    /// Frames to the agent and to the entry process, with the time of arrival.
    down: VecDeque<(u64, Body)>,
    up: VecDeque<(u64, Body)>,
    cut: bool,
    relink_ms: u64,
}

/// What a caller knows of its job.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    pub request: JobRequest,
    pub entry: usize,
    pub sent_ms: u64,
    pub answer: Option<Answer>,
    pub took_ms: u64,
    call: u64,
    resend_ms: Option<u64>,
}

/// The whole fleet.
pub struct Fleet {
    pub now_ms: u64,
    entries: Vec<Entry>,
    hosts: Vec<Host>,
    links: BTreeMap<(usize, usize), Link>,
    /// Connections between entry processes.
    pub peers: Vec<PeerLink>,
    pub store: Store,
    /// Answers to questions and cancellations, by call.
    replies: BTreeMap<u64, Answer>,
    pub callers: Vec<Caller>,
    next_key: u64,
    rng: ChaCha8Rng,
    late_answers: Vec<LateAnswer>,
    /// Share of the calls to workers without an answer, in percent; they are carried out late.
    pub late_percent: u32,
    /// Time that each call to a worker takes longer than usual.
    pub slow_ms: u64,
    pub faults: Vec<String>,
    pub events: Vec<u16>,
    /// Calls that were made to workers.
    pub calls: u64,
}

impl Fleet {
    /// A fleet of workers with this processor and these speeds.
    pub fn new(entries: usize, workers: &[(u32, f64)], seed: u64) -> Self {
        let hosts = workers.iter().enumerate().map(|(at, (cpu, speed))| Host {
            agent: None,
            instance: 0,
            worker: Worker::new(*cpu, *speed, 1_000 + at as u64),
            calls: Vec::new(),
            next_beat_ms: START_MS,
            beats: 0,
            draining: false,
            frozen: false,
            life: SmolStr::default(),
            backlog: Vec::new(),
        });
        let mut fleet = Self {
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
            slow_ms: 0,
            faults: Vec::new(),
            events: Vec::new(),
            calls: 0,
        };
        for at in 0..entries {
            fleet.entries.push(Entry {
                machine: None,
                instance: 0,
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

    pub fn key(&mut self) -> u64 {
        self.next_key += 1;
        self.next_key
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn now(&self) -> Now {
        Now {
            mono: Duration::from_millis(self.now_ms),
            wall_ms: self.now_ms,
        }
    }

    /// Starts an entry process.
    pub fn start_entry(&mut self, at: usize) {
        let instance = self.key();
        let name = format!("entry-{at}");
        let settings = scheduler::Settings {
            name: name.into(),
            zone: "a".into(),
            instance: Instance(instance),
            stop_accept: Duration::from_secs(2),
            stop_limit: Duration::from_secs(5),
        };
        let mut machine = scheduler::Machine::new(settings, scheduler::Metrics::default());
        let queue = |name: &str, attempts| QueueRules {
            name: name.into(),
            service: "desk".into(),
            attempts,
            target: Duration::from_millis(60),
            stretch: 1.6,
        };
        let catalog = Catalog {
            version: 1,
            queues: vec![queue("checks", 2), queue("patient", 9)],
        };
        let document = Bytes::from_static(b"{}");
        let input = scheduler::Input::Configure { catalog, document };
        machine.step(self.now(), input, &mut Vec::new());
        self.entries[at] = Entry {
            machine: Some(machine),
            instance,
            frozen: false,
            backlog: Vec::new(),
        };
    }

    /// Ends an entry process at once; callers lose their connections.
    pub fn kill_entry(&mut self, at: usize) {
        self.entries[at].machine = None;
        self.entries[at].frozen = false;
        self.entries[at].backlog.clear();
        self.reset_links(|entry, _| entry == at);
        self.reset_peers(|first, second| first == at || second == at);
        let resend_ms = self.now_ms + RESEND_MS;
        for caller in &mut self.callers {
            if caller.entry == at && caller.answer.is_none() {
                caller.resend_ms = Some(resend_ms);
            }
        }
    }

    /// Starts an agent.
    pub fn start_agent(&mut self, at: usize) {
        let instance = self.key();
        let settings = executor::Settings {
            worker: Some(format!("127.0.0.1:{at}").into()),
            lease: Duration::from_millis(LEASE_MS),
            stop_limit: Duration::from_secs(5),
        };
        let metrics = executor::Metrics::default();
        let machine = executor::Machine::new(self.now(), settings, metrics, &mut Vec::new());
        self.hosts[at].life = SmolStr::default();
        self.hosts[at].agent = Some(machine);
        self.hosts[at].instance = instance;
        self.hosts[at].next_beat_ms = self.now_ms + 100;
    }

    /// Ends an agent at once. Orders on their way to the worker are carried out.
    pub fn kill_agent(&mut self, at: usize) {
        self.hosts[at].agent = None;
        self.hosts[at].frozen = false;
        self.hosts[at].backlog.clear();
        for call in &mut self.hosts[at].calls {
            call.lost = true;
        }
        self.reset_links(|_, host| host == at);
    }

    /// Lets an entry process stand still or go on. Its decisions go on before what arrived
    /// meanwhile has been read.
    pub fn freeze_entry(&mut self, at: usize, frozen: bool) {
        let thaws = self.entries[at].frozen && !frozen;
        self.entries[at].frozen = frozen;
        let now = self.now();
        let mut out = Vec::new();
        if let Some(machine) = self.entries[at].machine.as_mut().filter(|_| thaws) {
            machine.flush(now, &mut out);
        }
        self.entry_actions(at, out);
        for input in std::mem::take(&mut self.entries[at].backlog) {
            self.entry_input(at, input);
        }
    }

    pub fn freeze_agent(&mut self, at: usize, frozen: bool) {
        self.hosts[at].frozen = frozen;
        for input in std::mem::take(&mut self.hosts[at].backlog) {
            self.agent_input(at, input);
        }
    }

    /// Cuts or heals the way between an entry process and an agent; nothing is reset.
    pub fn cut(&mut self, entry: usize, host: usize, cut: bool) {
        let link = self.links.get_mut(&(entry, host)).unwrap();
        link.cut = cut;
    }

    pub fn worker(&mut self, at: usize) -> &mut Worker {
        &mut self.hosts[at].worker
    }

    /// Announces that a worker leaves.
    pub fn drain_worker(&mut self, at: usize) {
        self.hosts[at].draining = true;
        self.hosts[at].next_beat_ms = self.now_ms;
    }

    pub fn stop_entry(&mut self, at: usize) {
        self.entry_input(at, scheduler::Input::Stop);
    }

    pub fn has_entry(&self, at: usize) -> bool {
        self.entries[at].machine.is_some()
    }

    /// Run of an entry process.
    pub fn instance_of(&self, at: usize) -> u64 {
        self.entries[at].instance
    }

    /// Whether an entry process runs and does not stand still.
    pub fn is_awake(&self, at: usize) -> bool {
        self.entries[at].machine.is_some() && !self.entries[at].frozen
    }

    pub fn has_agent(&self, at: usize) -> bool {
        self.hosts[at].agent.is_some()
    }

    fn reset_links(&mut self, which: impl Fn(usize, usize) -> bool) {
        let keys: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (entry, host) in keys {
            if which(entry, host) {
                self.reset_link(entry, host);
            }
        }
    }

    pub fn reset_link(&mut self, entry: usize, host: usize) {
        let relink_ms = self.now_ms + RELINK_MS;
        let link = self.links.get_mut(&(entry, host)).unwrap();
        let Some(key) = link.key.take() else {
            return;
        };
        link.up.clear();
        link.down.clear();
        link.relink_ms = relink_ms;
        self.entry_input(entry, scheduler::Input::LinkDown(key));
        self.agent_input(host, executor::Input::LinkDown(key));
    }

    fn relink(&mut self) {
        let keys: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (entry, host) in keys {
            let link = &self.links[&(entry, host)];
            let ready = link.key.is_none() && !link.cut && self.now_ms >= link.relink_ms;
            let (process, agent) = (&self.entries[entry], &self.hosts[host]);
            let alive = process.machine.is_some() && agent.agent.is_some();
            if !ready || !alive || process.frozen || agent.frozen {
                continue;
            }
            let key = LinkKey(self.key());
            let peer = |role, name: String, instance| PeerInfo {
                role,
                name: name.into(),
                zone: "a".into(),
                instance: Instance(instance),
                address: "127.0.0.1:1".into(),
                slots: 0,
            };
            let to_agent = peer(
                Role::Entry,
                format!("entry-{entry}"),
                self.entries[entry].instance,
            );
            let to_entry = peer(
                Role::Agent,
                format!("agent-{host}"),
                self.hosts[host].instance,
            );
            self.links.get_mut(&(entry, host)).unwrap().key = Some(key);
            let input = executor::Input::LinkUp {
                link: key,
                peer: to_agent,
                entries: Vec::new(),
            };
            self.agent_input(host, input);
            let input = scheduler::Input::LinkUp {
                link: key,
                peer: to_entry,
            };
            self.entry_input(entry, input);
        }
    }

    pub fn entry_input(&mut self, at: usize, input: scheduler::Input) {
        if self.entries[at].frozen {
            return self.entries[at].backlog.push(input);
        }
        let now = self.now();
        let mut out = Vec::new();
        if let Some(machine) = &mut self.entries[at].machine {
            machine.step(now, input, &mut out);
        }
        self.entry_actions(at, out);
    }

    fn agent_input(&mut self, at: usize, input: executor::Input) {
        if self.hosts[at].frozen {
            return self.hosts[at].backlog.push(input);
        }
        let now = self.now();
        let mut out = Vec::new();
        if let Some(machine) = &mut self.hosts[at].agent {
            machine.step(now, input, &mut out);
        }
        self.agent_actions(at, out);
    }

    fn link_of(&mut self, key: LinkKey) -> Option<((usize, usize), &mut Link)> {
        let mut links = self.links.iter_mut();
        links
            .find(|(_, link)| link.key == Some(key))
            .map(|(at, link)| (*at, link))
    }

    fn entry_actions(&mut self, at: usize, actions: Vec<scheduler::Action>) {
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
                scheduler::Action::Close(key, _) => {
                    if self.close_peer(key) {
                        continue;
                    }
                    if let Some(((entry, host), _)) = self.link_of(key) {
                        self.reset_link(entry, host);
                    }
                }
                scheduler::Action::Exit => self.kill_entry(at),
                scheduler::Action::Log(event) => {
                    self.trace(&format!("entry-{at}"), &event);
                    self.events.push(event.number);
                }
                _ => {}
            }
        }
    }

    fn agent_actions(&mut self, at: usize, actions: Vec<executor::Action>) {
        let due = self.now_ms + WAY_MS;
        let called = due + self.slow_ms;
        for action in actions {
            let (key, call) = match action {
                executor::Action::Send(key, body) => {
                    if let Some((_, link)) = self.link_of(key) {
                        link.up.push_back((due, body));
                    }
                    continue;
                }
                executor::Action::Close(key, _) => {
                    if let Some(((entry, host), _)) = self.link_of(key) {
                        self.reset_link(entry, host);
                    }
                    continue;
                }
                executor::Action::StartRun {
                    call,
                    order,
                    lease_ms,
                    fence,
                } => (call, Call::Start(order, lease_ms, fence)),
                executor::Action::StopRun { call, run, fence } => (call, Call::Stop(run, fence)),
                executor::Action::Hold {
                    call,
                    lease_ms,
                    fence,
                    acknowledged,
                    wait_ms,
                } => {
                    let call_made = Call::Hold {
                        lease_ms,
                        fence,
                        acknowledged,
                        until_ms: called + wait_ms,
                    };
                    (call, call_made)
                }
                executor::Action::Log(event) => {
                    self.trace(&format!("agent-{at}"), &event);
                    self.events.push(event.number);
                    continue;
                }
                executor::Action::Exit => {
                    self.kill_agent(at);
                    continue;
                }
                executor::Action::UseWorker { instance, .. } => {
                    self.hosts[at].life = instance;
                    continue;
                }
                _ => continue,
            };
            self.calls += 1;
            let late = self.random(100) < u64::from(self.late_percent);
            let limit = match &call {
                Call::Hold { .. } => HOLD_SLACK_MS,
                _ => CALL_MS,
            };
            let unheard = self.slow_ms > limit;
            let due_ms = if late {
                due + 2_000 + self.random(10_000)
            } else {
                called
            };
            if late || unheard {
                let input = no_answer(key, &call);
                let wait = match &call {
                    Call::Hold { until_ms, .. } => until_ms - called + limit,
                    _ => limit,
                };
                self.late_answers
                    .push((self.now_ms + wait, at, self.hosts[at].instance, input));
            }
            let pending = PendingCall {
                key,
                call,
                due_ms,
                lost: late || unheard,
                life: self.hosts[at].life.clone(),
            };
            self.hosts[at].calls.push(pending);
        }
    }

    /// Prints the log of a run that is looked into; shown with `--nocapture`.
    fn trace(&self, process: &str, event: &Event) {
        if std::env::var_os("KNAPWEEDWALL_TRACE").is_some() {
            println!(
                "{} {process} {} {:?}",
                self.now_ms, event.text, event.fields
            );
        }
    }

    fn carry_out_calls(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[at];
        host.worker.pass(now_ms);
        let mut inputs = Vec::new();
        let mut kept = Vec::new();
        for pending in std::mem::take(&mut host.calls) {
            if pending.due_ms > now_ms {
                kept.push(pending);
                continue;
            }
            if !host.worker.up {
                if !pending.lost {
                    inputs.push(no_answer(pending.key, &pending.call));
                }
                continue;
            }
            if !pending.life.is_empty() && pending.life != host.worker.instance().as_str() {
                if !pending.lost {
                    inputs.push(other_life(pending.key, &pending.call));
                }
                continue;
            }
            let clock_ms = Some(Worker::clock(now_ms));
            let (key, lost) = (pending.key, pending.lost);
            let input = match &pending.call {
                Call::Start(order, lease_ms, fence) => executor::Input::Started {
                    call: key,
                    outcome: host.worker.start(now_ms, order, *lease_ms, *fence),
                    clock_ms,
                },
                Call::Stop(run, fence) => executor::Input::Stopped {
                    call: key,
                    outcome: host.worker.stop(now_ms, run, *fence),
                    clock_ms,
                },
                Call::Hold {
                    lease_ms,
                    fence,
                    acknowledged,
                    until_ms,
                } => {
                    let outcome = host.worker.hold(now_ms, *lease_ms, *fence, *acknowledged);
                    if now_ms < *until_ms && !host.worker.has_news(*acknowledged) && !lost {
                        kept.push(pending);
                        continue;
                    }
                    executor::Input::Held {
                        call: key,
                        outcome,
                        clock_ms,
                    }
                }
            };
            if !lost {
                inputs.push(input);
            }
        }
        host.calls = kept;
        for input in inputs {
            self.agent_input(at, input);
        }
    }

    fn heartbeat(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        if self.now_ms < host.next_beat_ms || !host.worker.up {
            return;
        }
        host.next_beat_ms = self.now_ms + HEARTBEAT_MS;
        host.beats += 1;
        let beat = executor::Heartbeat {
            instance: host.worker.instance().into(),
            born: host.worker.born,
            service: "desk".into(),
            address: format!("127.0.0.1:{at}").into(),
            labels: vec!["a".into()],
            capacity: Room {
                cpu: host.worker.cpu,
                memory: 64_000,
                gpus: 0,
            },
            draining: host.draining,
            number: host.beats,
        };
        if host.agent.is_some() && !host.frozen {
            self.agent_input(at, executor::Input::Heartbeat(beat));
        }
    }

    /// Submits a job of equal tasks; returns the caller's number.
    pub fn submit(&mut self, entry: usize, queue: &str, job: Job) -> usize {
        self.submit_estimated(entry, queue, job, job.run_ms)
    }

    /// Submits a job whose caller estimates another run time than it has.
    pub fn submit_estimated(
        &mut self,
        entry: usize,
        queue: &str,
        job: Job,
        estimate_ms: u64,
    ) -> usize {
        let number = self.callers.len();
        let id = format!("{number:016x}");
        let phases = (0..job.phases).map(|at: u32| PhaseSpec {
            count: job.tasks,
            room: Room {
                cpu: job.cpu,
                memory: 64,
                gpus: 0,
            },
            estimate: Duration::from_millis(estimate_ms),
            after: at.checked_sub(1).into_iter().collect(),
            ..PhaseSpec::default()
        });
        let request = JobRequest {
            id: id.into(),
            queue: queue.into(),
            spec: spec(job.cpu, job.run_ms, job.fails).into(),
            phases: phases.collect(),
            wait: job.wait_ms.map(Duration::from_millis),
            durable: job.durable,
            unsupported: None,
        };
        self.callers.push(Caller {
            request,
            entry,
            sent_ms: self.now_ms,
            answer: None,
            took_ms: 0,
            call: 0,
            resend_ms: None,
        });
        self.send(number, entry);
        number
    }

    /// Submits the job of a caller once more, on a connection of its own.
    pub fn submit_again(&mut self, number: usize) -> usize {
        self.submit_again_at(number, self.callers[number].entry)
    }

    /// Submits the job of a caller once more, at another entry process.
    pub fn submit_again_at(&mut self, number: usize, entry: usize) -> usize {
        let again = self.callers.len();
        let mut caller = self.callers[number].clone();
        caller.answer = None;
        caller.sent_ms = self.now_ms;
        self.callers.push(caller);
        self.send(again, entry);
        again
    }

    fn send(&mut self, number: usize, entry: usize) {
        let call = self.key();
        let caller = &mut self.callers[number];
        caller.call = call;
        caller.entry = entry;
        caller.resend_ms = None;
        let job = Box::new(caller.request.clone());
        let input = scheduler::Input::Submit {
            call: CallKey(call),
            job,
        };
        self.entry_input(entry, input);
    }

    /// The caller closes its connection.
    pub fn leave(&mut self, number: usize) {
        let (entry, call) = (self.callers[number].entry, self.callers[number].call);
        self.callers[number].answer = Some(Answer::Cancelled);
        self.entry_input(entry, scheduler::Input::CallGone(CallKey(call)));
    }

    fn answer(&mut self, entry: usize, call: CallKey, answer: Answer) {
        let now_ms = self.now_ms;
        let mut callers = self.callers.iter_mut();
        let found = callers.find(|caller| caller.entry == entry && caller.call == call.0);
        let Some(caller) = found else {
            self.replies.insert(call.0, answer);
            return;
        };
        if answer == Answer::GaveUp {
            caller.resend_ms = Some(now_ms + RESEND_MS);
            return;
        }
        caller.answer = Some(answer);
        caller.took_ms = now_ms - caller.sent_ms;
    }

    /// State of a caller's job at an entry process.
    pub fn query(&mut self, entry: usize, number: usize) -> Option<Answer> {
        let id = self.callers[number].request.id.clone();
        self.ask(entry, |call| scheduler::Input::Query { call, id })
    }

    /// Cancels a caller's job at an entry process.
    pub fn cancel(&mut self, entry: usize, number: usize) -> Option<Answer> {
        let id = self.callers[number].request.id.clone();
        self.ask(entry, |call| scheduler::Input::Cancel { call, id })
    }

    fn ask(
        &mut self,
        entry: usize,
        input: impl FnOnce(CallKey) -> scheduler::Input,
    ) -> Option<Answer> {
        let call = self.key();
        self.entry_input(entry, input(CallKey(call)));
        self.run(100);
        self.replies.remove(&call)
    }

    /// Starts of tasks on all workers.
    pub fn starts(&self) -> u64 {
        self.hosts.iter().map(|host| host.worker.starts).sum()
    }

    /// Whether a task of a caller's job has started.
    pub fn has_started(&self, number: usize) -> bool {
        let id = &self.callers[number].request.id;
        let starts = self.hosts.iter().flat_map(|host| &host.worker.started);
        starts.into_iter().any(|(task, _)| task.job == *id)
    }

    /// Durable tasks that were started after an end `done` that was taken note of.
    fn repeated(&self) -> Vec<String> {
        let durable = |task: &TaskId| {
            let mut callers = self.callers.iter();
            callers.any(|caller| caller.request.id == task.job && caller.request.durable)
        };
        let workers = || self.hosts.iter().map(|host| &host.worker);
        let mut found = Vec::new();
        for (task, done_ms) in workers().flat_map(|worker| &worker.noted) {
            let starts = workers().flat_map(|worker| &worker.started);
            let mut again = starts.filter(|(other, at_ms)| other == task && at_ms > done_ms);
            if let Some((_, at_ms)) = again.next()
                && durable(task)
            {
                found.push(format!("{task} done at {done_ms}, started at {at_ms}"));
            }
        }
        found
    }

    fn resend(&mut self) {
        for number in 0..self.callers.len() {
            let due = self.callers[number].resend_ms;
            if due.is_none_or(|due| due > self.now_ms) {
                continue;
            }
            let alive: Vec<usize> = (0..self.entries.len())
                .filter(|at| self.entries[*at].machine.is_some())
                .collect();
            if !alive.is_empty() {
                let entry = alive[number % alive.len()];
                self.send(number, entry);
            }
        }
    }

    fn deliver(&mut self) {
        let keys: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (entry, host) in keys {
            loop {
                let now_ms = self.now_ms;
                let link = self.links.get_mut(&(entry, host)).unwrap();
                let ready = !link.cut && link.down.front().is_some_and(|(due, _)| *due <= now_ms);
                let Some(key) = link.key.filter(|_| ready) else {
                    break;
                };
                let (_, body) = link.down.pop_front().unwrap();
                self.agent_input(host, executor::Input::Frame(key, body));
            }
            loop {
                let now_ms = self.now_ms;
                let link = self.links.get_mut(&(entry, host)).unwrap();
                let ready = !link.cut && link.up.front().is_some_and(|(due, _)| *due <= now_ms);
                let Some(key) = link.key.filter(|_| ready) else {
                    break;
                };
                let (_, body) = link.up.pop_front().unwrap();
                self.entry_input(entry, scheduler::Input::Frame(key, body));
            }
        }
    }

    fn flush(&mut self) {
        let now = self.now();
        for at in 0..self.entries.len() {
            if self.entries[at].frozen {
                continue;
            }
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
            let mut out = Vec::new();
            if let Some(machine) = &mut self.hosts[at].agent {
                machine.flush(now, &mut out);
            }
            self.agent_actions(at, out);
        }
    }

    /// Notes tasks that run twice at the same time.
    fn check(&mut self) {
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

    fn answer_late(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<LateAnswer>;
        (due, self.late_answers) = std::mem::take(&mut self.late_answers)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        for (_, at, instance, input) in due {
            if self.hosts[at].instance == instance {
                self.agent_input(at, input);
            }
        }
    }

    /// How often an event was logged.
    pub fn count(&self, event: u16) -> usize {
        let events = self.events.iter();
        events.filter(|&&number| number == event).count()
    }

    /// Lets time pass until all callers have an answer, for at most `ms`.
    pub fn finish(&mut self, ms: u64) {
        for _ in 0..ms {
            if self.callers.iter().all(|caller| caller.answer.is_some()) {
                return;
            }
            self.run(1);
        }
    }

    /// Ends the test if a rule was broken.
    pub fn assert_rules(&self) {
        assert_eq!(self.faults, Vec::<String>::new());
        assert_eq!(self.repeated(), Vec::<String>::new());
        for host in &self.hosts {
            assert_eq!(host.worker.faults, Vec::<String>::new());
        }
    }

    /// Answer to a caller.
    pub fn answer_to(&self, number: usize) -> Option<&Answer> {
        self.callers[number].answer.as_ref()
    }

    /// Number of runs on a worker.
    pub fn running(&self, at: usize) -> usize {
        self.hosts[at].worker.runs.len()
    }
}

/// Time, host, lifetime of the agent, and outcome of a call without an answer.
type LateAnswer = (u64, usize, u64, executor::Input);

fn no_answer(key: executor::CallKey, call: &Call) -> executor::Input {
    let clock_ms = None;
    match call {
        Call::Start(..) => executor::Input::Started {
            call: key,
            outcome: StartOutcome::NoAnswer("no answer".into()),
            clock_ms,
        },
        Call::Stop(..) => executor::Input::Stopped {
            call: key,
            outcome: StopOutcome::NoAnswer("no answer".into()),
            clock_ms,
        },
        Call::Hold { .. } => executor::Input::Held {
            call: key,
            outcome: HoldOutcome::NoAnswer("no answer".into()),
            clock_ms,
        },
    }
}

fn other_life(key: executor::CallKey, call: &Call) -> executor::Input {
    let clock_ms = None;
    match call {
        Call::Start(..) => executor::Input::Started {
            call: key,
            outcome: StartOutcome::Refused(Refusal::OtherLife),
            clock_ms,
        },
        Call::Stop(..) => executor::Input::Stopped {
            call: key,
            outcome: StopOutcome::OtherLife,
            clock_ms,
        },
        Call::Hold { .. } => executor::Input::Held {
            call: key,
            outcome: HoldOutcome::OtherLife,
            clock_ms,
        },
    }
}

/// A job of equal tasks.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub tasks: u32,
    pub cpu: u32,
    pub run_ms: u64,
    pub fails: bool,
    pub wait_ms: Option<u64>,
    pub durable: bool,
    /// Phases, each after the one before it.
    pub phases: u32,
}

impl Job {
    pub fn new(tasks: u32, cpu: u32, run_ms: u64) -> Self {
        Self {
            tasks,
            cpu,
            run_ms,
            fails: false,
            wait_ms: None,
            durable: false,
            phases: 1,
        }
    }

    /// A job of several phases.
    pub fn phases(mut self, phases: u32) -> Self {
        self.phases = phases;
        self
    }

    /// A job that must be kept.
    pub fn durable(mut self) -> Self {
        self.durable = true;
        self
    }

    /// A job whose tasks fail.
    pub fn failing(mut self) -> Self {
        self.fails = true;
        self
    }
}
