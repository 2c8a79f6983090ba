//! HTTP replies to callers and operators: status code and JSON body.

use bytes::Bytes;
use serde::Serialize;
use smol_str::SmolStr;

use crate::dispatch::Refusal;

/// Which tasks of a job were started; the value of `ran` in replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StartedTasks {
    /// No task was started.
    None,
    /// Some tasks were started.
    Some,
    /// All tasks were started.
    All,
    /// It is unknown whether tasks were started.
    Unknown,
}

/// The reason why a job failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobFailure {
    /// Stable error code.
    pub code: SmolStr,
    /// Human-readable description.
    pub text: SmolStr,
}

impl JobFailure {
    #[must_use]
    pub fn new(code: &str, text: &str) -> Self {
        Self {
            code: code.into(),
            text: text.into(),
        }
    }
}

/// Numbers of started and not started tasks of an ended job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskCounts {
    pub started: u32,
    /// Tasks that were not started and never will be.
    pub not_started: u32,
}

/// Failure code of jobs that may have tasks on an agent that was lost.
pub const IN_DOUBT: &str = "in_doubt";

/// An HTTP reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Bytes,
}

#[derive(Serialize)]
struct CompleteBody<'a> {
    id: &'a str,
    state: &'static str,
    results: Vec<std::borrow::Cow<'a, str>>,
}

#[derive(Serialize)]
struct FailedBody<'a> {
    id: &'a str,
    state: &'static str,
    code: &'a str,
    text: &'a str,
    ran: StartedTasks,
    started: u32,
    not_started: u32,
}

#[derive(Serialize)]
struct OpenBody<'a> {
    id: &'a str,
    state: &'static str,
}

#[derive(Serialize)]
struct CollectedBody<'a> {
    id: &'a str,
    state: &'static str,
    outcome: &'static str,
    #[serde(skip_serializing_if = "str::is_empty")]
    code: &'a str,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    text: &'a str,
    ran: StartedTasks,
}

/// Builds a reply with any serializable body.
pub fn json<T: Serialize>(status: u16, body: &T) -> HttpReply {
    let bytes = serde_json::to_vec(body).unwrap_or_else(|e| format!("\"{e}\"").into_bytes());
    HttpReply {
        status,
        body: bytes.into(),
    }
}

/// Reply with all results of a job, in task order.
pub fn complete(id: &str, results: &[Bytes]) -> HttpReply {
    let mut texts = Vec::with_capacity(results.len());
    for result in results {
        texts.push(String::from_utf8_lossy(result));
    }
    json(
        200,
        &CompleteBody {
            id,
            state: "complete",
            results: texts,
        },
    )
}

/// Reply for a failed job.
pub fn failed(id: &str, failure: &JobFailure, counts: TaskCounts) -> HttpReply {
    let ran = if failure.code == IN_DOUBT {
        StartedTasks::Unknown
    } else if counts.started == 0 {
        StartedTasks::None
    } else if counts.not_started == 0 {
        StartedTasks::All
    } else {
        StartedTasks::Some
    };
    let body = FailedBody {
        id,
        state: "failed",
        code: &failure.code,
        text: &failure.text,
        ran,
        started: counts.started,
        not_started: counts.not_started,
    };
    json(200, &body)
}

/// Reply for a job whose admission is not known to be durable yet.
pub fn pending(id: &str) -> HttpReply {
    json(
        202,
        &OpenBody {
            id,
            state: "pending",
        },
    )
}

/// Reply for a running job.
pub fn running(id: &str) -> HttpReply {
    json(
        202,
        &OpenBody {
            id,
            state: "running",
        },
    )
}

/// Reply for a job whose result is no longer stored. `code` is empty if the job completed.
pub fn collected(id: &str, code: &str) -> HttpReply {
    let outcome = if code.is_empty() {
        "complete"
    } else {
        "failed"
    };
    let state = "collected";
    json(
        200,
        &CollectedBody {
            id,
            state,
            outcome,
            code,
        },
    )
}

/// Builds an error reply.
pub fn error_reply(status: u16, code: &str, text: &str, ran: StartedTasks) -> HttpReply {
    json(
        status,
        &ErrorBody {
            error: ErrorDetail { code, text, ran },
        },
    )
}

/// Converts a refusal by the dispatcher into its code and reply.
pub fn admission_error(refusal: Refusal) -> (&'static str, HttpReply) {
    let (status, code, text) = match refusal {
        Refusal::UnknownClass => (404, "unknown_class", "there is no class of this name"),
        Refusal::Quota => (
            429,
            "quota",
            "the team's quota is used and capacity is short",
        ),
        Refusal::Overloaded => (
            503,
            "overloaded",
            "the work ahead of this job exceeds what its class's target allows",
        ),
    };
    (code, error_reply(status, code, text, StartedTasks::None))
}

/// Reply while the owner is unreachable. Only the owner knows whether an earlier submission of the
/// id started any tasks.
pub fn owner_unreachable() -> HttpReply {
    error_reply(
        503,
        "owner_unreachable",
        "this request started nothing; an earlier submission of the same id may have",
        StartedTasks::Unknown,
    )
}

/// Reply for a request that another process may have applied, with an unknown outcome.
pub fn outcome_unknown() -> HttpReply {
    error_reply(
        503,
        "unknown",
        "the outcome cannot be learned now; ask again by id",
        StartedTasks::Unknown,
    )
}
