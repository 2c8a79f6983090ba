//! A connected worker.

use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use super::estimates::SpeedEstimate;
use super::health::Health;
use crate::peer::LinkKey;

new_key_type! {
    /// Key of a connected worker.
    pub struct WorkerKey;
}

/// A connected worker: an agent process and the slots of its endpoint.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) link: LinkKey,
    pub(super) name: SmolStr,
    pub(super) zone: SmolStr,
    pub(super) slots: u32,
    /// Slots in use by all entry processes, as of its last heartbeat.
    pub(super) busy: u32,
    /// Unused credits held by this process.
    pub(super) credits: u32,
    /// Tasks of this process that run on the worker.
    pub(super) running: u32,
    pub(super) speed: SpeedEstimate,
    pub(super) health: Health,
    /// Demand in the last demand frame sent to the agent.
    pub(super) announced: AnnouncedDemand,
}

impl Worker {
    /// Whether the running tasks and unused credits of this process take up all slots, so that the
    /// agent has none left to grant.
    pub(super) fn has_all_slots(&self) -> bool {
        self.running.saturating_add(self.credits) >= self.slots
    }
}

/// Demand in the last demand frame sent to an agent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnnouncedDemand {
    /// Waiting tasks; 0 if there is no demand.
    pub(super) waiting: u32,
    /// `waiting` minus the credits that have arrived since the frame was sent. The agent subtracts
    /// its grants from the demand in the same way.
    pub(super) unmet: u32,
    /// Deadline of the most urgent waiting task.
    pub(super) deadline: Duration,
    /// When the last demand frame was sent.
    pub(super) sent_at: Option<Duration>,
}
