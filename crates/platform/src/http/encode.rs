//! Requests in the form of the published protocol.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request as HttpRequest};
use knapweedwall_core::store::{Failure, Request};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::protocol::{
    GET_PATH, GetRow, OBJECTS_PATH, SCAN_PATH, ScanRows, TRANSACT_PATH, Transact, is_object_key,
};

/// Encodes `request` for the platform at `base`.
///
/// # Errors
/// [`Failure::NotApplied`] when the protocol cannot express the request.
pub fn encode(base: &str, request: Request) -> Result<HttpRequest<Full<Bytes>>, Failure> {
    match request {
        Request::Transact(transaction) => {
            post_json(base, TRANSACT_PATH, &Transact::from(transaction))
        }
        Request::Get(key) => post_json(base, GET_PATH, &GetRow { key }),
        Request::Scan {
            prefix,
            after,
            limit,
        } => {
            let scan = ScanRows {
                prefix,
                after,
                limit,
            };
            post_json(base, SCAN_PATH, &scan)
        }
        Request::PutObject(key, content) => on_object(base, Method::PUT, &key, content),
        Request::GetObject(key) => on_object(base, Method::GET, &key, Bytes::new()),
        Request::DeleteObject(key) => on_object(base, Method::DELETE, &key, Bytes::new()),
    }
}

/// Encodes a request to the table service.
fn post_json(
    base: &str,
    path: &str,
    message: &impl Serialize,
) -> Result<HttpRequest<Full<Bytes>>, Failure> {
    let json = serde_json::to_vec(message).map_err(not_sent)?;
    HttpRequest::post(format!("{base}{path}"))
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(json.into()))
        .map_err(not_sent)
}

/// Encodes a request to the object store.
fn on_object(
    base: &str,
    method: Method,
    key: &SmolStr,
    content: Bytes,
) -> Result<HttpRequest<Full<Bytes>>, Failure> {
    if !is_object_key(key) {
        let text = format_smolstr!("encode: {key:?} is not a key of an object");
        return Err(Failure::NotApplied(text));
    }
    HttpRequest::builder()
        .method(method)
        .uri(format!("{base}{OBJECTS_PATH}{key}"))
        .body(Full::new(content))
        .map_err(not_sent)
}

/// Failure of a request that could not be encoded.
fn not_sent(error: impl std::fmt::Display) -> Failure {
    Failure::NotApplied(format_smolstr!("encode: {error}"))
}
