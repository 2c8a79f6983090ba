//! How long a caller has been waiting when its request arrives.
//!
//! Load pattern: after an outage of all entry processes, callers whose earlier attempts got no answer
//! come back together with new ones, at several times the usual rate. The answers to most of the
//! old requests would come too late to be of use, and serving them in the order of arrival makes
//! the new ones late as well.
//!
//! A request carries the time that its caller still waits, but not the time of the first attempt.
//! The process learns for each queue how long callers of new requests wait at least. A request with
//! less time left has been under way for the difference. The limits are kept in the store, because
//! the process needs them right after a restart.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use crate::deterministic::DeterministicMap;

/// Shortest time span of a sample.
const SAMPLE_SPAN: Duration = Duration::from_secs(2);

/// Smallest number of requests in a sample.
const MIN_SAMPLE_REQUESTS: usize = 8;

/// Largest number of requests in a sample; further requests in the span are not sampled.
const MAX_SAMPLE_REQUESTS: usize = 64;

/// Number of samples that are kept. The limit is their median, so that a wave of old requests that
/// fills fewer than half of them does not lower it.
const KEPT_SAMPLES: usize = 8;

/// Number of samples from which a limit is derived.
const MIN_SAMPLES: usize = 3;

/// The limit of a sample is at this quantile, so that single old requests do not lower it.
const SAMPLE_QUANTILE: f64 = 0.1;

/// Factor by which limits are reduced, because few callers of new requests wait less than the
/// quantile.
const LIMIT_MARGIN: f64 = 0.85;

/// Relative change of a limit at which the limits are stored again.
const STORED_CHANGE: f64 = 0.2;

/// Shortest interval between two writes to the store.
const STORE_INTERVAL: Duration = Duration::from_secs(5);

/// Waiting times of the requests of one queue.
#[derive(Debug, Default)]
struct QueueSamples {
    /// Waiting times in the sample that is being taken, and its start.
    open: Vec<Duration>,
    opened_at: Option<Duration>,
    /// Limits of the latest samples.
    closed: VecDeque<Duration>,
    /// Limit found in the store, used until there are enough samples.
    stored: Option<Duration>,
}

impl QueueSamples {
    fn observe(&mut self, now: Duration, wait: Duration) {
        let opened_at = *self.opened_at.get_or_insert(now);
        if now.saturating_sub(opened_at) >= SAMPLE_SPAN && self.open.len() >= MIN_SAMPLE_REQUESTS {
            self.close();
            self.opened_at = Some(now);
        }
        if self.open.len() < MAX_SAMPLE_REQUESTS {
            self.open.push(wait);
        }
    }

    fn close(&mut self) {
        self.open.sort_unstable();
        let at = (self.open.len() as f64 * SAMPLE_QUANTILE) as usize;
        if let Some(&limit) = self.open.get(at) {
            self.closed.push_back(limit);
        }
        self.open.clear();
        if self.closed.len() > KEPT_SAMPLES {
            self.closed.pop_front();
        }
    }

    /// Returns the time that callers of new requests wait at least, if it is known.
    fn limit(&self) -> Option<Duration> {
        if self.closed.len() < MIN_SAMPLES {
            return self.stored;
        }
        let mut limits: Vec<Duration> = self.closed.iter().copied().collect();
        limits.sort_unstable();
        Some(limits[limits.len() / 2].mul_f64(LIMIT_MARGIN))
    }
}

/// Shortest times that callers of new requests wait, by queue.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct CallerLimits {
    queues: DeterministicMap<SmolStr, QueueSamples>,
    /// Limits that were last written to the store, and when.
    written: DeterministicMap<SmolStr, Duration>,
    written_at: Option<Duration>,
}

impl CallerLimits {
    /// Takes over the limits that were found in the store, one for each queue and process. Of the
    /// limits for a queue, the median is used.
    pub(in crate::scheduler) fn load(&mut self, found: Vec<(SmolStr, Duration)>) {
        let mut by_queue: DeterministicMap<SmolStr, Vec<Duration>> = DeterministicMap::default();
        for (queue, limit) in found {
            by_queue.entry(queue).or_default().push(limit);
        }
        for (queue, mut limits) in by_queue {
            limits.sort_unstable();
            let median = limits[limits.len() / 2];
            self.queues.entry(queue).or_default().stored = Some(median);
        }
    }

    /// Records a request whose caller still waits for `wait`, and returns for how long the caller
    /// has been waiting at least.
    pub(in crate::scheduler) fn observe(
        &mut self,
        now: Duration,
        queue: &SmolStr,
        wait: Duration,
    ) -> Duration {
        let samples = self.queues.entry(queue.clone()).or_default();
        samples.observe(now, wait);
        let limit = samples.limit().unwrap_or_default();
        limit.saturating_sub(wait)
    }

    /// Returns all limits if they are to be written to the store.
    pub(in crate::scheduler) fn take_changed(
        &mut self,
        now: Duration,
    ) -> Option<Vec<(SmolStr, Duration)>> {
        let recent = |at: Duration| now.saturating_sub(at) < STORE_INTERVAL;
        if self.written_at.is_some_and(recent) {
            return None;
        }
        let mut limits = Vec::new();
        let mut changed = false;
        for (queue, samples) in &self.queues {
            let Some(limit) = samples.limit() else {
                continue;
            };
            limits.push((queue.clone(), limit));
            let learned = samples.closed.len() >= MIN_SAMPLES;
            changed |= learned && self.has_changed(queue, limit);
        }
        if !changed {
            return None;
        }
        self.written_at = Some(now);
        self.written = limits.iter().cloned().collect();
        Some(limits)
    }

    fn has_changed(&self, queue: &SmolStr, limit: Duration) -> bool {
        let Some(written) = self.written.get(queue) else {
            return true;
        };
        limit.abs_diff(*written) > written.mul_f64(STORED_CHANGE)
    }
}
