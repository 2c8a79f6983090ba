//! Agents that this process knows, and the frames that gather for them in a turn.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{Cancel, Settled, Start, TaskStart, frame::Body};
use slotmap::{SlotMap, new_key_type};

use super::io::Action;
use crate::dispatch::WorkerKey;
use crate::ids::{Instance, Shard, TaskRef};
use crate::maps::{KeyMap, KeySet};
use crate::peer::{LinkKey, PeerInfo};

new_key_type! {
    /// Key of an agent instance.
    pub struct AgentKey;
}

/// Whether the journal says that this process may send starts to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterState {
    /// It does not.
    Unrecorded,
    /// The record is on its way.
    Writing,
    /// The record is durable.
    Durable,
}

/// What an agent is asked to report after a fence.
#[derive(Debug, Default)]
pub struct PendingFence {
    /// Tasks whose starts may have been lost with an earlier connection.
    pub unconfirmed: Vec<TaskRef>,
    /// Tasks that the report has named so far.
    pub reported: KeySet<TaskRef>,
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
    pub roster: RosterState,
    /// Monotonic time at which the connection was lost.
    pub disconnected_at: Option<Duration>,
    /// Whether the agent said that it leaves.
    pub leaving: bool,
    /// Fences that it has not answered yet.
    pub pending_fences: KeyMap<Shard, PendingFence>,
    /// Credits that arrived before it could be used.
    pub credits: u32,
    starts: Vec<TaskStart>,
    settled: Vec<Bytes>,
    cancels: Vec<Bytes>,
    is_unflushed: bool,
}

/// All agents.
#[derive(Debug, Default)]
pub struct Agents {
    by_key: SlotMap<AgentKey, Agent>,
    keys_by_link: KeyMap<LinkKey, AgentKey>,
    keys_by_instance: KeyMap<Instance, AgentKey>,
    unflushed: Vec<AgentKey>,
}

impl Agents {
    /// Adds or reconnects an agent. Returns its key and whether the instance was known.
    pub fn connect(&mut self, link: LinkKey, info: PeerInfo) -> (AgentKey, bool) {
        if let Some(&key) = self.keys_by_instance.get(&info.instance) {
            if let Some(agent) = self.by_key.get_mut(key) {
                if let Some(old) = agent.link.replace(link) {
                    self.keys_by_link.remove(&old);
                }
                agent.info = info;
                agent.disconnected_at = None;
                agent.credits = 0;
                agent.pending_fences.clear();
                agent.clear_queues();
            }
            self.keys_by_link.insert(link, key);
            return (key, true);
        }
        let instance = info.instance;
        let key = self.by_key.insert(Agent::new(link, info));
        self.keys_by_link.insert(link, key);
        self.keys_by_instance.insert(instance, key);
        (key, false)
    }

    /// Notes that a connection is gone. Returns the agent if it was its present connection.
    pub fn disconnect(&mut self, now: Duration, link: LinkKey) -> Option<AgentKey> {
        let key = self.keys_by_link.remove(&link)?;
        let agent = self.by_key.get_mut(key)?;
        if agent.link != Some(link) {
            return None;
        }
        agent.link = None;
        agent.disconnected_at = Some(now);
        agent.pending_fences.clear();
        agent.clear_queues();
        Some(key)
    }

    /// Forgets an agent.
    pub fn remove(&mut self, key: AgentKey) -> Option<Agent> {
        let agent = self.by_key.remove(key)?;
        self.keys_by_instance.remove(&agent.info.instance);
        if let Some(link) = agent.link {
            self.keys_by_link.remove(&link);
        }
        Some(agent)
    }

    /// The agent of a key.
    pub fn get(&self, key: AgentKey) -> Option<&Agent> {
        self.by_key.get(key)
    }

    /// The agent of a key, for changes.
    pub fn get_mut(&mut self, key: AgentKey) -> Option<&mut Agent> {
        self.by_key.get_mut(key)
    }

    /// The agent of a connection.
    pub fn by_link(&self, link: LinkKey) -> Option<AgentKey> {
        self.keys_by_link.get(&link).copied()
    }

    /// The agent of an instance.
    pub fn by_instance(&self, instance: Instance) -> Option<AgentKey> {
        self.keys_by_instance.get(&instance).copied()
    }

    /// All agents.
    pub fn iter(&self) -> impl Iterator<Item = (AgentKey, &Agent)> {
        self.by_key.iter()
    }

    /// Adds a start to the agent's next frame. `false` when it has no connection.
    pub fn queue_start(&mut self, key: AgentKey, start: TaskStart) -> bool {
        let Some(agent) = self.by_key.get_mut(key) else {
            return false;
        };
        if agent.link.is_none() {
            return false;
        }
        agent.starts.push(start);
        self.mark_unflushed(key);
        true
    }

    /// Adds a settled job to the agent's next frame of that kind.
    pub fn queue_settled(&mut self, key: AgentKey, job: Bytes) {
        if let Some(agent) = self.by_key.get_mut(key)
            && agent.link.is_some()
        {
            agent.settled.push(job);
        }
    }

    /// Adds a cancelled job to the agent's next frame.
    pub fn queue_cancel(&mut self, key: AgentKey, job: Bytes) {
        let Some(agent) = self.by_key.get_mut(key) else {
            return;
        };
        if agent.link.is_none() {
            return;
        }
        agent.cancels.push(job);
        self.mark_unflushed(key);
    }

    fn mark_unflushed(&mut self, key: AgentKey) {
        let Some(agent) = self.by_key.get_mut(key) else {
            return;
        };
        if !agent.is_unflushed {
            agent.is_unflushed = true;
            self.unflushed.push(key);
        }
    }

    /// Sends the starts and cancels that have gathered, one frame of a kind for each agent.
    pub fn flush(&mut self, out: &mut Vec<Action>) {
        for key in std::mem::take(&mut self.unflushed) {
            let Some(agent) = self.by_key.get_mut(key) else {
                continue;
            };
            agent.is_unflushed = false;
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
        for agent in self.by_key.values_mut() {
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
            roster: RosterState::Unrecorded,
            disconnected_at: None,
            leaving: false,
            pending_fences: KeyMap::default(),
            credits: 0,
            starts: Vec::new(),
            settled: Vec::new(),
            cancels: Vec::new(),
            is_unflushed: false,
        }
    }

    fn clear_queues(&mut self) {
        self.starts.clear();
        self.settled.clear();
        self.cancels.clear();
    }
}
