//! Test harness: an agent connected to entry processes simulated by the test and to the stand-in
//! endpoint.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use knapweedwall_agent::{Process, Settings};
use knapweedwall_core::{Instance, JobKey, LinkKey, Role};
use knapweedwall_lab::standin_endpoint::{self, Controls, StandinEndpoint, Summary};
use knapweedwall_runtime::links::{self, Identity, LinkEvent, Links, Sink};
use knapweedwall_wire::{FenceReport, Heartbeat, Start, TaskReport, TaskStart, frame::Body};
use prometheus_client::registry::Registry;
use slog::Logger;
use smol_str::SmolStr;
use tokio::runtime::Runtime;

/// Timeout of every wait in these tests, long enough for a heavily loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

fn discard_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

struct ChannelSink(Sender<LinkEvent>);

impl Sink for ChannelSink {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        for event in events.drain(..) {
            let _closed = self.0.send(event);
        }
    }
}

/// An entry process simulated by the test.
pub struct FakeEntry {
    links: Links,
    events: Receiver<LinkEvent>,
    /// Most recent link to the agent.
    pub link: LinkKey,
    /// Number of tasks that may be started.
    pub credits: u32,
    pub last_heartbeat: Heartbeat,
    /// Whether the agent has sent `Leaving`.
    pub leaving: bool,
    pub reports: VecDeque<TaskReport>,
    pub fence_reports: VecDeque<FenceReport>,
    /// Number of links that were closed.
    pub links_down: usize,
}

impl FakeEntry {
    pub fn start(name: &str, instance: u64, listen: &str) -> Self {
        let (sender, events) = bounded(65_536);
        let settings = links::Settings {
            listen: Some(listen.parse().unwrap()),
            ..links::Settings::default()
        };
        let identity = Identity {
            role: Role::Entry,
            name: name.into(),
            zone: "z1".into(),
            instance: Instance(instance),
            address: SmolStr::default(),
            slots: 0,
        };
        let sink = Box::new(ChannelSink(sender));
        let mut registry = Registry::default();
        let links =
            Links::spawn(settings, identity, sink, &mut registry, discard_logger()).unwrap();
        Self {
            links,
            events,
            link: LinkKey(0),
            credits: 0,
            last_heartbeat: Heartbeat::default(),
            leaving: false,
            reports: VecDeque::new(),
            fence_reports: VecDeque::new(),
            links_down: 0,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.links.address().unwrap()
    }

    pub fn send(&self, body: Body) {
        self.links.send(self.link, body);
    }

    pub fn close(self) {
        self.links.shutdown(Duration::from_secs(1));
    }

    /// Processes link events until `done` returns `true`, and sends heartbeats to keep the link
    /// alive. `what` describes the condition in the panic message on a timeout.
    pub fn wait_until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !done(self) {
            assert!(
                Instant::now() < deadline,
                "timed out after {TIMEOUT:?} waiting for {what}"
            );
            match self.events.recv_timeout(Duration::from_millis(500)) {
                Ok(event) => self.handle_event(event),
                Err(_) => self.send(Body::Heartbeat(Heartbeat::default())),
            }
        }
    }

    fn handle_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, .. } => self.link = link,
            LinkEvent::Down(_) => {
                self.links_down += 1;
                self.credits = 0;
            }
            LinkEvent::Frame(_, Body::Grant(grant)) => self.credits += grant.credits,
            LinkEvent::Frame(_, Body::Report(report)) => {
                self.credits += report.credits;
                self.reports.extend(report.tasks);
            }
            LinkEvent::Frame(_, Body::FenceReport(part)) => self.fence_reports.push_back(part),
            LinkEvent::Frame(_, Body::Leaving(_)) => self.leaving = true,
            LinkEvent::Frame(_, Body::Heartbeat(heartbeat)) => self.last_heartbeat = heartbeat,
            LinkEvent::Frame(_, Body::Recall(_)) => {
                self.send(Body::Return(knapweedwall_wire::Return { credits: 0 }));
            }
            LinkEvent::Frame(..) | LinkEvent::Refused(_) => {}
        }
    }

    /// Waits for enough credits and starts tasks.
    pub fn start_tasks(&mut self, tasks: Vec<TaskStart>) {
        let needed = u32::try_from(tasks.len()).unwrap();
        self.wait_until("credits", |entry| entry.credits >= needed);
        self.credits -= needed;
        self.send(Body::Start(Start { tasks }));
    }

    /// Waits for a task report.
    pub fn next_report(&mut self) -> TaskReport {
        self.wait_until("a report", |entry| !entry.reports.is_empty());
        self.reports.pop_front().unwrap()
    }

    /// Starts a task and waits for its report.
    pub fn run_task(&mut self, start: TaskStart) -> TaskReport {
        self.start_tasks(vec![start]);
        self.next_report()
    }
}

pub fn job_key(job: u128) -> JobKey {
    JobKey::from(job)
}

pub fn task_start(job: u128, index: u32, payload: &'static str) -> TaskStart {
    TaskStart {
        job: job_key(job).to_bytes(),
        index,
        shard: 0,
        epoch: 1,
        class: "short".into(),
        payload: payload.into(),
        ..TaskStart::default()
    }
}

/// The stand-in endpoint with its own Tokio runtime.
pub struct FakeEndpoint {
    runtime: Runtime,
    standin: StandinEndpoint,
}

impl FakeEndpoint {
    pub fn start(slots: u32) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let settings = standin_endpoint::Settings {
            slots,
            ..standin_endpoint::Settings::default()
        };
        let standin = runtime.block_on(StandinEndpoint::open(&settings)).unwrap();
        Self { runtime, standin }
    }

    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    pub fn update_controls(&self, update: impl FnOnce(&mut Controls)) {
        self.runtime.block_on(self.standin.change(update));
    }

    /// All task starts, in order.
    pub fn ledger(&self) -> Vec<standin_endpoint::Start> {
        self.standin.ledger()
    }

    pub fn summary(&self) -> Summary {
        self.standin.summary()
    }

    /// Polls the endpoint's summary until `done` returns `true`.
    pub fn wait_until(&self, what: &str, done: impl Fn(&Summary) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !done(&self.summary()) {
            assert!(
                Instant::now() < deadline,
                "timed out after {TIMEOUT:?} waiting for {what}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

pub fn agent_settings(slots: u32, endpoint: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    Settings {
        name: "agent-1".into(),
        zone: "z1".into(),
        endpoint: endpoint.to_string().into(),
        slots,
        seeds: seeds.iter().map(|seed| seed.to_string().into()).collect(),
        admin: "127.0.0.1:0".into(),
        stop_limit: TIMEOUT,
        log: knapweedwall_runtime::log::Settings::default(),
        links: links::Limits::default(),
    }
}

/// A connected set of an entry process, an agent and an endpoint.
pub struct Harness {
    pub entry: FakeEntry,
    pub endpoint: FakeEndpoint,
    pub agent: Process,
}

impl Harness {
    pub fn start(slots: u32) -> Self {
        let endpoint = FakeEndpoint::start(slots);
        let mut entry = FakeEntry::start("entry-1", 11, "127.0.0.1:0");
        let settings = agent_settings(slots, endpoint.address(), &[entry.address()]);
        let agent = Process::start(&settings, discard_logger()).unwrap();
        entry.wait_until("all slots", |entry| entry.credits == slots);
        Self {
            entry,
            endpoint,
            agent,
        }
    }
}
