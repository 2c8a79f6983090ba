//! What an agent concludes from connections that its worker refuses, to the single outcome of a call.

use std::time::Duration;

use knapweedwall_core::executor::{
    Action, CallKey, Heartbeat, Input, Machine, Metrics, RenewalOutcome, RunLists, Settings,
    StartOutcome,
};
use knapweedwall_core::job::Resources;
use knapweedwall_core::{Instance, LinkKey, Now, PeerInfo, Role};
use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use rstest::rstest;

const LINK: LinkKey = LinkKey(7);

/// Time after which an agent whose worker was not reached accepts orders again.
const PAUSE_MS: u64 = 510;

/// An agent with one entry process and a worker that the test plays.
struct Agent {
    machine: Machine,
    now_ms: u64,
    out: Vec<Action>,
    orders: u64,
    beats: u64,
    /// Last state that was reported to the entry process.
    usable: bool,
    /// Ended runs that were reported: job and outcome.
    ended: Vec<(String, wire::RunOutcome)>,
}

impl Agent {
    /// An agent that has read the lists of a worker of lifetime 1.
    fn new() -> Self {
        let settings = Settings {
            worker: Some("127.0.0.1:1".into()),
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
        agent.heartbeat(1);
        agent.flush();
        agent.answer_renewals(1);
        agent
    }

    fn now(&self) -> Now {
        Now {
            mono: Duration::from_millis(self.now_ms),
            wall_ms: self.now_ms,
        }
    }

    fn input(&mut self, input: Input) {
        self.machine.step(self.now(), input, &mut self.out);
    }

    /// Ends a turn, and notes what was reported in it.
    fn flush(&mut self) {
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
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.now_ms += 5;
            self.input(Input::Tick);
            self.flush();
        }
    }

    fn heartbeat(&mut self, incarnation: u64) {
        self.beats += 1;
        let heartbeat = Heartbeat {
            instance: "w".into(),
            incarnation,
            service: "desk".into(),
            address: "127.0.0.1:1".into(),
            labels: Vec::new(),
            capacity: Resources {
                cpu: 16_000,
                memory: 64_000,
                gpus: 0,
            },
            draining: false,
            number: self.beats,
        };
        self.input(Input::Heartbeat(heartbeat));
    }

    /// Orders a job of one task. Returns the key of the start that the agent makes, if it makes one.
    fn order(&mut self, job: &str) -> Option<CallKey> {
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
    fn renewals(&mut self) -> Vec<CallKey> {
        let calls = std::mem::take(&mut self.out).into_iter();
        let renewals = calls.filter_map(|action| match action {
            Action::RenewLease { call, .. } => Some(call),
            _ => None,
        });
        renewals.collect()
    }

    /// Answers the renewals that were made with empty lists of this lifetime.
    fn answer_renewals(&mut self, incarnation: u64) {
        for call in self.renewals() {
            let lists = RunLists {
                incarnation: Some(incarnation),
                ..RunLists::default()
            };
            self.input(Input::RenewalCompleted {
                call,
                outcome: RenewalOutcome::Renewed(lists),
                clock_ms: Some(self.now_ms),
            });
        }
        self.flush();
    }

    fn refuse_renewal(&mut self, call: CallKey) {
        self.input(Input::RenewalCompleted {
            call,
            outcome: RenewalOutcome::ConnectionRefused,
            clock_ms: None,
        });
    }

    fn refuse_start(&mut self, call: CallKey) {
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

    fn accept_start(&mut self, call: CallKey) {
        self.input(Input::StartCompleted {
            call,
            outcome: StartOutcome::Started,
            clock_ms: Some(self.now_ms),
        });
    }

    fn ended(&self, job: &str) -> Option<wire::RunOutcome> {
        let mut ended = self.ended.iter();
        ended.find(|(of, _)| of == job).map(|(_, outcome)| *outcome)
    }
}

/// Guards against a start on the next lifetime of a worker that is reported as ended, and made anew
/// elsewhere, because of calls that the worker refused before: their outcomes are handled after it was
/// sent.
#[rstest]
fn refusals_do_not_end_later_starts() {
    let mut agent = Agent::new();
    let start = agent.order("0000000000000001").expect("a start");
    let renewals = agent.renewals();
    agent.refuse_start(start);
    for call in renewals {
        agent.refuse_renewal(call);
    }
    agent.flush();
    agent.run(PAUSE_MS);
    agent.order("0000000000000002");
    let renewals = agent.renewals();
    // The worker is back from here on.
    agent.now_ms += 2;
    let accepted = agent.order("0000000000000003");
    for call in renewals {
        agent.refuse_renewal(call);
    }
    agent.flush();
    if accepted.is_some() {
        assert_eq!(agent.ended("0000000000000003"), None);
    }
}

/// Guards against a worker that gets one order after the other while no process listens at its
/// address, because a start that could not be sent passes for a response.
#[rstest]
fn refused_starts_are_no_response() {
    let mut agent = Agent::new();
    assert!(agent.usable);
    let start = agent.order("0000000000000001").expect("a start");
    agent.refuse_start(start);
    agent.flush();
    assert_eq!(
        agent.ended("0000000000000001"),
        Some(wire::RunOutcome::Unusable)
    );
    for _ in 0..10 {
        for call in agent.renewals() {
            agent.refuse_renewal(call);
        }
        agent.run(100);
        assert!(!agent.usable);
    }
    assert_eq!(agent.order("0000000000000002"), None);
    agent.heartbeat(2);
    agent.flush();
    agent.answer_renewals(2);
    assert!(agent.order("0000000000000003").is_some());
}

/// Guards against tasks that wait for the end of the lease after their worker has crashed.
#[rstest]
fn confirmed_runs_end_with_the_crash() {
    let mut agent = Agent::new();
    let start = agent.order("0000000000000001").expect("a start");
    agent.accept_start(start);
    agent.flush();
    for _ in 0..20 {
        agent.now_ms += 5;
        agent.flush();
        for call in agent.renewals() {
            agent.refuse_renewal(call);
        }
    }
    agent.flush();
    let ended = agent.ended("0000000000000001");
    assert_eq!(ended, Some(wire::RunOutcome::Crashed));
}

/// Guards against a run that is taken for ended because of refusals that are handled after the worker
/// has responded again.
#[rstest]
fn refusals_before_a_response_count_no_more() {
    let mut agent = Agent::new();
    agent.order("0000000000000001");
    let mut earlier = agent.renewals();
    for _ in 0..30 {
        agent.now_ms += 10;
        agent.flush();
        earlier.extend(agent.renewals());
    }
    assert!(earlier.len() >= 3, "{}", earlier.len());
    agent.now_ms += 5;
    agent.heartbeat(2);
    agent.flush();
    agent.answer_renewals(2);
    let start = agent.order("0000000000000002").expect("a start");
    agent.accept_start(start);
    for call in earlier {
        agent.refuse_renewal(call);
    }
    agent.flush();
    assert_eq!(agent.ended("0000000000000002"), None);
}
