//! Errors of the demonstration and the measurements.

use snafu::Snafu;

use crate::cluster;

/// Result of a run.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a run failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub enum Error {
    /// The processes could not be started or do not answer.
    #[snafu(context(false), display("{source}"))]
    Cluster {
        /// Cause.
        #[snafu(source(from(cluster::Error, Box::new)))]
        source: Box<cluster::Error>,
    },
    /// A sample file is missing or wrong.
    #[snafu(display("{file}: {text}"))]
    Sample {
        /// File.
        file: String,
        /// What is wrong.
        text: String,
    },
    /// The run ended, but its answers break a promise or are missing.
    #[snafu(display("{text}"))]
    Unsound {
        /// The faults.
        text: String,
    },
    /// The operating system refused something.
    #[snafu(context(false), display("{source}"))]
    System {
        /// Cause.
        source: std::io::Error,
    },
}
