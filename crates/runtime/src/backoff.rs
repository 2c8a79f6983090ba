//! Delays between retries.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;

/// Exponential backoff with full jitter: each delay is uniformly distributed between zero and an
/// upper bound, which doubles from `initial` to `max`.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    bound: Duration,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `initial`.
    #[must_use]
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            bound: initial,
        }
    }

    /// Returns the next delay.
    pub fn next(&mut self, rng: &mut ChaCha8Rng) -> Duration {
        let bound = self.bound;
        self.bound = (bound * 2).min(self.max);
        let fraction = f64::from(rng.next_u32()) / f64::from(u32::MAX);
        bound.mul_f64(fraction)
    }

    /// Restarts from the initial delay, after a success.
    pub fn reset(&mut self) {
        self.bound = self.initial;
    }
}
