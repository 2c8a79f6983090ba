//! Jobs and the places of their tasks.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::new_key_type;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::queues::QueueKey;
use super::worker::WorkerKey;
use crate::ids::JobKey;

new_key_type! {
    /// A job in the dispatcher's arena.
    pub(super) struct JobHandle;
}

/// A job of which tasks wait or run, or may do so again.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) key: JobKey,
    pub(super) queue: QueueKey,
    pub(super) team: SmolStr,
    pub(super) arrived: Duration,
    /// Place in its queue: the arrival, later for large jobs.
    pub(super) effective_arrival: Duration,
    /// Order among jobs with the same `order`.
    pub(super) seq: u64,
    /// When the job expires unless a task has started.
    pub(super) expires: Duration,
    /// Waiting tasks in ascending order.
    pub(super) waiting: VecDeque<u32>,
    /// Running tasks in ascending order.
    pub(super) running: Vec<(u32, WorkerKey)>,
    /// Whether a task has ended with a result or a failure.
    pub(super) has_outcome: bool,
    /// Tasks whose outcome is in doubt; one that is queued again had not started.
    pub(super) in_doubt: SmallVec<[u32; 2]>,
    /// Whether the job takes no more tasks.
    pub(super) cancelled: bool,
}

impl Job {
    /// Whether no task runs or may have run.
    pub(super) fn is_unstarted(&self) -> bool {
        !self.has_outcome && self.running.is_empty() && self.in_doubt.is_empty()
    }

    /// Adds a task to the waiting ones; false when it waits or runs already.
    pub(super) fn add_waiting(&mut self, index: u32) -> bool {
        if self.running.binary_search_by_key(&index, |r| r.0).is_ok() {
            return false;
        }
        if self.waiting.back().is_none_or(|last| *last < index) {
            self.waiting.push_back(index);
            return true;
        }
        match self.waiting.binary_search(&index) {
            Ok(_) => false,
            Err(place) => {
                self.waiting.insert(place, index);
                true
            }
        }
    }

    /// Records that a task runs on a worker.
    pub(super) fn add_running(&mut self, index: u32, worker: WorkerKey) {
        let place = self.running.partition_point(|r| r.0 < index);
        self.running.insert(place, (index, worker));
    }

    /// The worker on which a task runs.
    pub(super) fn worker_of(&self, index: u32) -> Option<WorkerKey> {
        let place = self.running.binary_search_by_key(&index, |r| r.0).ok()?;
        self.running.get(place).map(|r| r.1)
    }

    /// Removes a running task; returns its worker.
    pub(super) fn take_running(&mut self, index: u32) -> Option<WorkerKey> {
        let place = self.running.binary_search_by_key(&index, |r| r.0).ok()?;
        Some(self.running.remove(place).1)
    }
}
