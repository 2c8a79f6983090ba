//! Adding, requeueing, cancelling and removing jobs and their tasks.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use super::dispatcher::Dispatcher;
use super::job::{Job, JobHandle};
use super::queues::ClassKey;
use super::worker::WorkerKey;
use crate::clock::Now;
use crate::ids::{JobKey, TaskRef};

/// Time added to the arrival of a job for its position in the queue, as a multiple of the time that
/// its tasks take on all slots usable by this process. It lets smaller jobs of the same class that
/// arrive soon afterwards start first.
const SIZE_DELAY_FACTOR: f64 = 16.0;

/// Upper bound of the time added to the arrival of a job, as a multiple of the target response time
/// of its class.
const MAX_SIZE_DELAY_TARGET_FACTOR: u32 = 2;

impl Dispatcher {
    /// Adds waiting tasks to a job, which is created if it is unknown. Tasks that already wait or
    /// run are ignored, and so are tasks of a cancelled job.
    pub fn enqueue(
        &mut self,
        now: Now,
        key: JobKey,
        class: &str,
        team: &str,
        arrived: Duration,
        indices: &[u32],
    ) {
        let known = self.job_keys.get(&key).copied();
        let handle = known.unwrap_or_else(|| {
            let class = self.queues.class_or_insert(class);
            self.insert_job(now, key, class, team, arrived, indices.len())
        });
        let Some(job) = self.jobs.get_mut(handle).filter(|j| !j.cancelled) else {
            return;
        };
        let mut added = 0;
        for index in indices {
            added += i64::from(job.add_waiting(*index));
        }
        if added == 0 {
            return;
        }
        let (queue, effective_arrival, seq) = (job.queue, job.effective_arrival, job.seq);
        self.queues.adjust_waiting(queue, added);
        self.queues
            .insert_waiting(queue, effective_arrival, seq, handle);
        let class = self.queues.class_and_team(queue).map(|p| p.0);
        if let Some(class) = class.and_then(|c| self.queues.classes.get_mut(c)) {
            class.last_arrival = Some(now.mono);
        }
    }

    /// Creates a job without tasks.
    fn insert_job(
        &mut self,
        now: Now,
        key: JobKey,
        class: ClassKey,
        team: &str,
        arrived: Duration,
        task_count: usize,
    ) -> JobHandle {
        let expires = self.expiry_time(now, class);
        let effective_arrival = arrived.saturating_add(self.size_delay(class, task_count));
        let team_key = self.queues.team_key(team);
        let queue = self.queues.add_job(class, team_key);
        self.next_seq += 1;
        let handle = self.jobs.insert(Job {
            key,
            queue,
            team: team.into(),
            arrived,
            effective_arrival,
            seq: self.next_seq,
            expires,
            waiting: VecDeque::new(),
            running: Vec::new(),
            has_outcome: false,
            in_doubt: SmallVec::new(),
            cancelled: false,
        });
        self.job_keys.insert(key, handle);
        self.update_unstarted(handle);
        handle
    }

    /// Time added to the arrival of a job with this many tasks.
    fn size_delay(&self, class: ClassKey, task_count: usize) -> Duration {
        let Some(class) = self.queues.classes.get(class) else {
            return Duration::ZERO;
        };
        let work_s = class.run_time.mean_s() * task_count as f64;
        let time_on_all_slots_s = work_s / f64::from(self.usable_slots());
        let max = class.target * MAX_SIZE_DELAY_TARGET_FACTOR;
        Duration::from_secs_f64((time_on_all_slots_s * SIZE_DELAY_FACTOR).min(max.as_secs_f64()))
    }

    /// Puts a task back into the queue at its earlier position, because the worker did not start
    /// it.
    pub fn requeue(&mut self, _now: Now, task: TaskRef) {
        let Some(handle) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        self.remove_running(handle, task.index);
        if let Some(job) = self.jobs.get_mut(handle) {
            job.in_doubt.retain(|index| *index != task.index);
        }
        self.update_unstarted(handle);
        let Some(job) = self.jobs.get_mut(handle).filter(|j| !j.cancelled) else {
            return;
        };
        if !job.add_waiting(task.index) {
            return;
        }
        let (queue, effective_arrival, seq) = (job.queue, job.effective_arrival, job.seq);
        self.queues.adjust_waiting(queue, 1);
        self.queues
            .insert_waiting(queue, effective_arrival, seq, handle);
    }

    /// Cancels a job: removes its waiting tasks and returns them. The job accepts no more tasks.
    pub fn cancel_job(&mut self, key: JobKey) -> SmallVec<[u32; 8]> {
        let Some(handle) = self.job_keys.get(&key).copied() else {
            return SmallVec::new();
        };
        let Some(job) = self.jobs.get_mut(handle) else {
            return SmallVec::new();
        };
        job.cancelled = true;
        let removed: SmallVec<[u32; 8]> = job.waiting.drain(..).collect();
        let (queue, effective_arrival, seq) = (job.queue, job.effective_arrival, job.seq);
        if !removed.is_empty() {
            self.queues.adjust_waiting(queue, -(removed.len() as i64));
            self.queues
                .remove_waiting(queue, effective_arrival, seq, handle);
        }
        self.update_unstarted(handle);
        removed
    }

    /// Removes a job with all its tasks.
    pub fn remove_job(&mut self, key: JobKey) {
        self.cancel_job(key);
        let Some(handle) = self.job_keys.remove(&key) else {
            return;
        };
        let Some(job) = self.jobs.remove(handle) else {
            return;
        };
        self.queues
            .adjust_running(job.queue, -(job.running.len() as i64));
        for (_, worker) in job.running {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.running = worker.running.saturating_sub(1);
            }
        }
        self.queues.remove_job(job.queue);
    }

    /// Removes a running task, updates all counts, and returns its worker.
    pub(super) fn remove_running(&mut self, handle: JobHandle, index: u32) -> Option<WorkerKey> {
        let job = self.jobs.get_mut(handle)?;
        let worker = job.take_running(index)?;
        self.queues.adjust_running(job.queue, -1);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.running = worker.running.saturating_sub(1);
        }
        Some(worker)
    }
}
