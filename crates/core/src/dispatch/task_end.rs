//! Ends of tasks on workers.

use std::time::Duration;

use super::dispatcher::Dispatcher;
use super::queues::QueueKey;
use super::worker::WorkerKey;
use crate::clock::Now;
use crate::ids::TaskRef;

/// How a task ended on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// The endpoint returned a result.
    Done {
        /// Run time at the endpoint.
        run: Duration,
    },
    /// The endpoint or the agent reported a failure.
    Failed {
        /// Run time at the endpoint.
        run: Duration,
    },
    /// The task did not start.
    NotStarted,
    /// The worker has disconnected; the task may have run.
    Lost,
}

impl Dispatcher {
    /// Records the end of a task on a worker. Unknown tasks are ignored, and so are late reports
    /// from a worker while the task runs on another connected one.
    pub fn task_ended(&mut self, now: Now, task: TaskRef, worker: WorkerKey, end: TaskEnd) {
        let Some(handle) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        let Some(job) = self.jobs.get(handle) else {
            return;
        };
        let current = job.worker_of(task.index);
        if !current.is_some_and(|current| current == worker || !self.workers.contains_key(current))
        {
            return;
        }
        let queue = job.queue;
        self.remove_running(handle, task.index);
        if let Some(job) = self.jobs.get_mut(handle) {
            match end {
                TaskEnd::Done { .. } | TaskEnd::Failed { .. } => job.has_outcome = true,
                TaskEnd::Lost => job.in_doubt.push(task.index),
                TaskEnd::NotStarted => self.update_unstarted(handle),
            }
        }
        match end {
            TaskEnd::Done { run } => {
                self.update_estimates(queue, worker, run);
                self.record_outcome(now, worker, false);
            }
            TaskEnd::Failed { .. } | TaskEnd::NotStarted => self.record_outcome(now, worker, true),
            TaskEnd::Lost => {}
        }
    }

    /// Updates the run time estimate of the class and the speed estimate of the worker.
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
        let deviation = class.run_time.observe(run, worker.speed.factor());
        worker.speed.observe(deviation);
    }
}
