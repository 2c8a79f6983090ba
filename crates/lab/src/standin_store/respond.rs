//! Replies in the form of the published protocol.

use hyper::{Response, StatusCode};
use knapweedwall_core::store::Reply;
use knapweedwall_platform::protocol::{
    Committed, Conflict, ErrorCode, ErrorReply, GetRowReply, ScanRowsReply,
};
use smol_str::ToSmolStr;

use crate::http::{Answer, json};
use crate::table::Invalid;

/// The published form of a reply.
pub(super) fn respond(reply: Reply) -> Answer {
    match reply {
        Reply::Committed(version) => json(StatusCode::OK, &Committed { version }),
        Reply::Conflict(failed) => {
            let failed = failed.into_iter().map(Into::into).collect();
            json(StatusCode::CONFLICT, &Conflict { failed })
        }
        Reply::Row(row) => {
            let row = row.map(Into::into);
            json(StatusCode::OK, &GetRowReply { row })
        }
        Reply::Rows(rows, more) => {
            let rows = rows.into_iter().map(Into::into).collect();
            json(StatusCode::OK, &ScanRowsReply { rows, more })
        }
        Reply::Object(Some(content)) => Answer::Reply(Response::new(content.into())),
        Reply::Object(None) => declined(&ErrorReply::new(ErrorCode::NoObject, "no such object")),
        Reply::Done => {
            let mut response = Response::default();
            *response.status_mut() = StatusCode::NO_CONTENT;
            Answer::Reply(response)
        }
    }
}

/// Reason for declining a request that breaks a rule of the service.
pub(super) fn reason(error: &Invalid) -> ErrorReply {
    let code = match error {
        Invalid::RowSize { .. } | Invalid::ObjectSize { .. } => ErrorCode::TooLarge,
        Invalid::RowKey | Invalid::ObjectKey { .. } => ErrorCode::Invalid,
    };
    ErrorReply::new(code, error.to_smolstr())
}

/// The published form of a declined request.
pub(super) fn declined(declined: &ErrorReply) -> Answer {
    json(declined.code.status(), declined)
}
