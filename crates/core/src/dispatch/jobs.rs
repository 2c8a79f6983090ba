//! Jobs that arrive, lose tasks and end.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use super::dispatcher::Dispatcher;
use super::job::{Job, JobHandle};
use super::queues::ClassKey;
use super::worker::WorkerKey;
use crate::clock::Now;
use crate::ids::{JobKey, TaskRef};

/// A job is placed behind smaller jobs of its class by this many times the time that its tasks
/// take on all slots of this process.
const SIZE_DELAY_FACTOR: f64 = 16.0;

/// Most targets by which a job is placed behind smaller jobs.
const SIZE_DELAY_TARGETS: u32 = 2;

impl Dispatcher {
    /// Tasks of a job wait from now on. Tasks that wait or run already are ignored, and so are
    /// those of a cancelled job.
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
        let slot = known.unwrap_or_else(|| {
            let class = self.queues.class_or_insert(class);
            self.insert_job(now, key, class, team, arrived, indices.len())
        });
        let Some(job) = self.jobs.get_mut(slot).filter(|j| !j.cancelled) else {
            return;
        };
        let mut added = 0;
        for index in indices {
            added += i64::from(job.add_waiting(*index));
        }
        if added == 0 {
            return;
        }
        let (queue, order, seq) = (job.queue, job.effective_arrival, job.seq);
        self.queues.adjust_waiting(queue, added);
        self.queues.insert_waiting(queue, order, seq, slot);
        let class = self.queues.class_and_team(queue).map(|p| p.0);
        if let Some(class) = class.and_then(|c| self.queues.classes.get_mut(c)) {
            class.last_arrival = Some(now.mono);
        }
    }

    fn insert_job(
        &mut self,
        now: Now,
        key: JobKey,
        class: ClassKey,
        team: &str,
        arrived: Duration,
        tasks: usize,
    ) -> JobHandle {
        let expires = self.expiry_time(now, class);
        let order = arrived.saturating_add(self.size_delay(class, tasks));
        let team_key = self.queues.team_key(team);
        let queue = self.queues.add_job(class, team_key);
        self.next_seq += 1;
        let slot = self.jobs.insert(Job {
            key,
            queue,
            team: team.into(),
            arrived,
            effective_arrival: order,
            seq: self.next_seq,
            expires,
            waiting: VecDeque::new(),
            running: Vec::new(),
            has_outcome: false,
            in_doubt: SmallVec::new(),
            cancelled: false,
        });
        self.job_keys.insert(key, slot);
        self.update_unstarted(slot);
        slot
    }

    /// By how much a job of this size is placed behind smaller jobs of its class.
    fn size_delay(&self, class: ClassKey, tasks: usize) -> Duration {
        let Some(class) = self.queues.classes.get(class) else {
            return Duration::ZERO;
        };
        let work_s = class.run_time.mean_s() * tasks as f64;
        let ideal_s = work_s / f64::from(self.usable_slots());
        let most = class.target * SIZE_DELAY_TARGETS;
        Duration::from_secs_f64((ideal_s * SIZE_DELAY_FACTOR).min(most.as_secs_f64()))
    }

    /// A task that provably did not start waits again, at its place.
    pub fn requeue(&mut self, _now: Now, task: TaskRef) {
        let Some(slot) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        self.stop(slot, task.index);
        if let Some(job) = self.jobs.get_mut(slot) {
            job.in_doubt.retain(|index| *index != task.index);
        }
        self.update_unstarted(slot);
        let Some(job) = self.jobs.get_mut(slot).filter(|j| !j.cancelled) else {
            return;
        };
        if !job.add_waiting(task.index) {
            return;
        }
        let (queue, order, seq) = (job.queue, job.effective_arrival, job.seq);
        self.queues.adjust_waiting(queue, 1);
        self.queues.insert_waiting(queue, order, seq, slot);
    }

    /// Drops the waiting tasks of a job and returns them. The job takes no more tasks.
    pub fn cancel_job(&mut self, key: JobKey) -> SmallVec<[u32; 8]> {
        let Some(slot) = self.job_keys.get(&key).copied() else {
            return SmallVec::new();
        };
        let Some(job) = self.jobs.get_mut(slot) else {
            return SmallVec::new();
        };
        job.cancelled = true;
        let dropped: SmallVec<[u32; 8]> = job.waiting.drain(..).collect();
        let (queue, order, seq) = (job.queue, job.effective_arrival, job.seq);
        if !dropped.is_empty() {
            self.queues.adjust_waiting(queue, -(dropped.len() as i64));
            self.queues.remove_waiting(queue, order, seq, slot);
        }
        self.update_unstarted(slot);
        dropped
    }

    /// Forgets a job that has ended.
    pub fn remove_job(&mut self, key: JobKey) {
        self.cancel_job(key);
        let Some(slot) = self.job_keys.remove(&key) else {
            return;
        };
        let Some(job) = self.jobs.remove(slot) else {
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

    /// Removes a running task from all counts; returns its worker.
    pub(super) fn stop(&mut self, slot: JobHandle, index: u32) -> Option<WorkerKey> {
        let job = self.jobs.get_mut(slot)?;
        let worker = job.take_running(index)?;
        self.queues.adjust_running(job.queue, -1);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.running = worker.running.saturating_sub(1);
        }
        Some(worker)
    }
}
