//! When jobs arrive.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Arrival process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrivals {
    /// Poisson arrivals: jobs come at this mean rate, whether or not earlier ones were answered.
    Open {
        /// Jobs a second.
        rate: f64,
    },
    /// A number of callers, each of which submits its next job after the answer to the last.
    Closed {
        /// Callers.
        callers: usize,
    },
}

/// Times of `count` Poisson arrivals at `rate` a second, from the start of the run.
pub(super) fn times(rng: &mut ChaCha8Rng, rate: f64, count: usize) -> Vec<Duration> {
    let mut at = 0.0;
    let mut times = Vec::with_capacity(count);
    for _ in 0..count {
        // Inverse of the exponential distribution; 1 - u is never 0.
        let u: f64 = rng.random();
        at -= (1.0 - u).ln() / rate;
        times.push(Duration::from_secs_f64(at));
    }
    times
}
