//! Errors of the launcher.

use std::io;
use std::time::Duration;

use snafu::Snafu;

/// Result of an operation on the launched processes.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What went wrong.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A binary is missing.
    #[snafu(display("binary {name} not found; build it with `cargo build --workspace`"))]
    NoBinary {
        /// Its name.
        name: String,
    },
    /// The operating system refused a step.
    #[snafu(display("{step} of {name}: {source}"))]
    System {
        /// Step.
        step: &'static str,
        /// Process or file.
        name: String,
        /// Cause.
        source: io::Error,
    },
    /// No process of this name was started.
    #[snafu(display("no process {name}"))]
    NoProcess {
        /// Name given.
        name: String,
    },
    /// A condition did not come true in time.
    #[snafu(display("{what}: not within {limit:?}; last seen: {last}"))]
    TooLate {
        /// Condition.
        what: String,
        /// Time allowed.
        limit: Duration,
        /// What was seen last.
        last: String,
    },
    /// A process ended by itself.
    #[snafu(display("{name} ended with {status}; end of its log:\n{log}"))]
    Ended {
        /// Process.
        name: String,
        /// Exit status.
        status: String,
        /// Last lines of its log.
        log: String,
    },
    /// A request to a process failed.
    #[snafu(display("{text}"))]
    Request {
        /// Request and failure.
        text: String,
    },
}
