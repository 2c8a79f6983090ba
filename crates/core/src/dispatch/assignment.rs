//! Selection of the next task to start and of its worker.

use std::time::Duration;

use super::dispatcher::{Assignment, Dispatcher};
use super::placement::PlacementRequest;
use super::queues::{ClassKey, QueueKey};
use super::worker::WorkerKey;
use crate::clock::Now;
use crate::ids::TaskRef;

impl Dispatcher {
    /// Assigns the next task to a worker, which uses one credit. `None` if no task may start now.
    pub fn next_assignment(&mut self, now: Now) -> Option<Assignment> {
        if self.queues.waiting == 0 || self.unused_credits == 0 {
            return None;
        }
        let trial = self.due_trial(now);
        if self.credit_index.is_empty() && trial.is_none() {
            return None;
        }
        let (deadline, queue) = self.next_queue(now)?;
        let request = self.placement_request(now, deadline, queue);
        let choose = || {
            self.policy
                .choose(&request, &self.credit_index, &mut self.rng)
        };
        let worker = trial.or_else(choose)?;
        self.start(now, queue, worker)
    }

    /// The queue with the earliest deadline that may start a task now. Queues of teams that use up
    /// their quota are considered only if no other task may start.
    fn next_queue(&self, now: Now) -> Option<(Duration, QueueKey)> {
        let mut over_quota = None;
        for (deadline, key) in self.queues.heads() {
            let Some((class, team)) = self.queues.class_and_team(key) else {
                continue;
            };
            if self.blocked_by_reserve(now, class) {
                continue;
            }
            let team = self.queues.teams.get(team);
            let share = team.and_then(|t| self.quota_share(t));
            if share.is_some_and(|s| team.is_some_and(|t| t.running >= s)) {
                over_quota = over_quota.or(Some((deadline, key)));
                continue;
            }
            return Some((deadline, key));
        }
        over_quota
    }

    /// Whether the slots reserved for short classes prevent a start of `class`.
    fn blocked_by_reserve(&self, now: Now, class: ClassKey) -> bool {
        let Some(shortest) = self.queues.shortest_target else {
            return false;
        };
        let limit_s = shortest.as_secs_f64() * self.limits.long_factor;
        let class = self.queues.classes.get(class);
        if !class.is_some_and(|c| c.run_time.typical_s() > limit_s) {
            return false;
        }
        let is_recent = |at: Duration| now.since(at) < self.limits.reserve_time;
        let mut long_running = 0;
        let mut short_arrivals = false;
        for other in self.queues.classes.values() {
            if other.run_time.typical_s() > limit_s {
                long_running += other.running;
            } else {
                short_arrivals |= other.last_arrival.is_some_and(is_recent);
            }
        }
        let usable = self.usable_slots();
        let reserved = usable / self.limits.reserve_divisor.max(1);
        short_arrivals && long_running >= usable - reserved
    }

    fn placement_request(&self, now: Now, deadline: Duration, queue: QueueKey) -> PlacementRequest {
        let class = self.queues.class_and_team(queue).map(|p| p.0);
        let class = class.and_then(|c| self.queues.classes.get(c));
        PlacementRequest {
            run_s: class.map_or(0.0, |c| c.run_time.typical_s()),
            p95_s: class.map_or(0.0, |c| c.run_time.p95_s()),
            slack_s: deadline.as_secs_f64() - now.mono.as_secs_f64(),
        }
    }

    /// Starts the first task of a queue on a worker.
    fn start(&mut self, now: Now, queue: QueueKey, key: WorkerKey) -> Option<Assignment> {
        let handle = self.queues.first_job(queue)?;
        let worker = self.workers.get_mut(key).filter(|w| w.credits > 0)?;
        let job = self.jobs.get_mut(handle)?;
        let index = job.waiting.pop_front()?;
        let was_unstarted = job.is_unstarted();
        worker.credits -= 1;
        worker.running += 1;
        worker.health.record_start(now.mono);
        job.add_running(index, key);
        let task = TaskRef {
            job: job.key,
            index,
        };
        let (no_more_waiting, effective_arrival, seq) =
            (job.waiting.is_empty(), job.effective_arrival, job.seq);
        self.unused_credits -= 1;
        self.queues.adjust_waiting(queue, -1);
        self.queues.adjust_running(queue, 1);
        if no_more_waiting {
            self.queues
                .remove_waiting(queue, effective_arrival, seq, handle);
        }
        if was_unstarted {
            self.update_unstarted(handle);
        }
        self.demand.record_start();
        self.update_credit_index(key);
        Some(Assignment { task, worker: key })
    }
}
