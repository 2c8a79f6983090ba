//! The clock of the store, which all entry processes read.
//!
//! Times that are stored for other processes are on this clock. The times of day of hosts differ and
//! jump, and start anywhere on a host without a disk.

use std::time::Duration;

/// Longest time between a call and its response for which a reading replaces the one before. It bounds
/// the error of [`StoreClock::now_ms`]: the store may have read its clock at any moment in between.
const MAX_CALL_TIME: Duration = Duration::from_secs(1);

/// A reading of the store's clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    clock_ms: u64,
    /// When the response arrived.
    read_at: Duration,
    /// Time between the call and the response.
    call_time: Duration,
}

/// This process's estimate of the store's clock.
#[derive(Debug, Default)]
pub(super) struct StoreClock {
    reading: Option<Reading>,
}

impl StoreClock {
    /// Records the clock in a response that arrived at `now`, to a call that was sent at `sent`.
    pub(super) fn record(&mut self, now: Duration, sent: Duration, clock_ms: u64) {
        let call_time = now.saturating_sub(sent);
        let better = |known: Reading| call_time <= known.call_time.max(MAX_CALL_TIME);
        if self.reading.is_none_or(better) {
            self.reading = Some(Reading {
                clock_ms,
                read_at: now,
                call_time,
            });
        }
    }

    /// Returns the present time in milliseconds, at most [`MAX_CALL_TIME`] early once a call has taken no
    /// longer than that; `None` before the first reading.
    pub(super) fn now_ms(&self, now: Duration) -> Option<u64> {
        let reading = self.reading?;
        let elapsed = now.saturating_sub(reading.read_at).as_millis();
        let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        Some(reading.clock_ms.saturating_add(elapsed_ms))
    }
}
