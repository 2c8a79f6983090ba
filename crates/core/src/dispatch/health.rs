//! Evidence on whether a worker fails what it starts, and its trial tasks when it is held back.

use std::time::Duration;

/// Failures in a row after which a worker is held back.
const FAILURES_IN_A_ROW: u32 = 8;

/// Tasks whose outcome is remembered.
const WINDOW_TASKS: u32 = 32;

/// Time between two trial tasks at first.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two trial tasks after several have failed. Each failed trial fails a job.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(8);

/// A worker is trusted again when the time between trials has been halved below this.
const TRUSTED_INTERVAL: Duration = Duration::from_millis(20);

/// Fleet failure rate below which a failure rate of one worker counts as its own.
const FLEET_RATE: f64 = 0.10;

/// A row of failures counts as evidence when its chance at the fleet's failure rate is below this.
const ROW_CHANCE: f64 = 1e-5;

/// Fleet failure rate above which no row of failures is evidence within the time it takes to see.
const CERTAIN_RATE: f64 = 0.99;

/// Evidence of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    in_a_row: u32,
    outcomes: u32,
    seen: u32,
    hold: Option<Hold>,
}

/// State of a worker that is held back.
#[derive(Debug, Clone, Copy)]
struct Hold {
    interval: Duration,
    next: Duration,
    /// Whether a trial task has started and not ended.
    tried: bool,
}

impl Health {
    /// Records an outcome and moves the pace of trials when the worker is held back.
    pub(super) fn record(&mut self, now: Duration, failed: bool) {
        self.in_a_row = if failed {
            self.in_a_row.saturating_add(1)
        } else {
            0
        };
        self.outcomes = (self.outcomes << 1) | u32::from(failed);
        self.seen = (self.seen + 1).min(WINDOW_TASKS);
        let Some(hold) = &mut self.hold else { return };
        // Tasks that ran there before it was held back say nothing new when they fail.
        if failed && !hold.tried {
            return;
        }
        hold.interval = if failed {
            (hold.interval * 2).clamp(TRIAL_INTERVAL, MAX_TRIAL_INTERVAL)
        } else {
            hold.interval.min(TRIAL_INTERVAL) / 2
        };
        hold.next = now + hold.interval;
        hold.tried = false;
        if hold.interval < TRUSTED_INTERVAL {
            *self = Self::default();
        }
    }

    /// Failure rate of the outcomes remembered, unless the worker is held back or has none.
    pub(super) fn failure_rate(&self) -> Option<f64> {
        let rated = self.hold.is_none() && self.seen > 0;
        rated.then(|| f64::from(self.outcomes.count_ones()) / f64::from(self.seen))
    }

    /// Whether the evidence says that the worker is at fault, when workers fail at `fleet_rate`.
    pub(super) fn is_outlier(&self, fleet_rate: f64) -> bool {
        let often = self.seen == WINDOW_TASKS && self.outcomes.count_ones() * 2 > WINDOW_TASKS;
        // Where the whole fleet fails often, the tasks are at fault and longer rows are common.
        let chance = f64::from(self.in_a_row) * fleet_rate.min(CERTAIN_RATE).ln();
        let row = self.in_a_row >= FAILURES_IN_A_ROW && chance < ROW_CHANCE.ln();
        row || (often && fleet_rate < FLEET_RATE)
    }

    /// Holds the worker back.
    pub(super) fn hold_back(&mut self, now: Duration) {
        self.hold = Some(Hold {
            interval: TRIAL_INTERVAL,
            next: now + TRIAL_INTERVAL,
            tried: false,
        });
    }

    /// Whether the worker is held back.
    pub(super) fn is_held_back(&self) -> bool {
        self.hold.is_some()
    }

    /// When the next trial task may start, if the worker is held back.
    pub(super) fn next_trial(&self) -> Option<Duration> {
        self.hold.map(|h| h.next)
    }

    /// Records that a trial task starts.
    pub(super) fn record_trial_start(&mut self, now: Duration) {
        if let Some(hold) = &mut self.hold {
            hold.next = now + hold.interval;
            hold.tried = true;
        }
    }
}
