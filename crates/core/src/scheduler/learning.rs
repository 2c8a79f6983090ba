//! What is learned of run times and of workers' speeds.
//!
//! The logarithm of a run time over its estimate is the sum of a part of the queue, a part of the
//! worker and noise. Both parts are followed by stochastic approximation.

use std::time::Duration;

use smol_str::SmolStr;

use crate::deterministic::DeterministicMap;

/// Share of a deviation that goes into the queue's part.
const QUEUE_GAIN: f64 = 0.03;

/// Share of a deviation that goes into the worker's part: a worker that turns slow by a factor of
/// 5 is known as slow after about 10 runs.
const WORKER_GAIN: f64 = 0.15;

/// Largest deviation of one run that is taken in, as a logarithm: long tails are rare.
const LARGEST_DEVIATION: f64 = 1.5;

/// Smallest estimate and run time that are compared, in seconds.
const SMALLEST_S: f64 = 0.001;

/// Speed of a worker relative to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Speed(f64);

impl Speed {
    /// The factor by which run times are divided.
    pub(super) fn factor(self) -> f64 {
        self.0.exp()
    }
}

/// Run times of the queues.
#[derive(Debug, Default)]
pub(super) struct Learning {
    queues: DeterministicMap<SmolStr, f64>,
}

impl Learning {
    /// Expected run time at the fleet's mean speed.
    pub(super) fn expected(&self, queue: &str, estimate: Duration) -> Duration {
        let part = self.queues.get(queue).copied().unwrap_or_default();
        estimate.mul_f64(part.exp())
    }

    /// Takes in a run with its result.
    pub(super) fn observe(
        &mut self,
        queue: &SmolStr,
        estimate: Duration,
        run_time: Duration,
        speed: &mut Speed,
    ) {
        let run_s = run_time.as_secs_f64().max(SMALLEST_S);
        let ratio = (run_s / estimate.as_secs_f64().max(SMALLEST_S)).ln();
        let part = self.queues.entry(queue.clone()).or_default();
        let deviation = ratio - (*part - speed.0);
        let deviation = deviation.clamp(-LARGEST_DEVIATION, LARGEST_DEVIATION);
        *part += QUEUE_GAIN * deviation;
        speed.0 -= WORKER_GAIN * deviation;
    }
}

/// Mean speed of other workers, for one that is new.
pub(super) fn mean(speeds: impl Iterator<Item = Speed>) -> Speed {
    let (mut sum, mut count) = (0.0, 0.0);
    for speed in speeds {
        sum += speed.0;
        count += 1.0;
    }
    if count == 0.0 {
        return Speed::default();
    }
    Speed(sum / count)
}
