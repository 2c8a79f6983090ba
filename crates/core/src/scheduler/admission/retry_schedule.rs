//! When refused callers may come back.
//!
//! Load pattern: a crest refuses callers at several times the rate at which capacity becomes free.
//! If all of them were told the same time, they would return together and form the next crest.
//!
//! Each refused caller reserves the capacity that its job needs, at the rate at which capacity
//! becomes free, behind the callers refused before it. It is told the time at which its turn comes.
//! Reservations fall due as time passes, so the schedule is empty soon after the crest.

use std::time::Duration;

/// Shortest time that a caller is told. Retry times are sent in whole seconds.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Longest time that a caller is told: the state of the fleet is not known further ahead.
const MAX_RETRY: Duration = Duration::from_secs(8);

/// Fraction of the capacity that is left to callers who have not been refused.
const SHARE_FOR_NEW_CALLERS: f64 = 0.5;

/// Schedule of the return of refused callers.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct RetrySchedule {
    /// Time at which the capacity reserved so far has become free.
    reserved_until: Duration,
}

impl RetrySchedule {
    /// Reserves the time for a job of `work` core-seconds, of which the fleet does
    /// `cores` core-seconds each second for the callers of this process, and returns the time after
    /// which its caller may come back.
    pub(in crate::scheduler) fn reserve(
        &mut self,
        now: Duration,
        work: f64,
        cores: f64,
    ) -> Duration {
        let rate = cores * (1.0 - SHARE_FOR_NEW_CALLERS);
        let needed = if rate > 0.0 {
            Duration::try_from_secs_f64(work / rate).unwrap_or(MAX_RETRY)
        } else {
            MAX_RETRY
        };
        let earliest = now + MIN_RETRY;
        let from = self.reserved_until.max(earliest);
        let until = from + needed.min(MAX_RETRY);
        self.reserved_until = until.min(now + MAX_RETRY);
        from.saturating_sub(now).min(MAX_RETRY)
    }
}
