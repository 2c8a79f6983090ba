//! Task outcomes of a worker, and the trial tasks of a worker that is held back.

use std::time::Duration;

/// Minimum number of consecutive failures for which a worker can be held back.
const MIN_CONSECUTIVE_FAILURES: u32 = 8;

/// Outcomes in the sliding window of a worker; one bit each in `failure_bits`.
const WINDOW_TASKS: u32 = 32;

/// Initial time between two trial tasks.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between two trial tasks. The interval doubles with each failed trial, since a
/// failed trial fails a job.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(8);

/// A worker is released when successful trials have halved the interval below this.
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// Fleet failure rate below which a high failure rate of one worker is attributed to the worker.
const MAX_FLEET_FAILURE_RATE: f64 = 0.10;

/// Consecutive failures count as evidence if their probability at the fleet's failure rate is
/// below this.
const MAX_STREAK_PROBABILITY: f64 = 1e-5;

/// Upper bound of the fleet failure rate in the streak probability. At higher rates it would take
/// too long to observe a streak that is long enough to count as evidence.
const FLEET_FAILURE_RATE_CAP: f64 = 0.99;

/// Recent task outcomes of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    consecutive_failures: u32,
    /// The outcomes in the window; a set bit is a failure, bit 0 is the latest outcome.
    failure_bits: u32,
    /// Outcomes in the window.
    outcome_count: u32,
    /// Set while the worker is held back.
    trials: Option<Trials>,
}

/// Trial tasks of a worker that is held back.
#[derive(Debug, Clone, Copy)]
struct Trials {
    interval: Duration,
    /// When the next trial task may start.
    next: Duration,
    /// Whether a trial task has started and not ended.
    running: bool,
}

impl Health {
    /// Records an outcome. If the worker is held back, also adjusts the trial interval, and
    /// releases the worker once the interval is short enough.
    pub(super) fn record(&mut self, now: Duration, failed: bool) {
        self.consecutive_failures = if failed {
            self.consecutive_failures.saturating_add(1)
        } else {
            0
        };
        self.failure_bits = (self.failure_bits << 1) | u32::from(failed);
        self.outcome_count = (self.outcome_count + 1).min(WINDOW_TASKS);
        let Some(trials) = &mut self.trials else {
            return;
        };
        // Failures of tasks that started before the worker was held back are no new evidence.
        if failed && !trials.running {
            return;
        }
        trials.interval = if failed {
            (trials.interval * 2).clamp(TRIAL_INTERVAL, MAX_TRIAL_INTERVAL)
        } else {
            trials.interval.min(TRIAL_INTERVAL) / 2
        };
        trials.next = now + trials.interval;
        trials.running = false;
        if trials.interval < RELEASE_INTERVAL {
            *self = Self::default();
        }
    }

    /// Failure rate in the window; `None` if the worker is held back or has no outcomes.
    pub(super) fn failure_rate(&self) -> Option<f64> {
        let rated = self.trials.is_none() && self.outcome_count > 0;
        rated.then(|| f64::from(self.failure_bits.count_ones()) / f64::from(self.outcome_count))
    }

    /// Whether the worker fails far more tasks than the fleet, whose failure rate is given.
    pub(super) fn is_outlier(&self, fleet_failure_rate: f64) -> bool {
        let mostly_failing =
            self.outcome_count == WINDOW_TASKS && self.failure_bits.count_ones() * 2 > WINDOW_TASKS;
        // If the whole fleet fails often, the tasks are the likely cause and long streaks are
        // expected.
        let log_rate = fleet_failure_rate.min(FLEET_FAILURE_RATE_CAP).ln();
        let log_probability = f64::from(self.consecutive_failures) * log_rate;
        let unlikely_streak = self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
            && log_probability < MAX_STREAK_PROBABILITY.ln();
        unlikely_streak || (mostly_failing && fleet_failure_rate < MAX_FLEET_FAILURE_RATE)
    }

    /// Holds the worker back; from now on it gets trial tasks only.
    pub(super) fn hold_back(&mut self, now: Duration) {
        self.trials = Some(Trials {
            interval: TRIAL_INTERVAL,
            next: now + TRIAL_INTERVAL,
            running: false,
        });
    }

    /// Whether the worker is held back.
    pub(super) fn is_held_back(&self) -> bool {
        self.trials.is_some()
    }

    /// When the next trial task may start; `None` if the worker is not held back.
    pub(super) fn next_trial(&self) -> Option<Duration> {
        self.trials.map(|t| t.next)
    }

    /// Records the start of a task; it is a trial task if the worker is held back.
    pub(super) fn record_start(&mut self, now: Duration) {
        if let Some(trials) = &mut self.trials {
            trials.next = now + trials.interval;
            trials.running = true;
        }
    }
}
