//! Online estimates of the run times of classes and the speeds of workers.

use std::time::Duration;

/// Smallest weight of one observation in the run time estimate of a class.
const CLASS_GAIN: f64 = 1.0 / 64.0;

/// Smallest weight of one observation in the speed estimate of a worker.
const SPEED_GAIN: f64 = 1.0 / 32.0;

/// Number of observations that the initial speed estimate of 1 counts for. A larger number reduces
/// the effect of the first runs.
const SPEED_PRIOR_OBSERVATIONS: u32 = 4;

/// Bound of a speed estimate, in natural log units: between 1/16 and 16.
const MAX_LOG_SPEED: f64 = 2.77;

/// Largest deviation that one observation contributes, in natural log units (a factor of 8), so
/// that a straggler many times longer than usual doesn't dominate the estimate.
const MAX_LOG_DEVIATION: f64 = 2.08;

/// Quantile that is estimated in addition to the mean.
const P95_QUANTILE: f64 = 0.95;

/// Step of the quantile estimate, in natural log units.
const QUANTILE_STEP: f64 = 0.05;

/// Lower bound of an observed run time, in seconds; keeps the logarithm finite.
const MIN_RUN_S: f64 = 1e-4;

/// Run time of a class on a worker of speed 1.
#[derive(Debug, Clone, Default)]
pub(super) struct RunTimeEstimate {
    observations: u32,
    log_mean: f64,
    log_p95: f64,
    mean_s: f64,
}

impl RunTimeEstimate {
    /// Adds an observed run time on a worker of the given speed. Returns the deviation from the
    /// expected run time in natural log units; it is positive if the run took longer.
    pub(super) fn observe(&mut self, run: Duration, speed: f64) -> f64 {
        // Run time on a worker of speed 1.
        let normalized_s = (run.as_secs_f64() * speed).max(MIN_RUN_S);
        let log = normalized_s.ln();
        if self.observations == 0 {
            self.observations = 1;
            self.log_mean = log;
            self.log_p95 = log;
            self.mean_s = normalized_s;
            return 0.0;
        }
        self.observations = self.observations.saturating_add(1);
        let gain = CLASS_GAIN.max(1.0 / f64::from(self.observations));
        let deviation = (log - self.log_mean).clamp(-MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
        self.log_mean += gain * deviation;
        let direction = if log > self.log_p95 {
            P95_QUANTILE
        } else {
            P95_QUANTILE - 1.0
        };
        self.log_p95 = (self.log_p95 + QUANTILE_STEP * direction).max(self.log_mean);
        let capped_s = normalized_s.min(self.log_mean.exp() * MAX_LOG_DEVIATION.exp());
        self.mean_s += gain * (capped_s - self.mean_s);
        deviation
    }

    /// Whether there has been an observation.
    pub(super) fn is_known(&self) -> bool {
        self.observations > 0
    }

    /// Typical run time (about the geometric mean) in seconds; 0 without observations.
    pub(super) fn typical_s(&self) -> f64 {
        if self.is_known() {
            self.log_mean.exp()
        } else {
            0.0
        }
    }

    /// Arithmetic mean of the run time in seconds, with stragglers capped; 0 without
    /// observations.
    pub(super) fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// 0.95 quantile of the run time in seconds; 0 without observations.
    pub(super) fn p95_s(&self) -> f64 {
        if self.is_known() {
            self.log_p95.exp()
        } else {
            0.0
        }
    }
}

/// Relative speed of a worker; 1 without observations.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SpeedEstimate {
    observations: u32,
    log: f64,
}

impl SpeedEstimate {
    /// Adds the deviation of a run from its expected run time, in natural log units.
    pub(super) fn observe(&mut self, deviation: f64) {
        self.observations = self.observations.saturating_add(1);
        let weight = self.observations.saturating_add(SPEED_PRIOR_OBSERVATIONS);
        let gain = SPEED_GAIN.max(1.0 / f64::from(weight));
        self.log = (self.log - gain * deviation).clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED);
    }

    /// Speed as a factor.
    pub(super) fn factor(self) -> f64 {
        self.log.exp()
    }

    /// Speed as a base-2 logarithm.
    pub(super) fn log2(self) -> f64 {
        self.log * std::f64::consts::LOG2_E
    }
}
