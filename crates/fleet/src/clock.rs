//! The clock of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use knapweedwall_core::Now;
use rustix::time::{ClockId, clock_gettime};

/// Steady time since the start of the process. It also counts the time in which the host was
/// suspended, so that a lease is not thought to last longer than it does.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Duration);

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        // The first reading is not zero: zero stands for "never" in the decisions.
        Self(since_boot().saturating_sub(Duration::from_secs(60)))
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = wall.unwrap_or_default().as_millis();
        Now {
            mono: since_boot().saturating_sub(self.0),
            wall_ms: u64::try_from(wall_ms).unwrap_or(u64::MAX),
        }
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(time.tv_sec).unwrap_or_default(), nanos)
}
