//! The clock of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use knapweedwall_core::Now;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that starts with the process.
///
/// It also advances while the host is suspended. Otherwise a lease would seem to be valid for
/// longer than it is.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time since boot at which the clock reads zero.
    origin: Duration,
}

impl Clock {
    /// Starts a clock. Its first reading is 60 s, or the time since boot if that is shorter.
    #[must_use]
    pub fn start() -> Self {
        // The first reading must not be zero, which the state machines use for "never".
        Self {
            origin: time_since_boot().saturating_sub(Duration::from_secs(60)),
        }
    }

    /// Returns the current monotonic and wall-clock time.
    #[must_use]
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = wall.unwrap_or_default().as_millis();
        Now {
            mono: time_since_boot().saturating_sub(self.origin),
            wall_ms: u64::try_from(wall_ms).unwrap_or(u64::MAX),
        }
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(time.tv_sec).unwrap_or_default(), nanos)
}
