//! Errors of the command line and the exit code of each.

use snafu::Snafu;

/// Result of a command.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The system declined the request.
    #[snafu(display("refused ({code}): {text}"))]
    Refused {
        /// Code of the reply.
        code: String,
        /// Text of the reply.
        text: String,
    },
    /// An argument or a file is wrong; nothing was sent.
    #[snafu(display("{text}"))]
    Usage {
        /// What is wrong and what is allowed.
        text: String,
    },
    /// There is a newer configuration than the one the change was based on.
    #[snafu(display("conflict: {text}"))]
    Conflict {
        /// Text of the reply.
        text: String,
    },
    /// No entry process could be reached; the request took no effect.
    #[snafu(display("not reachable, nothing was sent: {text}"))]
    Unreachable {
        /// Each address with its failure.
        text: String,
    },
    /// The request was sent and its effect is not known.
    #[snafu(display("outcome unknown: {text}"))]
    Unknown {
        /// What is missing and how to find out.
        text: String,
    },
}

impl Error {
    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Conflict { .. } => 3,
            Self::Unreachable { .. } => 4,
            Self::Unknown { .. } => 5,
        }
    }
}
