//! Keys of recently settled jobs.

use std::collections::VecDeque;
use std::time::Duration;

use crate::deterministic::DeterministicSet;
use crate::ids::JobKey;

/// Time for which a key is kept, so that a delayed start of a settled job is refused.
const RETENTION: Duration = Duration::from_secs(60);

/// Keys of recently settled jobs. The oldest key is dropped when `limit` is exceeded.
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
            if now.saturating_sub(*at) < RETENTION {
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
