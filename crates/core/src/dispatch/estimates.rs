//! Learned run times of classes and speeds of workers.

use std::time::Duration;

/// Weight of one observation once enough have been seen.
const CLASS_GAIN: f64 = 1.0 / 64.0;

/// Weight of one observation of a worker's speed once enough have been seen.
const SPEED_GAIN: f64 = 1.0 / 32.0;

/// Largest surprise that one observation may bring, in natural log units (a factor of 8).
/// A straggler many times longer than usual counts as this much.
const LOG_CLAMP: f64 = 2.08;

/// Quantile kept beside the mean.
const HIGH_QUANTILE: f64 = 0.95;

/// Step of the quantile estimate, in natural log units.
const QUANTILE_STEP: f64 = 0.05;

/// Shortest run time that is learned, in seconds.
const MIN_RUN_S: f64 = 1e-4;

/// Run time of a class on a worker of speed 1.
#[derive(Debug, Clone, Default)]
pub(super) struct RunTimeEstimate {
    seen: u32,
    log_mean: f64,
    log_high: f64,
    mean_s: f64,
}

impl RunTimeEstimate {
    /// Learns from a run of `run` on a worker of `speed`; returns by how much it was longer than
    /// expected, in natural log units.
    pub(super) fn learn(&mut self, run: Duration, speed: f64) -> f64 {
        let unit_s = (run.as_secs_f64() * speed).max(MIN_RUN_S);
        let log = unit_s.ln();
        if self.seen == 0 {
            self.seen = 1;
            self.log_mean = log;
            self.log_high = log;
            self.mean_s = unit_s;
            return 0.0;
        }
        self.seen = self.seen.saturating_add(1);
        let gain = CLASS_GAIN.max(1.0 / f64::from(self.seen));
        let surprise = (log - self.log_mean).clamp(-LOG_CLAMP, LOG_CLAMP);
        self.log_mean += gain * surprise;
        let above = if log > self.log_high {
            HIGH_QUANTILE
        } else {
            HIGH_QUANTILE - 1.0
        };
        self.log_high = (self.log_high + QUANTILE_STEP * above).max(self.log_mean);
        let capped_s = unit_s.min(self.log_mean.exp() * LOG_CLAMP.exp());
        self.mean_s += gain * (capped_s - self.mean_s);
        surprise
    }

    /// Whether anything has been learned.
    pub(super) fn known(&self) -> bool {
        self.seen > 0
    }

    /// Typical run time in seconds; 0 when nothing has been learned.
    pub(super) fn typical_s(&self) -> f64 {
        if self.known() {
            self.log_mean.exp()
        } else {
            0.0
        }
    }

    /// Mean run time in seconds, with stragglers capped; 0 when nothing has been learned.
    pub(super) fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// High quantile of the run time in seconds; 0 when nothing has been learned.
    pub(super) fn high_s(&self) -> f64 {
        if self.known() {
            self.log_high.exp()
        } else {
            0.0
        }
    }
}

/// Relative speed of a worker; 1 until something has been learned.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SpeedEstimate {
    seen: u32,
    log: f64,
}

impl SpeedEstimate {
    /// Learns that a run took `surprise` longer than expected, in natural log units.
    pub(super) fn learn(&mut self, surprise: f64) {
        self.seen = self.seen.saturating_add(1);
        // The first observations count as if four of speed 1 had been seen before.
        let gain = SPEED_GAIN.max(1.0 / f64::from(self.seen.saturating_add(4)));
        self.log = (self.log - gain * surprise).clamp(-2.77, 2.77);
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
