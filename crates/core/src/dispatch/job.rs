//! A job and the states of its tasks.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::new_key_type;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::queues::QueueKey;
use super::worker::WorkerKey;
use crate::ids::JobKey;

new_key_type! {
    /// Key of a job in the dispatcher.
    pub(super) struct JobHandle;
}

/// A job with tasks that wait or run, or may do so again.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) key: JobKey,
    pub(super) queue: QueueKey,
    pub(super) team: SmolStr,
    pub(super) arrived: Duration,
    /// Position in its queue: the arrival time, later for large jobs.
    pub(super) effective_arrival: Duration,
    /// Order among jobs with the same `effective_arrival`.
    pub(super) seq: u64,
    /// When the job expires if no task has started.
    pub(super) expires: Duration,
    /// Indices of the waiting tasks, ascending.
    pub(super) waiting: VecDeque<u32>,
    /// Indices of the running tasks, ascending, with their workers.
    pub(super) running: Vec<(u32, WorkerKey)>,
    /// Whether a task has ended with a result or a failure.
    pub(super) has_outcome: bool,
    /// Tasks that may have run on a worker that disconnected. A task that is requeued is removed
    /// from here, since it is known not to have started.
    pub(super) in_doubt: SmallVec<[u32; 2]>,
    /// Whether the job was cancelled; it accepts no more tasks.
    pub(super) cancelled: bool,
}

impl Job {
    /// Whether no task runs, has run, or may have run.
    pub(super) fn is_unstarted(&self) -> bool {
        !self.has_outcome && self.running.is_empty() && self.in_doubt.is_empty()
    }

    /// Adds a waiting task. Returns `false` if the task already waits or runs.
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
            Err(position) => {
                self.waiting.insert(position, index);
                true
            }
        }
    }

    /// Adds a task that runs on a worker.
    pub(super) fn add_running(&mut self, index: u32, worker: WorkerKey) {
        let position = self.running.partition_point(|r| r.0 < index);
        self.running.insert(position, (index, worker));
    }

    /// The worker on which a task runs, if it does.
    pub(super) fn worker_of(&self, index: u32) -> Option<WorkerKey> {
        let position = self.running.binary_search_by_key(&index, |r| r.0).ok()?;
        self.running.get(position).map(|r| r.1)
    }

    /// Removes a running task and returns its worker.
    pub(super) fn take_running(&mut self, index: u32) -> Option<WorkerKey> {
        let position = self.running.binary_search_by_key(&index, |r| r.0).ok()?;
        Some(self.running.remove(position).1)
    }
}
