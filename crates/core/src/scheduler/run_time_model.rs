//! Online model of run times and worker speeds.
//!
//! The model assumes ln(run time / estimate) = queue term - worker speed + noise, and tracks the
//! queue terms and worker speeds by stochastic approximation.

use std::time::Duration;

use smol_str::SmolStr;

use crate::deterministic::DeterministicMap;

/// Fraction of a run's deviation that is added to the queue's term.
const QUEUE_GAIN: f64 = 0.03;

/// Fraction of a run's deviation that is subtracted from the worker's speed. After a worker
/// becomes slower by a factor of 5, its speed reflects most of the change after about 10 runs.
const WORKER_GAIN: f64 = 0.15;

/// Limit of the deviation of one run, as a natural logarithm. Bounds the effect of rare, very long
/// runs.
const MAX_DEVIATION: f64 = 1.5;

/// Upper limit of expected run times. Larger estimates are errors of the caller.
const MAX_RUN_TIME: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// Lower limit of estimates and run times, in seconds.
const MIN_TIME_S: f64 = 0.001;

/// Speed of a worker relative to the fleet, as a natural logarithm.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Speed(f64);

impl Speed {
    /// Returns the speed as a factor by which expected run times are divided.
    pub(super) fn factor(self) -> f64 {
        self.0.exp()
    }
}

/// Run times by queue.
#[derive(Debug, Default)]
pub(super) struct RunTimeModel {
    /// Terms of the queues, as natural logarithms.
    queue_terms: DeterministicMap<SmolStr, f64>,
}

impl RunTimeModel {
    /// Returns the expected run time on a worker of speed factor 1.
    pub(super) fn expected_run_time(&self, queue: &str, estimate: Duration) -> Duration {
        let term = self.queue_terms.get(queue).copied().unwrap_or_default();
        let expected_s = estimate.as_secs_f64() * term.exp();
        let expected = Duration::try_from_secs_f64(expected_s).unwrap_or(MAX_RUN_TIME);
        expected.min(MAX_RUN_TIME)
    }

    /// Updates the queue's term and the worker's speed with the run time of a successful run.
    pub(super) fn observe(
        &mut self,
        queue: &SmolStr,
        estimate: Duration,
        run_time: Duration,
        speed: &mut Speed,
    ) {
        let run_s = run_time.as_secs_f64().max(MIN_TIME_S);
        let ratio = (run_s / estimate.as_secs_f64().max(MIN_TIME_S)).ln();
        let term = self.queue_terms.entry(queue.clone()).or_default();
        let deviation = ratio - (*term - speed.0);
        let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        *term += QUEUE_GAIN * deviation;
        speed.0 -= WORKER_GAIN * deviation;
    }
}

/// Returns the mean of the given speeds, or the default if there are none.
pub(super) fn mean_speed(speeds: impl Iterator<Item = Speed>) -> Speed {
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
