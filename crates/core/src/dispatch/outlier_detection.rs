//! Workers that are held back because they fail what they start.

use std::time::Duration;

use super::dispatcher::Dispatcher;
use super::health::Health;
use super::worker::WorkerKey;
use crate::clock::Now;

/// Workers held back, and the failure rate of all others.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    held: Vec<WorkerKey>,
    /// Sum of the failure rates of the workers that are not held back.
    rates: f64,
    /// Workers that are not held back and have ended a task.
    rated: u32,
    /// No trial is due before this time.
    wake: Duration,
}

impl OutlierDetector {
    /// Counts a worker that has connected.
    pub(super) fn add_worker(&mut self, key: WorkerKey, health: &Health) {
        if health.is_held_back() {
            self.held.push(key);
            self.wake = Duration::ZERO;
        }
        self.count(health);
    }

    /// Forgets a worker that is gone.
    pub(super) fn remove_worker(&mut self, key: WorkerKey, health: &Health) {
        self.held.retain(|k| *k != key);
        self.discount(health);
    }

    /// A worker that is held back has a new credit.
    pub(super) fn schedule_check(&mut self) {
        self.wake = Duration::ZERO;
    }

    /// Mean failure rate of the workers that are not held back. Every worker counts alike, since
    /// one that fails at once ends far more tasks than the others.
    fn rate(&self) -> f64 {
        self.rates / f64::from(self.rated.max(1))
    }

    fn count(&mut self, health: &Health) {
        let Some(rate) = health.failure_rate() else {
            return;
        };
        self.rates += rate;
        self.rated += 1;
    }

    fn discount(&mut self, health: &Health) {
        let Some(rate) = health.failure_rate() else {
            return;
        };
        self.rated = self.rated.saturating_sub(1);
        self.rates = if self.rated == 0 {
            0.0
        } else {
            self.rates - rate
        };
    }
}

impl Dispatcher {
    /// Records an outcome of a worker and holds it back, or releases it, on the evidence.
    pub(super) fn record_outcome(&mut self, now: Now, key: WorkerKey, failed: bool) {
        let room = (self.outliers.held.len() + 1) * 2 <= self.workers.len();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        self.outliers.discount(&worker.health);
        let held = worker.health.is_held_back();
        worker.health.record(now.mono, failed);
        if held && !worker.health.is_held_back() {
            self.outliers.held.retain(|k| *k != key);
        } else if !held && room && worker.health.is_outlier(self.outliers.rate()) {
            worker.health.hold_back(now.mono);
            self.outliers.held.push(key);
        }
        self.outliers.wake = Duration::ZERO;
        self.outliers.count(&worker.health);
        self.update_credit_index(key);
    }

    /// Releases the workers held back longest while more than half of all workers are.
    pub(super) fn release_excess(&mut self) {
        while self.outliers.held.len() * 2 > self.workers.len() {
            let key = self.outliers.held.remove(0);
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            worker.health = Health::default();
            self.update_credit_index(key);
        }
    }

    /// A held-back worker with a credit whose next trial task is due.
    pub(super) fn due_trial(&mut self, now: Now) -> Option<WorkerKey> {
        if self.outliers.held.is_empty() || now.mono < self.outliers.wake {
            return None;
        }
        self.outliers.wake = Duration::MAX;
        for key in &self.outliers.held {
            let Some(worker) = self.workers.get(*key).filter(|w| w.credits > 0) else {
                continue;
            };
            let Some(next) = worker.health.next_trial() else {
                continue;
            };
            if next <= now.mono {
                self.outliers.wake = Duration::ZERO;
                return Some(*key);
            }
            self.outliers.wake = self.outliers.wake.min(next);
        }
        None
    }
}
