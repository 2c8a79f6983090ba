//! Statement of the platform that a request had no effect.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Reason for declining a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    Invalid,
    /// A row, an object or a request is too large.
    TooLarge,
    /// No object has this key.
    NoObject,
    /// The rate limit is exceeded.
    RateLimited,
    /// The platform is out of service.
    Unavailable,
}

impl Code {
    /// Status of a reply with this code.
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

/// Body of a reply that declines a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declined {
    /// Reason.
    pub code: Code,
    /// Whether the request had an effect; a declined request never has one.
    pub applied: bool,
    /// Explanation for people.
    pub text: SmolStr,
}

impl Declined {
    /// Declines a request for the reason `code`.
    pub fn new(code: Code, text: impl Into<SmolStr>) -> Self {
        Self {
            code,
            applied: false,
            text: text.into(),
        }
    }
}
