//! How a task ended at a worker.

use std::time::Duration;

/// End of a task at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The endpoint answered.
    Done {
        /// Run time at the endpoint.
        run: Duration,
    },
    /// The endpoint or the agent reported a failure.
    Failed {
        /// Run time at the endpoint.
        run: Duration,
    },
    /// The task provably did not start.
    NotStarted,
    /// The worker is gone and the outcome is in doubt.
    Lost,
}
