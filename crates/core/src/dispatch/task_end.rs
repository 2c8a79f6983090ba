//! How a task ended at a worker.

use std::time::Duration;

use super::dispatcher::Dispatcher;
use super::queues::QueueKey;
use super::worker::WorkerKey;
use crate::clock::Now;
use crate::ids::TaskRef;

/// End of a task at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// The endpoint answered.
    Done {
        /// Run time at the endpoint.
        run: Duration,
    },
    /// The endpoint or the agent reported a failure.
    Failed {
        /// Run time at the endpoint.
        run: Duration,
    },
    /// The task provably did not start.
    NotStarted,
    /// The worker is gone and the outcome is in doubt.
    Lost,
}

impl Dispatcher {
    /// A task has ended at a worker. Unknown tasks are ignored, and so are late reports from a
    /// worker while the task runs on another one.
    pub fn task_ended(&mut self, now: Now, task: TaskRef, worker: WorkerKey, ended: TaskEnd) {
        let Some(slot) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let at = job.worker_of(task.index);
        if !at.is_some_and(|at| at == worker || !self.workers.contains_key(at)) {
            return;
        }
        let queue = job.queue;
        self.stop(slot, task.index);
        if let Some(job) = self.jobs.get_mut(slot) {
            match ended {
                TaskEnd::Done { .. } | TaskEnd::Failed { .. } => job.has_outcome = true,
                TaskEnd::Lost => job.in_doubt.push(task.index),
                TaskEnd::NotStarted => self.update_unstarted(slot),
            }
        }
        match ended {
            TaskEnd::Done { run } => {
                self.update_estimates(queue, worker, run);
                self.record_outcome(now, worker, false);
            }
            TaskEnd::Failed { .. } | TaskEnd::NotStarted => self.record_outcome(now, worker, true),
            TaskEnd::Lost => {}
        }
    }

    /// Learns the run time of the class and the speed of the worker.
    fn update_estimates(&mut self, queue: QueueKey, key: WorkerKey, run: Duration) {
        let Some((class, _)) = self.queues.class_and_team(queue) else {
            return;
        };
        let Some(class) = self.queues.classes.get_mut(class) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let surprise = class.run_time.learn(run, worker.speed.factor());
        worker.speed.learn(surprise);
    }
}
