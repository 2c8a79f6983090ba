//! Count of the workers that have crashed under a task.

use knapweedwall_wire as wire;

/// Number of crashed workers after which a task is given up if the last crash came in isolation, and all
/// of them as long after the start.
const MAX_CRASHES: u32 = 2;

/// Number of crashed workers after which a task is given up in any case, including those that it may not
/// have been running on: a task that crashes them before they answer has no other evidence against it. Two
/// more starts would be permitted; one is left for a crash that was not counted.
const MAX_UNPROVED_CRASHES: u32 = 4;

/// Tolerance with which crashes came as long after the start of a run: a constant part, and a part
/// of the time.
const AGE_TOLERANCE: (f64, f64) = (30.0, 0.1);

/// Crashes of workers under the runs of a task.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CrashCount {
    /// Number of runs that were on a worker when it crashed.
    confirmed: u32,
    /// Number of runs that may not have been on their worker when it crashed: it had not confirmed the
    /// start, or had been silent before.
    unconfirmed: u32,
    /// Number of the latest attempt that was counted.
    last_attempt: u32,
    /// Shortest and longest time from a confirmed start to the crash, in milliseconds.
    ages: Option<(u32, u32)>,
}

impl CrashCount {
    /// Counts a run whose worker crashed. Returns false if it has been counted.
    pub(super) fn add(&mut self, attempt: u32, evidence: wire::CrashEvidence) -> bool {
        if attempt <= self.last_attempt {
            return false;
        }
        self.last_attempt = attempt;
        if evidence.unconfirmed {
            self.unconfirmed = self.unconfirmed.saturating_add(1);
            return true;
        }
        self.confirmed = self.confirmed.saturating_add(1);
        let age_ms = evidence.age_ms;
        let (shortest, longest) = self.ages.unwrap_or((age_ms, age_ms));
        self.ages = Some((shortest.min(age_ms), longest.max(age_ms)));
        true
    }

    /// Returns the number of crashes, including those that may not have been under the task.
    pub(super) fn total(self) -> u32 {
        self.confirmed.saturating_add(self.unconfirmed)
    }

    /// Returns the number of crashes that may not have been under the task.
    pub(super) fn unconfirmed(self) -> u32 {
        self.unconfirmed
    }

    /// Returns whether the task is suspect, whatever else ran on the crashed workers.
    pub(super) fn is_suspect(self) -> bool {
        self.total() >= MAX_CRASHES
    }

    /// Returns whether the task is to be given up after a crash with this evidence.
    pub(super) fn is_exhausted(self, evidence: wire::CrashEvidence) -> bool {
        let proved = evidence.alone && !evidence.unconfirmed && self.ages.is_some_and(is_alike);
        self.confirmed >= MAX_CRASHES && proved || self.total() >= MAX_UNPROVED_CRASHES
    }

    /// Returns the number of the latest attempt that was counted.
    pub(super) fn last_attempt(self) -> u32 {
        self.last_attempt
    }

    /// Adds the count to the stored failures of a task.
    pub(super) fn encode(self, failures: &mut wire::TaskFailures) {
        failures.crashes = self.confirmed;
        failures.unconfirmed_crashes = self.unconfirmed;
        failures.crash_attempt = self.last_attempt;
        (failures.min_age_ms, failures.max_age_ms) = self.ages.unwrap_or_default();
    }

    /// Recreates the count from the stored failures of a task.
    pub(super) fn decode(failures: &wire::TaskFailures) -> Self {
        let ages = (failures.min_age_ms, failures.max_age_ms);
        Self {
            confirmed: failures.crashes,
            unconfirmed: failures.unconfirmed_crashes,
            last_attempt: failures.crash_attempt,
            ages: (failures.crashes > 0).then_some(ages),
        }
    }
}

/// Returns whether the shortest and the longest time from the start of a run to a crash are about the
/// same.
fn is_alike((shortest_ms, longest_ms): (u32, u32)) -> bool {
    let (constant, part) = AGE_TOLERANCE;
    f64::from(longest_ms - shortest_ms) <= constant + part * f64::from(longest_ms)
}
