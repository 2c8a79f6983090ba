//! Requests in the form of the published protocol.

use hyper::body::Incoming;
use hyper::{Method, Request as HttpRequest};
use knapweedwall_core::store::Request;
use knapweedwall_platform::protocol::{
    ErrorCode, ErrorReply, GET_PATH, GetRow, MAX_OBJECT_BYTES, OBJECTS_PATH, SCAN_PATH, ScanRows,
    TRANSACT_PATH, Transact,
};
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::http::read_body;

/// Reads a request.
pub(super) async fn parse(request: HttpRequest<Incoming>) -> Result<Request, ErrorReply> {
    let (head, body) = request.into_parts();
    let body = read_body(body, MAX_OBJECT_BYTES)
        .await
        .map_err(|e| ErrorReply::new(ErrorCode::TooLarge, e))?;
    let path = head.uri.path();
    if let Some(key) = path.strip_prefix(OBJECTS_PATH) {
        return match head.method {
            Method::PUT => Ok(Request::PutObject(key.into(), body)),
            Method::GET => Ok(Request::GetObject(key.into())),
            Method::DELETE => Ok(Request::DeleteObject(key.into())),
            method => Err(invalid(format_smolstr!("method {method}"))),
        };
    }
    match (head.method, path) {
        (Method::POST, TRANSACT_PATH) => {
            from_json(&body).map(|t: Transact| Request::Transact(t.into()))
        }
        (Method::POST, GET_PATH) => from_json(&body).map(|g: GetRow| Request::Get(g.key)),
        (Method::POST, SCAN_PATH) => from_json(&body).map(|s: ScanRows| Request::Scan {
            prefix: s.prefix,
            after: s.after,
            limit: s.limit,
        }),
        (method, path) => Err(invalid(format_smolstr!("{method} {path}"))),
    }
}

/// Reads a JSON message.
fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ErrorReply> {
    serde_json::from_slice(body).map_err(|e| invalid(e.to_smolstr()))
}

/// Declines a malformed request.
fn invalid(text: SmolStr) -> ErrorReply {
    ErrorReply::new(ErrorCode::Invalid, text)
}
