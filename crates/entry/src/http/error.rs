//! Errors that the API returns itself rather than the decisions. None of these requests started
//! or recorded anything, except that [`ApiError::unknown_outcome`] leaves this open.

use std::fmt::Display;

use knapweedwall_core::entry::{StartedTasks, error_reply};

use crate::input_queue::CallResponse;

/// Result of a handler.
pub(super) type Result<T, E = ApiError> = std::result::Result<T, E>;

/// An error response with its HTTP status.
#[derive(Debug)]
pub(super) struct ApiError {
    status: u16,
    code: &'static str,
    text: String,
    ran: StartedTasks,
}

impl ApiError {
    fn new(status: u16, code: &'static str, text: String) -> Self {
        Self {
            status,
            code,
            text,
            ran: StartedTasks::None,
        }
    }

    /// The body is not valid JSON.
    pub(super) fn bad_json(error: &impl Display) -> Self {
        Self::new(400, "bad_json", error.to_string())
    }

    /// A field, parameter or header has an invalid value.
    pub(super) fn bad_field(name: &str, found: &impl Display, allowed: &str) -> Self {
        let text = format!("{name}: found {found}, allowed is {allowed}");
        Self::new(400, "bad_field", text)
    }

    /// The body has an unknown, missing or mistyped field.
    pub(super) fn bad_structure(error: &impl Display) -> Self {
        Self::new(400, "bad_field", error.to_string())
    }

    /// A path or query parameter is unknown or cannot be parsed.
    pub(super) fn bad_parameter() -> Self {
        let text = "a parameter of the path or query is unknown or cannot be read";
        Self::new(400, "bad_field", text.to_owned())
    }

    /// The body or a part of it exceeds its maximum size.
    pub(super) fn too_large(what: &str, allowed: usize) -> Self {
        let text = format!("{what}: allowed are at most {allowed} bytes");
        Self::new(413, "too_large", text)
    }

    /// The job exceeds the maximum number of tasks.
    pub(super) fn too_many_tasks(found: usize, allowed: usize) -> Self {
        let text = format!("tasks: found {found}, allowed are at most {allowed}");
        Self::new(413, "too_many_tasks", text)
    }

    /// The body was not received within the timeout.
    pub(super) fn body_timeout(limit: std::time::Duration) -> Self {
        let text = format!("the body was not complete within {limit:?}");
        Self::new(408, "too_slow", text)
    }

    /// Reading the body failed before it was complete.
    pub(super) fn incomplete_body() -> Self {
        Self::new(400, "bad_json", "the body broke off".to_owned())
    }

    /// The path does not exist.
    pub(super) fn unknown_path() -> Self {
        Self::new(404, "unknown_path", "there is no such path".to_owned())
    }

    /// The path does not support the method.
    pub(super) fn unknown_method() -> Self {
        let text = "the path does not have this method".to_owned();
        Self::new(405, "unknown_method", text)
    }

    /// The queue of requests to the decisions is full.
    pub(super) fn overloaded() -> Self {
        Self::not_processed("overloaded", "too many requests wait in this process")
    }

    /// The event loop has ended.
    pub(super) fn stopping() -> Self {
        Self::not_processed("stopping", "this process is stopping")
    }

    /// The request did not reach the decisions. `ran` is unknown, since an earlier submission of
    /// the same id may have run.
    fn not_processed(code: &'static str, text: &str) -> Self {
        let text = format!("{text}; this request started nothing, an earlier one may have");
        Self {
            ran: StartedTasks::Unknown,
            ..Self::new(503, code, text)
        }
    }

    /// The request reached the decisions, but its outcome can no longer be determined here.
    pub(super) fn unknown_outcome() -> Self {
        let text = "the outcome cannot be learned now; ask again by id".to_owned();
        Self {
            ran: StartedTasks::Unknown,
            ..Self::new(503, "unknown", text)
        }
    }
}

impl From<ApiError> for CallResponse {
    fn from(error: ApiError) -> Self {
        let reply = error_reply(error.status, error.code, &error.text, error.ran);
        Self {
            status: reply.status,
            body: reply.body,
        }
    }
}
