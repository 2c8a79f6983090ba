//! Keys of jobs that were settled a short time ago.

use std::collections::VecDeque;
use std::time::Duration;

use crate::deterministic::DeterministicSet;
use crate::ids::JobKey;

/// How long a key is kept, so that a delayed start of a settled job is still refused.
const KEEP: Duration = Duration::from_secs(60);

/// Keys of settled jobs. When `limit` is reached the oldest key is dropped.
#[derive(Debug)]
pub(super) struct SettledJobs {
    limit: usize,
    keys: DeterministicSet<JobKey>,
    order: VecDeque<(Duration, JobKey)>,
}

impl SettledJobs {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            keys: DeterministicSet::default(),
            order: VecDeque::new(),
        }
    }

    pub(super) fn contains(&self, job: JobKey) -> bool {
        self.keys.contains(&job)
    }

    pub(super) fn insert(&mut self, now: Duration, job: JobKey) {
        if !self.keys.insert(job) {
            return;
        }
        self.order.push_back((now, job));
        if self.order.len() > self.limit {
            self.drop_oldest();
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        while let Some((at, _)) = self.order.front() {
            if now.saturating_sub(*at) < KEEP {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, job)) = self.order.pop_front() {
            self.keys.remove(&job);
        }
    }
}
