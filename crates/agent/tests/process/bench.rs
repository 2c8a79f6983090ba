//! An agent between entry processes played by the test and the stand-in endpoint.

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

/// Longest wait for anything in these tests; far above what a busy machine needs.
pub const WAIT: Duration = Duration::from_secs(30);

fn silent() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

struct Ring(Sender<LinkEvent>);

impl Sink for Ring {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        for event in events.drain(..) {
            let _gone = self.0.send(event);
        }
    }
}

/// An entry process played by the test.
pub struct Entry {
    links: Links,
    events: Receiver<LinkEvent>,
    pub link: LinkKey,
    pub credits: u32,
    pub beat: Heartbeat,
    /// The agent sent `Leaving`.
    pub left: bool,
    pub reports: VecDeque<TaskReport>,
    pub fences: VecDeque<FenceReport>,
    pub downs: usize,
}

impl Entry {
    pub fn open(name: &str, instance: u64, listen: &str) -> Self {
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
        let sink = Box::new(Ring(sender));
        let mut registry = Registry::default();
        let links = Links::spawn(settings, identity, sink, &mut registry, silent()).unwrap();
        Self {
            links,
            events,
            link: LinkKey(0),
            credits: 0,
            beat: Heartbeat::default(),
            left: false,
            reports: VecDeque::new(),
            fences: VecDeque::new(),
            downs: 0,
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

    /// Takes what the agent sends until `done`; heartbeats keep the link alive meanwhile.
    pub fn until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        let end = Instant::now() + WAIT;
        while !done(self) {
            assert!(Instant::now() < end, "{what}: not within {WAIT:?}");
            match self.events.recv_timeout(Duration::from_millis(500)) {
                Ok(event) => self.take(event),
                Err(_) => self.send(Body::Heartbeat(Heartbeat::default())),
            }
        }
    }

    fn take(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, .. } => self.link = link,
            LinkEvent::Down(_) => {
                self.downs += 1;
                self.credits = 0;
            }
            LinkEvent::Frame(_, Body::Grant(grant)) => self.credits += grant.credits,
            LinkEvent::Frame(_, Body::Report(report)) => {
                self.credits += report.credits;
                self.reports.extend(report.tasks);
            }
            LinkEvent::Frame(_, Body::FenceReport(part)) => self.fences.push_back(part),
            LinkEvent::Frame(_, Body::Leaving(_)) => self.left = true,
            LinkEvent::Frame(_, Body::Heartbeat(beat)) => self.beat = beat,
            LinkEvent::Frame(_, Body::Recall(_)) => {
                self.send(Body::Return(knapweedwall_wire::Return { credits: 0 }));
            }
            LinkEvent::Frame(..) => {}
        }
    }

    /// Waits for credits and starts tasks.
    pub fn start(&mut self, tasks: Vec<TaskStart>) {
        let needed = u32::try_from(tasks.len()).unwrap();
        self.until("credits", |entry| entry.credits >= needed);
        self.credits -= needed;
        self.send(Body::Start(Start { tasks }));
    }

    pub fn report(&mut self) -> TaskReport {
        self.until("a report", |entry| !entry.reports.is_empty());
        self.reports.pop_front().unwrap()
    }

    /// Starts a task and waits for its report.
    pub fn run(&mut self, start: TaskStart) -> TaskReport {
        self.start(vec![start]);
        self.report()
    }
}

pub fn key(job: u128) -> JobKey {
    JobKey::from(job)
}

pub fn task(job: u128, index: u32, payload: &'static str) -> TaskStart {
    TaskStart {
        job: key(job).to_bytes(),
        index,
        shard: 0,
        epoch: 1,
        class: "short".into(),
        payload: payload.into(),
        ..TaskStart::default()
    }
}

/// The stand-in endpoint on a runtime of its own.
pub struct Endpoint {
    runtime: Runtime,
    standin: StandinEndpoint,
}

impl Endpoint {
    pub fn open(slots: u32) -> Self {
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

    pub fn change(&self, change: impl FnOnce(&mut Controls)) {
        self.runtime.block_on(self.standin.change(change));
    }

    /// All starts in their order.
    pub fn ledger(&self) -> Vec<standin_endpoint::Start> {
        self.standin.ledger()
    }

    pub fn summary(&self) -> Summary {
        self.standin.summary()
    }

    /// Waits until the endpoint's counts are as expected.
    pub fn until(&self, what: &str, done: impl Fn(&Summary) -> bool) {
        let end = Instant::now() + WAIT;
        while !done(&self.summary()) {
            assert!(Instant::now() < end, "{what}: not within {WAIT:?}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

pub fn settings(slots: u32, endpoint: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    Settings {
        name: "agent-1".into(),
        zone: "z1".into(),
        endpoint: endpoint.to_string().into(),
        slots,
        seeds: seeds.iter().map(|seed| seed.to_string().into()).collect(),
        admin: "127.0.0.1:0".into(),
        stop_limit: WAIT,
        log: knapweedwall_runtime::log::Settings::default(),
        links: links::Limits::default(),
    }
}

/// An entry process, an agent and its endpoint, connected.
pub struct Bench {
    pub entry: Entry,
    pub endpoint: Endpoint,
    pub agent: Process,
}

impl Bench {
    pub fn open(slots: u32) -> Self {
        let endpoint = Endpoint::open(slots);
        let mut entry = Entry::open("entry-1", 11, "127.0.0.1:0");
        let settings = settings(slots, endpoint.address(), &[entry.address()]);
        let agent = Process::open(&settings, silent()).unwrap();
        entry.until("all slots", |entry| entry.credits == slots);
        Self {
            entry,
            endpoint,
            agent,
        }
    }
}
