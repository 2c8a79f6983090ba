//! Decoding of replies from HTTP messages.

use bytes::Bytes;
use hyper::StatusCode;
use knapweedwall_core::store::{Failure, Outcome, Reply, Request};
use serde::de::DeserializeOwned;
use smol_str::format_smolstr;

use crate::protocol::{Committed, Conflict, ErrorCode, ErrorReply, GetRowReply, ScanRowsReply};

/// Kind of a request; determines how its reply is decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Run a transaction.
    Transact,
    /// Read one row.
    Get,
    /// Read several rows.
    Scan,
    /// Read an object.
    GetObject,
    /// Write or delete an object.
    ChangeObject,
}

impl From<&Request> for RequestKind {
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

/// Decodes the complete reply to a request of this kind.
pub fn decode(kind: RequestKind, status: StatusCode, body: Bytes) -> Outcome {
    match (status, kind) {
        (StatusCode::OK, RequestKind::Transact) => {
            parse(&body).map(|c: Committed| Reply::Committed(c.version))
        }
        (StatusCode::CONFLICT, RequestKind::Transact) => parse(&body)
            .map(|c: Conflict| Reply::Conflict(c.failed.into_iter().map(Into::into).collect())),
        (StatusCode::OK, RequestKind::Get) => {
            parse(&body).map(|f: GetRowReply| Reply::Row(f.row.map(Into::into)))
        }
        (StatusCode::OK, RequestKind::Scan) => parse(&body).map(|p: ScanRowsReply| {
            Reply::Rows(p.rows.into_iter().map(Into::into).collect(), p.more)
        }),
        (StatusCode::OK, RequestKind::GetObject) => Ok(Reply::Object(Some(body))),
        (StatusCode::NO_CONTENT, RequestKind::ChangeObject) => Ok(Reply::Done),
        _ => decode_error(kind, status, &body),
    }
}

/// Decodes a reply that does not report success.
///
/// Only an [`ErrorReply`] of the platform proves that nothing was applied. A bare status may come
/// from an intermediary between this process and the platform.
fn decode_error(kind: RequestKind, status: StatusCode, body: &[u8]) -> Outcome {
    let unknown = || Failure::Unknown(format_smolstr!("reply: status {status}"));
    let reply: ErrorReply = serde_json::from_slice(body).or(Err(unknown()))?;
    if reply.applied || reply.code.status() != status {
        return Err(unknown());
    }
    match reply.code {
        ErrorCode::NoObject if kind == RequestKind::GetObject => Ok(Reply::Object(None)),
        ErrorCode::NoObject => Err(unknown()),
        ErrorCode::Invalid
        | ErrorCode::TooLarge
        | ErrorCode::RateLimited
        | ErrorCode::Unavailable => {
            let text = format_smolstr!("reply: status {status}, {}", reply.text);
            Err(Failure::NotApplied(text))
        }
    }
}

/// Parses a JSON reply.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|e| Failure::Unknown(format_smolstr!("reply: {e}")))
}
