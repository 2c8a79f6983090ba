//! Clocks of the machines: steady ones, and times of day, which jump.

use std::time::Duration;

use knapweedwall_core::Now;

/// Time of day at the start of the simulated time.
const START_MS: u64 = 1_700_000_000_000;

/// Time of day on a machine that is ahead of the others.
pub fn time_of_day(now_ms: u64, ahead_ms: i64) -> u64 {
    (START_MS + now_ms).saturating_add_signed(ahead_ms)
}

/// Clocks of a process on such a machine.
pub fn clocks(now_ms: u64, ahead_ms: i64) -> Now {
    Now {
        mono: Duration::from_millis(now_ms),
        wall_ms: time_of_day(now_ms, ahead_ms),
    }
}
