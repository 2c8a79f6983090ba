//! Agents that this process knows, and the frames that gather for them in a turn.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{Cancel, Settled, Start, TaskStart, frame::Body};
use slotmap::{SlotMap, new_key_type};

use super::io::Action;
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::dispatch::WorkerKey;
use crate::ids::{Instance, Shard, TaskRef};
use crate::peer::{LinkKey, PeerInfo};

new_key_type! {
    /// Key of an agent instance.
    pub struct AgentKey;
}

/// Whether the journal says that this process may send starts to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Roster {
    /// It does not.
    Absent,
    /// The record is on its way.
    Writing,
    /// The record is durable.
    Durable,
}

/// What an agent is asked to report after a fence.
#[derive(Debug, Default)]
pub struct Sync {
    /// Tasks whose starts may have been lost with an earlier connection.
    pub sent: Vec<TaskRef>,
    /// Tasks that the report has named so far.
    pub seen: DeterministicSet<TaskRef>,
}

/// One agent instance.
#[derive(Debug)]
pub struct Agent {
    /// How it introduced itself.
    pub info: PeerInfo,
    /// The connection, while there is one.
    pub link: Option<LinkKey>,
    /// Key in the dispatcher, while it gets work.
    pub worker: Option<WorkerKey>,
    /// State of the roster record.
    pub roster: Roster,
    /// Monotonic time at which the connection was lost.
    pub lost: Option<Duration>,
    /// Whether the agent said that it leaves.
    pub leaving: bool,
    /// Fences that it has not answered yet.
    pub syncs: DeterministicMap<Shard, Sync>,
    /// Credits that arrived before it could be used.
    pub credits: u32,
    starts: Vec<TaskStart>,
    settled: Vec<Bytes>,
    cancels: Vec<Bytes>,
    ready: bool,
}

/// All agents.
#[derive(Debug, Default)]
pub struct Agents {
    arena: SlotMap<AgentKey, Agent>,
    links: DeterministicMap<LinkKey, AgentKey>,
    instances: DeterministicMap<Instance, AgentKey>,
    touched: Vec<AgentKey>,
}

impl Agents {
    /// Adds or reconnects an agent. Returns its key and whether the instance was known.
    pub fn connect(&mut self, link: LinkKey, info: PeerInfo) -> (AgentKey, bool) {
        if let Some(&key) = self.instances.get(&info.instance) {
            if let Some(agent) = self.arena.get_mut(key) {
                if let Some(old) = agent.link.replace(link) {
                    self.links.remove(&old);
                }
                agent.info = info;
                agent.lost = None;
                agent.credits = 0;
                agent.syncs.clear();
                agent.clear();
            }
            self.links.insert(link, key);
            return (key, true);
        }
        let instance = info.instance;
        let key = self.arena.insert(Agent::new(link, info));
        self.links.insert(link, key);
        self.instances.insert(instance, key);
        (key, false)
    }

    /// Notes that a connection is gone. Returns the agent if it was its present connection.
    pub fn disconnect(&mut self, now: Duration, link: LinkKey) -> Option<AgentKey> {
        let key = self.links.remove(&link)?;
        let agent = self.arena.get_mut(key)?;
        if agent.link != Some(link) {
            return None;
        }
        agent.link = None;
        agent.lost = Some(now);
        agent.syncs.clear();
        agent.clear();
        Some(key)
    }

    /// Forgets an agent.
    pub fn remove(&mut self, key: AgentKey) -> Option<Agent> {
        let agent = self.arena.remove(key)?;
        self.instances.remove(&agent.info.instance);
        if let Some(link) = agent.link {
            self.links.remove(&link);
        }
        Some(agent)
    }

    /// The agent of a key.
    pub fn get(&self, key: AgentKey) -> Option<&Agent> {
        self.arena.get(key)
    }

    /// The agent of a key, for changes.
    pub fn get_mut(&mut self, key: AgentKey) -> Option<&mut Agent> {
        self.arena.get_mut(key)
    }

    /// The agent of a connection.
    pub fn by_link(&self, link: LinkKey) -> Option<AgentKey> {
        self.links.get(&link).copied()
    }

    /// The agent of an instance.
    pub fn by_instance(&self, instance: Instance) -> Option<AgentKey> {
        self.instances.get(&instance).copied()
    }

    /// All agents.
    pub fn iter(&self) -> impl Iterator<Item = (AgentKey, &Agent)> {
        self.arena.iter()
    }

    /// Adds a start to the agent's next frame. `false` when it has no connection.
    pub fn start(&mut self, key: AgentKey, start: TaskStart) -> bool {
        let Some(agent) = self.arena.get_mut(key) else {
            return false;
        };
        if agent.link.is_none() {
            return false;
        }
        agent.starts.push(start);
        self.touch(key);
        true
    }

    /// Adds a settled job to the agent's next frame of that kind.
    pub fn settle(&mut self, key: AgentKey, job: Bytes) {
        if let Some(agent) = self.arena.get_mut(key)
            && agent.link.is_some()
        {
            agent.settled.push(job);
        }
    }

    /// Adds a cancelled job to the agent's next frame.
    pub fn cancel(&mut self, key: AgentKey, job: Bytes) {
        let Some(agent) = self.arena.get_mut(key) else {
            return;
        };
        if agent.link.is_none() {
            return;
        }
        agent.cancels.push(job);
        self.touch(key);
    }

    fn touch(&mut self, key: AgentKey) {
        let Some(agent) = self.arena.get_mut(key) else {
            return;
        };
        if !agent.ready {
            agent.ready = true;
            self.touched.push(key);
        }
    }

    /// Sends the starts and cancels that have gathered, one frame of a kind for each agent.
    pub fn flush(&mut self, out: &mut Vec<Action>) {
        for key in std::mem::take(&mut self.touched) {
            let Some(agent) = self.arena.get_mut(key) else {
                continue;
            };
            agent.ready = false;
            let Some(link) = agent.link else { continue };
            if !agent.starts.is_empty() {
                let tasks = std::mem::take(&mut agent.starts);
                out.push(Action::Send(link, Body::Start(Start { tasks })));
            }
            if !agent.cancels.is_empty() {
                let jobs = std::mem::take(&mut agent.cancels);
                out.push(Action::Send(link, Body::Cancel(Cancel { jobs })));
            }
        }
    }

    /// Sends the settled jobs that have gathered.
    pub fn flush_settled(&mut self, out: &mut Vec<Action>) {
        for agent in self.arena.values_mut() {
            let Some(link) = agent.link else { continue };
            if agent.settled.is_empty() {
                continue;
            }
            let jobs = std::mem::take(&mut agent.settled);
            out.push(Action::Send(link, Body::Settled(Settled { jobs })));
        }
    }
}

impl Agent {
    fn new(link: LinkKey, info: PeerInfo) -> Self {
        Self {
            info,
            link: Some(link),
            worker: None,
            roster: Roster::Absent,
            lost: None,
            leaving: false,
            syncs: DeterministicMap::default(),
            credits: 0,
            starts: Vec::new(),
            settled: Vec::new(),
            cancels: Vec::new(),
            ready: false,
        }
    }

    fn clear(&mut self) {
        self.starts.clear();
        self.settled.clear();
        self.cancels.clear();
    }
}
