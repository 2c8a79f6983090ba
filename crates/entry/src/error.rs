//! Errors that prevent an entry process from starting or end it early.

use std::io;
use std::net::SocketAddr;

use knapweedwall_runtime::settings;
use snafu::Snafu;

/// Result of starting or running an entry process.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors that prevent an entry process from starting or end it early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// All errors in the file.
        source: settings::Error,
    },
    /// A listener cannot be opened.
    #[snafu(display("{what} listener on {address}: {source}"))]
    Listen {
        /// The listener.
        what: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another resource of the operating system is not available.
    #[snafu(display("{what}: {source}"))]
    System {
        /// The resource.
        what: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread panicked.
    #[snafu(display("thread {thread} panicked"))]
    Panicked {
        /// Name of the thread.
        thread: &'static str,
    },
}
