//! Error replies, which state that a request had no effect.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Reason why the platform rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    Invalid,
    /// A row, an object or a request is too large.
    TooLarge,
    /// No object has this key.
    NoObject,
    /// The rate limit is exceeded.
    RateLimited,
    /// The platform is temporarily unavailable.
    Unavailable,
}

impl ErrorCode {
    /// HTTP status of a reply with this code.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Invalid => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoObject => StatusCode::NOT_FOUND,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Body of a reply to a request that the platform rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Reason for the rejection.
    pub code: ErrorCode,
    /// Whether the request had an effect; `false` in every valid error reply.
    pub applied: bool,
    /// Human-readable explanation.
    pub text: SmolStr,
}

impl ErrorReply {
    /// Creates an error reply with `applied` set to `false`.
    pub fn new(code: ErrorCode, text: impl Into<SmolStr>) -> Self {
        Self {
            code,
            applied: false,
            text: text.into(),
        }
    }
}
