//! Outlier detection: workers that fail far more tasks than the fleet are held back and get trial
//! tasks only.

use std::time::Duration;

use super::dispatcher::Dispatcher;
use super::health::Health;
use super::worker::WorkerKey;
use crate::clock::Now;

/// Workers that are held back, and the failure rate of all others.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    /// Workers that are held back, oldest first.
    held_back: Vec<WorkerKey>,
    /// Sum of the failure rates of the workers that are not held back.
    failure_rate_sum: f64,
    /// Workers that are not held back and have ended a task.
    rated_workers: u32,
    /// Earliest time of the next check for a due trial; no trial is due before.
    next_check: Duration,
}

impl OutlierDetector {
    /// Adds a worker that has connected.
    pub(super) fn add_worker(&mut self, key: WorkerKey, health: &Health) {
        if health.is_held_back() {
            self.held_back.push(key);
            self.next_check = Duration::ZERO;
        }
        self.add_rate(health);
    }

    /// Removes a worker that has disconnected.
    pub(super) fn remove_worker(&mut self, key: WorkerKey, health: &Health) {
        self.held_back.retain(|k| *k != key);
        self.subtract_rate(health);
    }

    /// Makes [`Dispatcher::due_trial`] check all workers that are held back, since one of them got
    /// a credit.
    pub(super) fn schedule_check(&mut self) {
        self.next_check = Duration::ZERO;
    }

    /// Mean failure rate of the workers that are not held back. All workers have the same weight:
    /// a mean over tasks would be dominated by a worker that fails each task immediately after its
    /// start and so ends far more tasks than the others.
    fn fleet_failure_rate(&self) -> f64 {
        self.failure_rate_sum / f64::from(self.rated_workers.max(1))
    }

    fn add_rate(&mut self, health: &Health) {
        let Some(rate) = health.failure_rate() else {
            return;
        };
        self.failure_rate_sum += rate;
        self.rated_workers += 1;
    }

    fn subtract_rate(&mut self, health: &Health) {
        let Some(rate) = health.failure_rate() else {
            return;
        };
        self.rated_workers = self.rated_workers.saturating_sub(1);
        self.failure_rate_sum = if self.rated_workers == 0 {
            0.0
        } else {
            self.failure_rate_sum - rate
        };
    }
}

impl Dispatcher {
    /// Records an outcome of a worker, and holds it back or releases it accordingly. At most half
    /// of all workers are held back.
    pub(super) fn record_outcome(&mut self, now: Now, key: WorkerKey, failed: bool) {
        let may_hold_back = (self.outliers.held_back.len() + 1) * 2 <= self.workers.len();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        self.outliers.subtract_rate(&worker.health);
        let was_held_back = worker.health.is_held_back();
        worker.health.record(now.mono, failed);
        if was_held_back && !worker.health.is_held_back() {
            self.outliers.held_back.retain(|k| *k != key);
        } else if !was_held_back
            && may_hold_back
            && worker.health.is_outlier(self.outliers.fleet_failure_rate())
        {
            worker.health.hold_back(now.mono);
            self.outliers.held_back.push(key);
        }
        self.outliers.next_check = Duration::ZERO;
        self.outliers.add_rate(&worker.health);
        self.update_credit_index(key);
    }

    /// Releases the workers that have been held back longest until at most half of all workers
    /// are held back.
    pub(super) fn release_excess(&mut self) {
        while self.outliers.held_back.len() * 2 > self.workers.len() {
            let key = self.outliers.held_back.remove(0);
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            worker.health = Health::default();
            self.update_credit_index(key);
        }
    }

    /// A worker that is held back, has a credit, and whose next trial task is due.
    pub(super) fn due_trial(&mut self, now: Now) -> Option<WorkerKey> {
        if self.outliers.held_back.is_empty() || now.mono < self.outliers.next_check {
            return None;
        }
        self.outliers.next_check = Duration::MAX;
        for key in &self.outliers.held_back {
            let Some(worker) = self.workers.get(*key).filter(|w| w.credits > 0) else {
                continue;
            };
            let Some(next) = worker.health.next_trial() else {
                continue;
            };
            if next <= now.mono {
                self.outliers.next_check = Duration::ZERO;
                return Some(*key);
            }
            self.outliers.next_check = self.outliers.next_check.min(next);
        }
        None
    }
}
