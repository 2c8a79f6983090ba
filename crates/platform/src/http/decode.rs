//! Replies in the form of the published protocol.

use bytes::Bytes;
use hyper::StatusCode;
use knapweedwall_core::store::{Failure, Outcome, Reply, Request};
use serde::de::DeserializeOwned;
use smol_str::format_smolstr;

use crate::protocol::{Code, Committed, Conflict, Declined, Found, Page};

/// Kind of a request, which decides how its reply is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A transaction.
    Transact,
    /// A read of one row.
    Get,
    /// A read of several rows.
    Scan,
    /// A read of an object.
    GetObject,
    /// A write or a deletion of an object.
    ChangeObject,
}

impl From<&Request> for Kind {
    fn from(request: &Request) -> Self {
        match request {
            Request::Transact(_) => Self::Transact,
            Request::Get(_) => Self::Get,
            Request::Scan { .. } => Self::Scan,
            Request::GetObject(_) => Self::GetObject,
            Request::PutObject(..) | Request::DeleteObject(_) => Self::ChangeObject,
        }
    }
}

/// Reads the whole reply to a request of this kind.
pub fn decode(kind: Kind, status: StatusCode, body: Bytes) -> Outcome {
    match (status, kind) {
        (StatusCode::OK, Kind::Transact) => {
            parse(&body).map(|c: Committed| Reply::Committed(c.version))
        }
        (StatusCode::CONFLICT, Kind::Transact) => parse(&body)
            .map(|c: Conflict| Reply::Conflict(c.failed.into_iter().map(Into::into).collect())),
        (StatusCode::OK, Kind::Get) => {
            parse(&body).map(|f: Found| Reply::Row(f.row.map(Into::into)))
        }
        (StatusCode::OK, Kind::Scan) => parse(&body)
            .map(|p: Page| Reply::Rows(p.rows.into_iter().map(Into::into).collect(), p.more)),
        (StatusCode::OK, Kind::GetObject) => Ok(Reply::Object(Some(body))),
        (StatusCode::NO_CONTENT, Kind::ChangeObject) => Ok(Reply::Done),
        _ => declined(kind, status, &body),
    }
}

/// Reads a reply that reports no success.
///
/// Only a reply that carries the platform's own statement counts as proof that nothing was
/// applied: a bare status may come from something between this process and the platform.
fn declined(kind: Kind, status: StatusCode, body: &[u8]) -> Outcome {
    let unclear = || Failure::Unknown(format_smolstr!("reply: status {status}"));
    let declined: Declined = serde_json::from_slice(body).or(Err(unclear()))?;
    if declined.applied || declined.code.status() != status {
        return Err(unclear());
    }
    match declined.code {
        Code::NoObject if kind == Kind::GetObject => Ok(Reply::Object(None)),
        Code::NoObject => Err(unclear()),
        Code::Invalid | Code::TooLarge | Code::RateLimited | Code::Unavailable => {
            let text = format_smolstr!("reply: status {status}, {}", declined.text);
            Err(Failure::NotApplied(text))
        }
    }
}

/// Parses a JSON reply.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|e| Failure::Unknown(format_smolstr!("reply: {e}")))
}
