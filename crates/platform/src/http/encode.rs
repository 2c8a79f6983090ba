//! Encoding of requests as HTTP messages.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request as HttpRequest};
use knapweedwall_core::store::{Failure, Request};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::protocol::{
    GET_PATH, GetRow, OBJECTS_PATH, SCAN_PATH, ScanRows, TRANSACT_PATH, Transact, is_object_key,
};

/// Encodes `request` for the platform with the base URL `base`.
///
/// # Errors
/// [`Failure::NotApplied`] if the request cannot be expressed in the protocol.
pub fn encode(base: &str, request: Request) -> Result<HttpRequest<Full<Bytes>>, Failure> {
    match request {
        Request::Transact(transaction) => {
            table_request(base, TRANSACT_PATH, &Transact::from(transaction))
        }
        Request::Get(key) => table_request(base, GET_PATH, &GetRow { key }),
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
            table_request(base, SCAN_PATH, &scan)
        }
        Request::PutObject(key, content) => object_request(base, Method::PUT, &key, content),
        Request::GetObject(key) => object_request(base, Method::GET, &key, Bytes::new()),
        Request::DeleteObject(key) => object_request(base, Method::DELETE, &key, Bytes::new()),
    }
}

/// Encodes a request to the table service.
fn table_request(
    base: &str,
    path: &str,
    message: &impl Serialize,
) -> Result<HttpRequest<Full<Bytes>>, Failure> {
    let json = serde_json::to_vec(message).map_err(encode_failure)?;
    HttpRequest::post(format!("{base}{path}"))
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(json.into()))
        .map_err(encode_failure)
}

/// Encodes a request to the object store.
fn object_request(
    base: &str,
    method: Method,
    key: &SmolStr,
    content: Bytes,
) -> Result<HttpRequest<Full<Bytes>>, Failure> {
    if !is_object_key(key) {
        let text = format_smolstr!("encode: {key:?} is not a valid object key");
        return Err(Failure::NotApplied(text));
    }
    HttpRequest::builder()
        .method(method)
        .uri(format!("{base}{OBJECTS_PATH}{key}"))
        .body(Full::new(content))
        .map_err(encode_failure)
}

/// Converts an error of encoding a request; such a request is never sent.
fn encode_failure(error: impl std::fmt::Display) -> Failure {
    Failure::NotApplied(format_smolstr!("encode: {error}"))
}
