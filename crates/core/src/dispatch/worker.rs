//! One worker as the dispatcher knows it.

use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use super::estimates::SpeedEstimate;
use super::health::Health;
use crate::peer::LinkKey;

new_key_type! {
    /// A connected worker.
    pub struct WorkerKey;
}

/// A connected worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) link: LinkKey,
    pub(super) name: SmolStr,
    pub(super) zone: SmolStr,
    pub(super) slots: u32,
    /// Busy slots by its last heartbeat, for all entry processes.
    pub(super) busy: u32,
    pub(super) credits: u32,
    /// Tasks that this process has running there.
    pub(super) running: u32,
    pub(super) speed: SpeedEstimate,
    pub(super) health: Health,
    /// Demand that its agent was told of last.
    pub(super) announced: AnnouncedDemand,
}

impl Worker {
    /// Whether this process uses or holds all slots, so that the agent has no others to give.
    pub(super) fn holds_all_slots(&self) -> bool {
        self.running.saturating_add(self.credits) >= self.slots
    }
}

/// Demand that an agent was told of last.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnnouncedDemand {
    /// Waiting tasks; 0 when there is no demand.
    pub(super) waiting: u32,
    /// Those of them for which no credit has come since; the agent counts its grants likewise.
    pub(super) unmet: u32,
    /// Deadline of the most urgent of them.
    pub(super) deadline: Duration,
    /// When it was told.
    pub(super) sent_at: Option<Duration>,
}
