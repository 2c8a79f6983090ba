//! The clock of a worker.

use std::time::{Duration, Instant};

/// Steady clock of a worker that starts at its own value and may run slow.
#[derive(Debug, Clone, Copy)]
pub struct WorkerClock {
    start: Instant,
    first_ms: u64,
    /// Clock time that passes in a second, in milliseconds.
    rate: f64,
}

impl WorkerClock {
    /// A clock that shows `first_ms` now. `rate` is 1 for a true clock and 0.98 for one that is 2%
    /// slow.
    #[must_use]
    pub fn start(first_ms: u64, rate: f64) -> Self {
        Self {
            start: Instant::now(),
            first_ms,
            rate,
        }
    }

    /// Present time of the clock in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        let passed = self.start.elapsed().as_secs_f64() * 1_000.0 * self.rate;
        self.first_ms + passed as u64
    }

    /// True time until the clock shows `at_ms`.
    #[must_use]
    pub fn until(&self, at_ms: u64) -> Duration {
        let left = at_ms.saturating_sub(self.now_ms());
        Duration::from_millis(left).div_f64(self.rate)
    }
}
