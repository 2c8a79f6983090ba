//! Replies to callers and operators: HTTP status and JSON body.

use bytes::Bytes;
use serde::Serialize;
use smol_str::SmolStr;

use crate::dispatch::Refusal;

/// Which of a job's tasks ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutedTasks {
    /// No task was started.
    None,
    /// Some tasks were started.
    Some,
    /// All tasks were started.
    All,
    /// It is not known.
    Unknown,
}

/// Why a job failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobFailure {
    /// Stable code.
    pub code: SmolStr,
    /// What happened, for people.
    pub text: SmolStr,
}

impl JobFailure {
    /// A cause with a code and a text.
    #[must_use]
    pub fn new(code: &str, text: &str) -> Self {
        Self {
            code: code.into(),
            text: text.into(),
        }
    }
}

/// How many tasks were started and how many never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskCounts {
    /// Tasks that were started.
    pub started: u32,
    /// Tasks that were not started and never will be.
    pub not_started: u32,
}

/// Code of a failure in which an agent's memory was lost.
pub const IN_DOUBT: &str = "in_doubt";

/// A reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpReply {
    /// HTTP status.
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
    ran: ExecutedTasks,
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
    ran: ExecutedTasks,
}

/// A reply with any serialisable body.
pub fn json<T: Serialize>(status: u16, body: &T) -> HttpReply {
    let bytes = serde_json::to_vec(body).unwrap_or_else(|e| format!("\"{e}\"").into_bytes());
    HttpReply {
        status,
        body: bytes.into(),
    }
}

/// All results of a job, in order of its tasks.
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

/// A job that failed.
pub fn failed(id: &str, failure: &JobFailure, counts: TaskCounts) -> HttpReply {
    let ran = if failure.code == IN_DOUBT {
        ExecutedTasks::Unknown
    } else if counts.started == 0 {
        ExecutedTasks::None
    } else if counts.not_started == 0 {
        ExecutedTasks::All
    } else {
        ExecutedTasks::Some
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

/// A job whose admission is not known to be durable yet.
pub fn pending(id: &str) -> HttpReply {
    json(
        202,
        &OpenBody {
            id,
            state: "pending",
        },
    )
}

/// A job that runs.
pub fn running(id: &str) -> HttpReply {
    json(
        202,
        &OpenBody {
            id,
            state: "running",
        },
    )
}

/// A job whose answer is no longer held. `code` is empty when it ended complete.
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

/// A refusal.
pub fn error_reply(status: u16, code: &str, text: &str, ran: ExecutedTasks) -> HttpReply {
    json(
        status,
        &ErrorBody {
            error: ErrorDetail { code, text, ran },
        },
    )
}

/// A refusal by the dispatcher, with its code.
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
    (code, error_reply(status, code, text, ExecutedTasks::None))
}

/// A process that does not own the shard cannot tell whether an earlier submission of the id ran.
pub fn owner_unreachable() -> HttpReply {
    error_reply(
        503,
        "owner_unreachable",
        "this request started nothing; an earlier submission of the same id may have",
        ExecutedTasks::Unknown,
    )
}

/// The submission was passed on and its outcome cannot be learned now.
pub fn outcome_unknown() -> HttpReply {
    error_reply(
        503,
        "unknown",
        "the outcome cannot be learned now; ask again by id",
        ExecutedTasks::Unknown,
    )
}
