//! Why an entry process does not start or ends early.

use std::io;
use std::net::SocketAddr;

use knapweedwall_runtime::settings;
use snafu::Snafu;

/// Result of starting and running an entry process.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why an entry process does not start or ends early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The settings cannot be used.
    #[snafu(display("{source}"))]
    Settings {
        /// All faults of the file.
        source: settings::Error,
    },
    /// A listener cannot be opened.
    #[snafu(display("{what} listener on {address}: {source}"))]
    Listen {
        /// Which listener.
        what: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Something else that the process needs from the operating system is not available.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What is needed.
        what: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread ended by a panic.
    #[snafu(display("the thread {thread} ended by a panic"))]
    Panicked {
        /// Name of the thread.
        thread: &'static str,
    },
}
