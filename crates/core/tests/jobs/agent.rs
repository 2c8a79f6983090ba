//! An agent with one entry process, and a worker that the test plays outcome by outcome.

use std::time::Duration;

use knapweedwall_core::executor::{
    Action, CallKey, EndCause, EndedRun, Heartbeat, Input, Machine, Metrics, RenewalOutcome,
    RunLists, RunningRun, Settings, StartOutcome,
};
use knapweedwall_core::job::{Resources, RunId, TaskId};
use knapweedwall_core::{Instance, LinkKey, Now, PeerInfo, Role};
use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;

/// Link to the entry process.
const LINK: LinkKey = LinkKey(7);

/// The agent.
pub struct Agent {
    machine: Machine,
    pub now_ms: u64,
    pub out: Vec<Action>,
    orders: u64,
    beats: u64,
    /// Last state that was reported to the entry process.
    pub usable: bool,
    /// Ended runs that were reported: job and outcome.
    ended: Vec<(String, wire::RunOutcome)>,
}

impl Agent {
    /// An agent that has read the lists of a worker of lifetime 1 and has had a heartbeat.
    pub fn new() -> Self {
        let mut agent = Self::unread();
        agent.heartbeat(1);
        agent.flush();
        agent.answer_renewals(1);
        agent
    }

    /// The same, but it has resumed from the registration of the worker.
    pub fn resumed(found: Heartbeat) -> Self {
        let mut agent = Self::unread();
        agent.input(Input::RegistrationFound(found));
        agent.flush();
        agent.answer_renewals(1);
        agent.now_ms += 300;
        agent.flush();
        agent
    }

    /// An agent that has not read the lists of its worker.
    pub fn unread() -> Self {
        let settings = Settings {
            worker: "127.0.0.1:1".into(),
            zone: "z".into(),
            lease: Duration::from_secs(1),
            stop_limit: Duration::from_secs(5),
        };
        let now = Now {
            mono: Duration::from_secs(60),
            wall_ms: 60_000,
        };
        let machine = Machine::new(now, settings, Metrics::default(), &mut Vec::new());
        let mut agent = Self {
            machine,
            now_ms: 60_000,
            out: Vec::new(),
            orders: 0,
            beats: 0,
            usable: false,
            ended: Vec::new(),
        };
        let peer = PeerInfo {
            role: Role::Entry,
            name: "entry".into(),
            zone: "z".into(),
            instance: Instance(1),
            address: "127.0.0.1:2".into(),
            slots: 0,
        };
        agent.input(Input::LinkUp {
            link: LINK,
            peer,
            entries: Vec::new(),
        });
        agent
    }

    fn now(&self) -> Now {
        Now {
            mono: Duration::from_millis(self.now_ms),
            wall_ms: self.now_ms,
        }
    }

    pub fn input(&mut self, input: Input) {
        self.machine.step(self.now(), input, &mut self.out);
    }

    /// Ends a turn, and notes what was reported in it.
    pub fn flush(&mut self) {
        let now = self.now();
        self.machine.flush(now, &mut self.out);
        for action in &self.out {
            let Action::Send(_, Body::RunReports(reports)) = action else {
                continue;
            };
            let beat = wire::OwnerBeat {
                reports_seen: reports.number,
                entries: Vec::new(),
            };
            let worker = reports.worker.clone().unwrap_or_default();
            self.usable = worker.usable;
            for report in &reports.reports {
                let job = report.run.clone().unwrap_or_default().job;
                self.ended.push((job, report.outcome()));
            }
            let input = Input::Frame(LINK, Body::OwnerBeat(beat));
            self.machine.step(now, input, &mut Vec::new());
        }
    }

    /// Lets time pass in turns of 5 ms. Calls stay without an answer.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.now_ms += 5;
            self.input(Input::Tick);
            self.flush();
        }
    }

    /// Handles the next heartbeat of a lifetime.
    pub fn heartbeat(&mut self, incarnation: u64) {
        self.beats += 1;
        self.input(Input::Heartbeat(beat(incarnation, self.beats)));
    }

    /// Orders a job of one task. Returns the key of the start that the agent makes, if it makes one.
    pub fn order(&mut self, job: &str) -> Option<CallKey> {
        self.orders += 1;
        let room = Resources {
            cpu: 1_000,
            memory: 64,
            gpus: 0,
        };
        let phase = wire::PhaseOrder {
            job: job.to_owned(),
            phase: 0,
            spec: "spec".to_owned(),
            room: Some(room.into()),
            expected_ms: 50,
            slack_ms: 100,
            waits: false,
            tasks: vec![wire::TaskAttempt {
                index: 0,
                attempt: 1,
            }],
            epoch: 0,
            group: String::new(),
            label: String::new(),
            hold_ms: 0,
        };
        let orders = wire::RunOrders {
            number: self.orders,
            phases: vec![phase],
            ..wire::RunOrders::default()
        };
        let before = self.out.len();
        self.input(Input::Frame(LINK, Body::RunOrders(orders)));
        let made = self.out[before..].iter().find_map(|action| match action {
            Action::StartRun { call, .. } => Some(*call),
            _ => None,
        });
        self.flush();
        made
    }

    /// Takes the renewals that were made since the last call.
    pub fn renewals(&mut self) -> Vec<CallKey> {
        let calls = std::mem::take(&mut self.out).into_iter();
        let renewals = calls.filter_map(|action| match action {
            Action::RenewLease { call, .. } => Some(call),
            _ => None,
        });
        renewals.collect()
    }

    /// Answers the renewals that were made with empty lists of this lifetime.
    pub fn answer_renewals(&mut self, incarnation: u64) {
        self.answer_lists(&RunLists {
            incarnation: Some(incarnation),
            ..RunLists::default()
        });
    }

    /// Answers the renewals that were made with these lists.
    pub fn answer_lists(&mut self, lists: &RunLists) {
        for call in self.renewals() {
            self.input(Input::RenewalCompleted {
                call,
                outcome: RenewalOutcome::Renewed(lists.clone()),
                clock_ms: Some(self.now_ms),
            });
        }
        self.flush();
    }

    /// Answers the renewals that were made with lists in which a job's first run is running.
    pub fn answer_running(&mut self, incarnation: u64, job: &str) {
        let running = RunningRun {
            run: first_run(job),
            percent: 3,
        };
        self.answer_lists(&RunLists {
            incarnation: Some(incarnation),
            running: vec![running],
            ..RunLists::default()
        });
    }

    /// Takes the instances that calls were directed to since the last call.
    pub fn redirections(&mut self) -> Vec<String> {
        let actions = std::mem::take(&mut self.out).into_iter();
        let instances = actions.filter_map(|action| match action {
            Action::UseWorker { instance, .. } => Some(instance.to_string()),
            _ => None,
        });
        instances.collect()
    }

    /// Cursors of the renewals that were made since the last call.
    pub fn cursors(&mut self) -> Vec<u64> {
        let calls = std::mem::take(&mut self.out).into_iter();
        let cursors = calls.filter_map(|action| match action {
            Action::RenewLease { acknowledged, .. } => Some(acknowledged),
            _ => None,
        });
        cursors.collect()
    }

    /// Answers the renewals that were made with the end `done` of a job's run.
    pub fn end_run(&mut self, job: &str, number: u64) {
        let ended = EndedRun {
            number,
            run: first_run(job),
            cause: EndCause::Done,
        };
        self.answer_lists(&RunLists {
            incarnation: Some(1),
            ended: vec![ended],
            ..RunLists::default()
        });
    }

    /// Lets time pass in turns of 5 ms, in which the worker refuses the renewals that were made. Returns
    /// their number.
    pub fn refuse_renewals(&mut self, turns: u32) -> usize {
        let mut refused = 0;
        for _ in 0..turns {
            self.now_ms += 5;
            self.input(Input::Tick);
            self.flush();
            for call in self.renewals() {
                refused += 1;
                self.refuse_renewal(call);
            }
        }
        refused
    }

    pub fn refuse_renewal(&mut self, call: CallKey) {
        self.input(Input::RenewalCompleted {
            call,
            outcome: RenewalOutcome::ConnectionRefused,
            clock_ms: None,
        });
    }

    pub fn refuse_start(&mut self, call: CallKey) {
        let outcome = StartOutcome::NotSent {
            refused: true,
            cause: "connection refused".into(),
        };
        self.input(Input::StartCompleted {
            call,
            outcome,
            clock_ms: None,
        });
    }

    pub fn accept_start(&mut self, call: CallKey) {
        self.input(Input::StartCompleted {
            call,
            outcome: StartOutcome::Started,
            clock_ms: Some(self.now_ms),
        });
    }

    pub fn ended(&self, job: &str) -> Option<wire::RunOutcome> {
        let mut ended = self.ended.iter();
        ended.find(|(of, _)| of == job).map(|(_, outcome)| *outcome)
    }
}

/// First run of a job's only task.
pub fn first_run(job: &str) -> RunId {
    RunId {
        task: TaskId {
            job: job.into(),
            phase: 0,
            index: 0,
        },
        attempt: 1,
    }
}

/// A heartbeat of the worker.
pub fn beat(incarnation: u64, number: u64) -> Heartbeat {
    Heartbeat {
        instance: "w".into(),
        incarnation,
        service: "desk".into(),
        labels: Vec::new(),
        capacity: Resources {
            cpu: 16_000,
            memory: 64_000,
            gpus: 0,
        },
        draining: false,
        number,
    }
}
