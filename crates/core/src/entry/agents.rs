//! Known agents and the frames queued for them during a turn.

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

/// State of the journal record that allows this process to send task starts to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterState {
    /// No record has been written.
    Unrecorded,
    /// The record is being written.
    Writing,
    /// The record is durable.
    Durable,
}

/// State of a fence that an agent has not fully answered.
#[derive(Debug, Default)]
pub struct PendingFence {
    /// Tasks whose starts may have been lost with a previous connection.
    pub unconfirmed: Vec<TaskRef>,
    /// Tasks named by the reports received so far.
    pub reported: DeterministicSet<TaskRef>,
}

/// An agent instance.
#[derive(Debug)]
pub struct Agent {
    /// Identity sent in the handshake.
    pub info: PeerInfo,
    /// Current connection, if any.
    pub link: Option<LinkKey>,
    /// Dispatcher key while the agent is eligible for work.
    pub worker: Option<WorkerKey>,
    /// State of the agent's roster record.
    pub roster: RosterState,
    /// Monotonic time at which the connection was lost.
    pub disconnected_at: Option<Duration>,
    /// Whether the agent has announced that it is leaving.
    pub leaving: bool,
    /// Fences without a complete report, by shard.
    pub pending_fences: DeterministicMap<Shard, PendingFence>,
    /// Credits received before the agent was eligible for work.
    pub credits: u32,
    starts: Vec<TaskStart>,
    settled: Vec<Bytes>,
    cancels: Vec<Bytes>,
    is_unflushed: bool,
}

/// All known agents.
#[derive(Debug, Default)]
pub struct Agents {
    by_key: SlotMap<AgentKey, Agent>,
    keys_by_link: DeterministicMap<LinkKey, AgentKey>,
    keys_by_instance: DeterministicMap<Instance, AgentKey>,
    unflushed: Vec<AgentKey>,
}

impl Agents {
    /// Adds or reconnects an agent. Returns its key and whether the instance was already known.
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

    /// Removes a connection. Returns the agent if this was its current connection.
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

    /// Removes an agent.
    pub fn remove(&mut self, key: AgentKey) -> Option<Agent> {
        let agent = self.by_key.remove(key)?;
        self.keys_by_instance.remove(&agent.info.instance);
        if let Some(link) = agent.link {
            self.keys_by_link.remove(&link);
        }
        Some(agent)
    }

    pub fn get(&self, key: AgentKey) -> Option<&Agent> {
        self.by_key.get(key)
    }

    pub fn get_mut(&mut self, key: AgentKey) -> Option<&mut Agent> {
        self.by_key.get_mut(key)
    }

    /// Returns the agent on a connection.
    pub fn by_link(&self, link: LinkKey) -> Option<AgentKey> {
        self.keys_by_link.get(&link).copied()
    }

    /// Returns the agent with an instance id.
    pub fn by_instance(&self, instance: Instance) -> Option<AgentKey> {
        self.keys_by_instance.get(&instance).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (AgentKey, &Agent)> {
        self.by_key.iter()
    }

    /// Queues a task start. Returns `false` if the agent is not connected.
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

    /// Queues the notification that a job is settled: its end is durable, so the agent may forget
    /// its tasks. Sent by [`Self::flush_settled`].
    pub fn queue_settled(&mut self, key: AgentKey, job: Bytes) {
        if let Some(agent) = self.by_key.get_mut(key)
            && agent.link.is_some()
        {
            agent.settled.push(job);
        }
    }

    /// Queues the cancellation of a job.
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

    /// Sends queued starts and cancellations, at most one frame of each kind per agent.
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

    /// Sends the queued notifications of settled jobs, at most one frame per agent.
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
            pending_fences: DeterministicMap::default(),
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
