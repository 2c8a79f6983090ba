//! The clock reading that is passed to the state machines.

use std::time::Duration;

/// A reading of both clocks. The calling thread takes it once for each step of a state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// Monotonic time since the process started.
    pub mono: Duration,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

impl Now {
    /// Returns the time elapsed since `earlier`, a monotonic time; zero if `earlier` is in the
    /// future.
    #[must_use]
    pub fn since(self, earlier: Duration) -> Duration {
        self.mono.saturating_sub(earlier)
    }
}
