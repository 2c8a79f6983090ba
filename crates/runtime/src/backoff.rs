//! Delays between attempts.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;

/// Exponentially growing delays with full jitter: each delay is uniform between zero and a limit
/// that doubles from `first` up to `longest`.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    limit: Duration,
}

impl Backoff {
    /// Starts with a limit of `first`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            limit: first,
        }
    }

    /// The next delay.
    pub fn next(&mut self, rng: &mut ChaCha8Rng) -> Duration {
        let limit = self.limit;
        self.limit = (limit * 2).min(self.longest);
        let share = f64::from(rng.next_u32()) / f64::from(u32::MAX);
        limit.mul_f64(share)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.limit = self.first;
    }
}
