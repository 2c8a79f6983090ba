//! Replies to callers and operators: HTTP status and JSON body.

use bytes::Bytes;
use serde::Serialize;
use smol_str::SmolStr;

use crate::dispatch::Refusal;

/// Which of a job's tasks ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
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
pub struct Cause {
    /// Stable code.
    pub code: SmolStr,
    /// What happened, for people.
    pub text: SmolStr,
}

impl Cause {
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
pub struct Counts {
    /// Tasks that were started.
    pub started: u32,
    /// Tasks that were not started and never will be.
    pub skipped: u32,
}

/// Code of a failure in which an agent's memory was lost.
pub const IN_DOUBT: &str = "in_doubt";

/// A reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Bytes,
}

#[derive(Serialize)]
struct Complete<'a> {
    id: &'a str,
    state: &'static str,
    results: Vec<std::borrow::Cow<'a, str>>,
}

#[derive(Serialize)]
struct Failed<'a> {
    id: &'a str,
    state: &'static str,
    code: &'a str,
    text: &'a str,
    ran: Ran,
    started: u32,
    not_started: u32,
}

#[derive(Serialize)]
struct Open<'a> {
    id: &'a str,
    state: &'static str,
}

#[derive(Serialize)]
struct Collected<'a> {
    id: &'a str,
    state: &'static str,
    outcome: &'static str,
    #[serde(skip_serializing_if = "str::is_empty")]
    code: &'a str,
}

#[derive(Serialize)]
struct Refused<'a> {
    error: RefusedError<'a>,
}

#[derive(Serialize)]
struct RefusedError<'a> {
    code: &'a str,
    text: &'a str,
    ran: Ran,
}

/// A reply with any serialisable body.
pub fn json<T: Serialize>(status: u16, body: &T) -> Reply {
    let bytes = serde_json::to_vec(body).unwrap_or_else(|e| format!("\"{e}\"").into_bytes());
    Reply {
        status,
        body: bytes.into(),
    }
}

/// All results of a job, in order of its tasks.
pub fn complete(id: &str, results: &[Bytes]) -> Reply {
    let mut texts = Vec::with_capacity(results.len());
    for result in results {
        texts.push(String::from_utf8_lossy(result));
    }
    json(
        200,
        &Complete {
            id,
            state: "complete",
            results: texts,
        },
    )
}

/// A job that failed.
pub fn failed(id: &str, cause: &Cause, counts: Counts) -> Reply {
    let ran = if cause.code == IN_DOUBT {
        Ran::Unknown
    } else if counts.started == 0 {
        Ran::None
    } else if counts.skipped == 0 {
        Ran::All
    } else {
        Ran::Some
    };
    let body = Failed {
        id,
        state: "failed",
        code: &cause.code,
        text: &cause.text,
        ran,
        started: counts.started,
        not_started: counts.skipped,
    };
    json(200, &body)
}

/// A job whose admission is not known to be durable yet.
pub fn pending(id: &str) -> Reply {
    json(
        202,
        &Open {
            id,
            state: "pending",
        },
    )
}

/// A job that runs.
pub fn running(id: &str) -> Reply {
    json(
        202,
        &Open {
            id,
            state: "running",
        },
    )
}

/// A job whose answer is no longer held. `code` is empty when it ended complete.
pub fn collected(id: &str, code: &str) -> Reply {
    let outcome = if code.is_empty() {
        "complete"
    } else {
        "failed"
    };
    let state = "collected";
    json(
        200,
        &Collected {
            id,
            state,
            outcome,
            code,
        },
    )
}

/// A refusal.
pub fn refused(status: u16, code: &str, text: &str, ran: Ran) -> Reply {
    json(
        status,
        &Refused {
            error: RefusedError { code, text, ran },
        },
    )
}

/// A refusal by the dispatcher, with its code.
pub fn refusal(refusal: Refusal) -> (&'static str, Reply) {
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
    (code, refused(status, code, text, Ran::None))
}

/// A process that does not own the shard cannot tell whether an earlier submission of the id ran.
pub fn unreachable() -> Reply {
    refused(
        503,
        "owner_unreachable",
        "this request started nothing; an earlier submission of the same id may have",
        Ran::Unknown,
    )
}

/// The submission was passed on and its outcome cannot be learned now.
pub fn unknown() -> Reply {
    refused(
        503,
        "unknown",
        "the outcome cannot be learned now; ask again by id",
        Ran::Unknown,
    )
}
