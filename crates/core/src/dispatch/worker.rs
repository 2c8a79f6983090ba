//! One worker as the dispatcher knows it.

use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use super::health::Health;
use super::learning::Speed;
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
    pub(super) speed: Speed,
    pub(super) health: Health,
    /// Demand level last sent, and when.
    pub(super) told: (u32, Option<Duration>),
}
