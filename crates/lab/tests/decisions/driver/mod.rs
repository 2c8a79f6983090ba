//! Runs the decisions of entry processes and agents against each other in virtual time, with an
//! in-memory store and in-memory connections.
#![allow(
    clippy::unwrap_used,
    reason = "a test fails by panicking; clippy.toml allows it in test functions only"
)]

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use knapweedwall_core::agent::{
    Action as AgentAction, Agent, Input as AgentInput, LedgerLimits, Metrics, RunEnd, RunKey,
    Settings as AgentSettings,
};
use knapweedwall_core::config::{Change, Class};
use knapweedwall_core::entry::{
    Action, CallKey, Input, Machine, Metrics as EntryMetrics, Operation, Settings, StateMachine,
    StoreOpId,
};
use knapweedwall_core::store::{Failure, Outcome, Reply, Request, Row, Transaction};
use knapweedwall_core::{Instance, JobId, JobKey, LinkKey, Now, PeerInfo, Role, TaskRef};
use knapweedwall_lab::table::Engine;
use knapweedwall_wire::frame::Body;
use smol_str::{SmolStr, format_smolstr};

const STORE_MS: u64 = 5;
const FRAME_MS: u64 = 1;
const WALL_START_MS: u64 = 1_700_000_000_000;

mod calls;
mod faults;

/// A process in the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Place {
    Entry(usize),
    Agent(usize),
}

enum Event {
    LinkUp(LinkKey, PeerInfo),
    LinkDown(LinkKey),
    Frame(LinkKey, Body),
    Store(StoreOpId, Outcome),
    Call(Input),
    Ended(RunKey, RunEnd),
}

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    Up,
    /// Requests are not applied and not answered in time.
    Down,
    /// Requests are applied and not answered in time.
    Mute,
}

struct Node {
    entry: Option<Machine>,
    agent: Option<Agent>,
    info: PeerInfo,
    inbox: VecDeque<(u64, Event)>,
    wanted: BTreeSet<SmolStr>,
    up: bool,
    paused: bool,
}

/// All processes, their connections and the store.
pub struct Driver {
    pub now_ms: u64,
    pub store: Store,
    pub starts: Vec<TaskRef>,
    pub replies: HashMap<u64, (u16, String)>,
    pub log: Vec<String>,
    pub writes: Vec<(usize, Transaction)>,
    engine: Engine,
    nodes: BTreeMap<Place, Node>,
    links: HashMap<LinkKey, (Place, Place)>,
    blocked: HashSet<(Place, Place)>,
    next: u64,
}

impl Driver {
    /// A system with this many entry processes and agents of two slots, and the class `short` with a
    /// target of 10 s, so that no job is refused as overloaded.
    pub fn new(entries: usize, agents: usize) -> Self {
        let mut driver = Self {
            now_ms: 0,
            store: Store::Up,
            starts: Vec::new(),
            replies: HashMap::new(),
            log: Vec::new(),
            writes: Vec::new(),
            engine: Engine::default(),
            nodes: BTreeMap::new(),
            links: HashMap::new(),
            blocked: HashSet::new(),
            next: 1,
        };
        for index in 0..entries {
            driver.start_entry(index);
        }
        for index in 0..agents {
            driver.start_agent(index);
        }
        driver.run(3_000);
        let class = Class {
            target: Duration::from_secs(10),
        };
        let change = Change::SetClass("short".into(), class);
        let call = driver.operate(0, change, None);
        driver.run_until(1_000, |d| d.replies.contains_key(&call));
        driver.run(1_500);
        driver
    }

    pub fn operate(&mut self, entry: usize, change: Change, expected: Option<u64>) -> u64 {
        let call = self.number();
        let (who, origin) = ("test".into(), "test".into());
        let operation = Operation::Change {
            change,
            expected,
            who,
            origin,
        };
        self.call(
            entry,
            Input::Operate {
                call: CallKey(call),
                operation,
            },
        );
        call
    }

    pub fn start_entry(&mut self, index: usize) {
        let instance = Instance(self.number());
        let name = format_smolstr!("entry-{index}");
        let address = name.clone();
        let zone = SmolStr::from("zone-1");
        let mut settings = Settings::new(name, zone, instance, address);
        settings.seeds = vec!["entry-0".into(), "entry-1".into(), "entry-2".into()];
        let info = peer(Role::Entry, settings.name.clone(), instance, 0);
        let entry = Some(Machine::new(settings, EntryMetrics::default()));
        self.nodes
            .insert(Place::Entry(index), node(entry, None, info));
    }

    pub fn start_agent(&mut self, index: usize) {
        let instance = Instance(self.number());
        let info = peer(Role::Agent, format_smolstr!("agent-{index}"), instance, 2);
        let settings = AgentSettings {
            slots: 2,
            stop_limit: Duration::from_secs(30),
            ledger: LedgerLimits::default(),
        };
        let mut agent = Agent::new(settings, Metrics::default());
        let now = self.now();
        agent.step(now, AgentInput::EndpointReachable(true), &mut Vec::new());
        let mut node = node(None, Some(agent), info);
        node.wanted.insert("entry-0".into());
        self.nodes.insert(Place::Agent(index), node);
    }

    pub fn is_up(&self, place: Place) -> bool {
        self.nodes[&place].up
    }

    /// The reply to a call; panics when there is none.
    pub fn reply(&self, call: u64) -> &(u16, String) {
        let log = &self.log[self.log.len().saturating_sub(60)..];
        self.replies
            .get(&call)
            .unwrap_or_else(|| panic!("no reply to {call}; log: {log:#?}"))
    }

    /// A row of the store.
    pub fn row(&mut self, key: &str) -> Option<Row> {
        match self.engine.apply(Request::Get(key.into())) {
            Ok(Reply::Row(row)) => row,
            _ => None,
        }
    }

    pub fn set_store(&mut self, store: Store) {
        self.note(format!("store {store:?}"));
        self.store = store;
    }

    /// All events but the starts of other jobs.
    pub fn history(&self, job: JobKey) -> Vec<&String> {
        let key = job.to_string();
        let concerns = |line: &&String| !line.contains(" start ") || line.contains(&key);
        self.log.iter().filter(concerns).collect()
    }

    fn note(&mut self, text: String) {
        let at = self.now_ms;
        self.log.push(format!("{at} {text}"));
    }

    /// Tasks that were started more than once.
    pub fn doubled(&self) -> Vec<TaskRef> {
        let mut seen = HashSet::new();
        self.starts
            .iter()
            .filter(|task| !seen.insert(**task))
            .copied()
            .collect()
    }

    pub fn starts_of(&self, id: &str) -> usize {
        let key = JobId::parse(id).unwrap().key();
        self.starts.iter().filter(|task| task.job == key).count()
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.turn();
        }
    }

    /// Runs until `done`, for at most `ms`; panics after that.
    pub fn run_until(&mut self, ms: u64, done: impl Fn(&Self) -> bool) {
        for _ in 0..ms {
            if done(self) {
                return;
            }
            self.turn();
        }
        assert!(done(self), "not reached in {ms} ms; log: {:#?}", self.log);
    }

    fn now(&self) -> Now {
        Now {
            mono: Duration::from_millis(self.now_ms),
            wall_ms: WALL_START_MS + self.now_ms,
        }
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn turn(&mut self) {
        self.now_ms += 1;
        let places: Vec<Place> = self.nodes.keys().copied().collect();
        for place in places {
            let node = self.nodes.get_mut(&place).unwrap();
            if !node.up || node.paused {
                continue;
            }
            let now_ms = self.now_ms;
            let mut due = Vec::new();
            let mut later = VecDeque::new();
            for (at, event) in node.inbox.drain(..) {
                if at <= now_ms {
                    due.push(event)
                } else {
                    later.push_back((at, event))
                }
            }
            node.inbox = later;
            match place {
                Place::Entry(_) => self.turn_entry(place, due),
                Place::Agent(_) => self.turn_agent(place, due),
            }
            if now_ms.is_multiple_of(50) {
                self.connect_wanted(place);
            }
        }
    }

    fn turn_entry(&mut self, place: Place, due: Vec<Event>) {
        let now = self.now();
        let mut out = Vec::new();
        let machine = self.nodes.get_mut(&place).unwrap().entry.as_mut().unwrap();
        for event in due {
            let input = match event {
                Event::LinkUp(link, peer) => Input::LinkUp {
                    link,
                    peer,
                    entries: Vec::new(),
                },
                Event::LinkDown(link) => Input::LinkDown(link),
                Event::Frame(link, body) => Input::Frame(link, body),
                Event::Store(op, outcome) => Input::Store(op, outcome),
                Event::Call(input) => input,
                Event::Ended(..) => continue,
            };
            machine.step(now, input, &mut out);
        }
        machine.flush(now, &mut out);
        for action in out {
            self.entry_action(place, action);
        }
    }

    fn entry_action(&mut self, place: Place, action: Action) {
        match action {
            Action::Reply(call, status, body) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                self.replies.entry(call.0).or_insert((status, text));
            }
            Action::Send(link, body) => self.send(place, link, body),
            Action::Close(link, _) => self.disconnect(link),
            Action::Connect(address) => self.connect(place, &address),
            Action::Store(op, request) => self.store_call(place, op, request),
            Action::Log(event) => {
                self.note(format!("{place:?} {} {:?}", event.text, event.fields));
            }
            Action::Ready(_) => {}
            Action::Exit => self.kill(place),
        }
    }

    fn turn_agent(&mut self, place: Place, due: Vec<Event>) {
        let now = self.now();
        let mut out = Vec::new();
        let agent = self.nodes.get_mut(&place).unwrap().agent.as_mut().unwrap();
        for event in due {
            let input = match event {
                Event::LinkUp(link, peer) => AgentInput::LinkUp {
                    link,
                    peer,
                    entry_processes: Vec::new(),
                },
                Event::LinkDown(link) => AgentInput::LinkDown(link),
                Event::Frame(link, body) => AgentInput::Frame(link, body),
                Event::Ended(run, end) => AgentInput::RunEnded(run, end),
                Event::Store(..) | Event::Call(_) => continue,
            };
            agent.step(now, input, &mut out);
        }
        agent.step(now, AgentInput::Tick, &mut out);
        agent.end_turn(now, &mut out);
        for action in out {
            self.agent_action(place, action);
        }
    }

    fn agent_action(&mut self, place: Place, action: AgentAction) {
        match action {
            AgentAction::Send(link, body) => self.send(place, link, body),
            AgentAction::Close(link, _) => self.disconnect(link),
            AgentAction::Connect(address) => {
                self.nodes.get_mut(&place).unwrap().wanted.insert(address);
            }
            AgentAction::Run(run, task) => {
                self.starts.push(task.task);
                let TaskRef { job, index } = task.task;
                self.note(format!("{place:?} start {job} {index}"));
                let text = String::from_utf8_lossy(&task.payload).into_owned();
                let (ms, end) = match text.parse::<u64>() {
                    Ok(ms) => (ms, RunEnd::Done(text.into())),
                    Err(_) => (1, RunEnd::Failed("failed as asked".into())),
                };
                self.post(place, self.now_ms + ms, Event::Ended(run, end));
            }
            AgentAction::Abort(run) => {
                let event = Event::Ended(run, RunEnd::Aborted);
                self.post(place, self.now_ms + 1, event);
            }
            AgentAction::Exit => self.kill(place),
            AgentAction::Log(_) | AgentAction::Ready(_) => {}
        }
    }

    fn post(&mut self, place: Place, at: u64, event: Event) {
        self.nodes
            .get_mut(&place)
            .unwrap()
            .inbox
            .push_back((at, event));
    }

    fn send(&mut self, from: Place, link: LinkKey, body: Body) {
        let Some(&(a, b)) = self.links.get(&link) else {
            return;
        };
        let to = if a == from { b } else { a };
        self.post(to, self.now_ms + FRAME_MS, Event::Frame(link, body));
    }

    fn store_call(&mut self, place: Place, op: StoreOpId, request: Request) {
        let lost = Err(Failure::Unknown("time-out".into()));
        if let (Request::Transact(transaction), Place::Entry(entry)) = (&request, place) {
            self.writes.push((entry, transaction.clone()));
        }
        let (delay, outcome) = match self.store {
            Store::Up => (STORE_MS, Ok(self.engine.apply(request).unwrap())),
            Store::Down => (500, lost),
            Store::Mute => {
                self.engine.apply(request).unwrap();
                (500, lost)
            }
        };
        self.post(place, self.now_ms + delay, Event::Store(op, outcome));
    }

    fn connect_wanted(&mut self, place: Place) {
        for address in self.nodes[&place].wanted.clone() {
            self.connect(place, &address);
        }
    }

    fn connect(&mut self, from: Place, address: &str) {
        let Some(index) = address.strip_prefix("entry-").and_then(|i| i.parse().ok()) else {
            return;
        };
        let to = Place::Entry(index);
        let linked = self
            .links
            .values()
            .any(|ends| *ends == (from, to) || *ends == (to, from));
        let up = self
            .nodes
            .get(&to)
            .is_some_and(|node| node.up && !node.paused);
        if linked || !up || from == to || self.blocked.contains(&(from, to)) {
            return;
        }
        let key = LinkKey(self.number());
        self.links.insert(key, (from, to));
        let (a, b) = (self.nodes[&from].info.clone(), self.nodes[&to].info.clone());
        self.post(to, self.now_ms + 1, Event::LinkUp(key, a));
        self.post(from, self.now_ms + 1, Event::LinkUp(key, b));
    }

    fn disconnect(&mut self, key: LinkKey) {
        let Some((a, b)) = self.links.remove(&key) else {
            return;
        };
        for place in [a, b] {
            // Frames that are on their way are lost with the connection.
            let node = self.nodes.get_mut(&place).unwrap();
            node.inbox
                .retain(|(_, event)| !matches!(event, Event::Frame(link, _) if *link == key));
            self.post(place, self.now_ms + 1, Event::LinkDown(key));
        }
    }
}

fn peer(role: Role, name: SmolStr, instance: Instance, slots: u32) -> PeerInfo {
    let address = if role == Role::Entry {
        name.clone()
    } else {
        SmolStr::default()
    };
    PeerInfo {
        role,
        name,
        zone: "zone-1".into(),
        instance,
        address,
        slots,
    }
}

fn node(entry: Option<Machine>, agent: Option<Agent>, info: PeerInfo) -> Node {
    let (inbox, wanted) = (VecDeque::new(), BTreeSet::new());
    Node {
        entry,
        agent,
        info,
        inbox,
        wanted,
        up: true,
        paused: false,
    }
}
