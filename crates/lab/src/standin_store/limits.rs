//! Rate limit of the store.

use std::time::Instant;

/// Part of a second whose requests may come at once.
const BURST_SECONDS: f64 = 0.1;

/// Token bucket that starts full.
#[derive(Debug)]
pub(super) struct Bucket {
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// A full bucket for `rate` requests per second.
    pub(super) fn full(rate: u32, now: Instant) -> Self {
        Self {
            tokens: capacity(rate),
            filled: now,
        }
    }

    /// Takes a token of a bucket filled at `rate` per second, if there is one.
    pub(super) fn take(&mut self, rate: u32, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * f64::from(rate)).min(capacity(rate));
        self.filled = now;
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

/// Most tokens of a bucket; a rate of zero admits nothing.
fn capacity(rate: u32) -> f64 {
    if rate == 0 {
        return 0.0;
    }
    (f64::from(rate) * BURST_SECONDS).max(1.0)
}
