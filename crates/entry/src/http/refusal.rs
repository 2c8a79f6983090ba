//! Refusals of the API itself. None of these requests started or recorded anything.

use std::fmt::Display;

use knapweedwall_core::entry::{StartedTasks, error_reply};

use crate::ring::Answer;

/// Result of a handler.
pub(super) type Result<T, E = Refusal> = std::result::Result<T, E>;

/// A refusal with its HTTP status.
#[derive(Debug)]
pub(super) struct Refusal {
    status: u16,
    code: &'static str,
    text: String,
    ran: StartedTasks,
}

impl Refusal {
    fn new(status: u16, code: &'static str, text: String) -> Self {
        Self {
            status,
            code,
            text,
            ran: StartedTasks::None,
        }
    }

    /// The body is not JSON.
    pub(super) fn bad_json(error: &impl Display) -> Self {
        Self::new(400, "bad_json", error.to_string())
    }

    /// A field, parameter or header has a value that is not allowed.
    pub(super) fn bad_field(name: &str, found: &impl Display, allowed: &str) -> Self {
        let text = format!("{name}: found {found}, allowed is {allowed}");
        Self::new(400, "bad_field", text)
    }

    /// The body has a field that is unknown, missing or of another type.
    pub(super) fn bad_content(error: &impl Display) -> Self {
        Self::new(400, "bad_field", error.to_string())
    }

    /// A parameter of the path or the query cannot be read.
    pub(super) fn bad_parameter() -> Self {
        let text = "a parameter of the path or query is unknown or cannot be read";
        Self::new(400, "bad_field", text.to_owned())
    }

    /// The body or a part of it is too large.
    pub(super) fn too_large(what: &str, allowed: usize) -> Self {
        let text = format!("{what}: allowed are at most {allowed} bytes");
        Self::new(413, "too_large", text)
    }

    /// The job has too many tasks.
    pub(super) fn too_many_tasks(found: usize, allowed: usize) -> Self {
        let text = format!("tasks: found {found}, allowed are at most {allowed}");
        Self::new(413, "too_many_tasks", text)
    }

    /// The body did not come in time.
    pub(super) fn too_slow(limit: std::time::Duration) -> Self {
        let text = format!("the body was not complete within {limit:?}");
        Self::new(408, "too_slow", text)
    }

    /// The body broke off.
    pub(super) fn broken_off() -> Self {
        Self::new(400, "bad_json", "the body broke off".to_owned())
    }

    /// There is no such path.
    pub(super) fn unknown_path() -> Self {
        Self::new(404, "unknown_path", "there is no such path".to_owned())
    }

    /// The path has no such method.
    pub(super) fn unknown_method() -> Self {
        let text = "the path does not have this method".to_owned();
        Self::new(405, "unknown_method", text)
    }

    /// Too many requests wait for the decisions.
    pub(super) fn overloaded() -> Self {
        Self::unasked("overloaded", "too many requests wait in this process")
    }

    /// The process has ended its work.
    pub(super) fn stopping() -> Self {
        Self::unasked("stopping", "this process is stopping")
    }

    /// The decisions were not asked: an earlier submission of the same id may have run.
    fn unasked(code: &'static str, text: &str) -> Self {
        let text = format!("{text}; this request started nothing, an earlier one may have");
        Self {
            ran: StartedTasks::Unknown,
            ..Self::new(503, code, text)
        }
    }

    /// The request was taken and its outcome cannot be learned here any more.
    pub(super) fn unknown() -> Self {
        let text = "the outcome cannot be learned now; ask again by id".to_owned();
        Self {
            ran: StartedTasks::Unknown,
            ..Self::new(503, "unknown", text)
        }
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        let reply = error_reply(refusal.status, refusal.code, &refusal.text, refusal.ran);
        Self {
            status: reply.status,
            body: reply.body,
        }
    }
}
