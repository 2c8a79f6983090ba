//! Time as it is passed to decisions.

use std::time::Duration;

/// The time of one decision, read once by the thread that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// Monotonic time since the process started.
    pub mono: Duration,
    /// Wall clock in milliseconds since 1970.
    pub wall_ms: u64,
}

impl Now {
    /// Time from `earlier` (monotonic) until now; zero when `earlier` lies ahead.
    #[must_use]
    pub fn since(self, earlier: Duration) -> Duration {
        self.mono.saturating_sub(earlier)
    }
}
