//! Answers to requests, correct or faulty.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use serde::Serialize;

/// What a server does with a request.
#[derive(Debug)]
pub enum Answer {
    /// Sends a response.
    Reply(Response<Full<Bytes>>),
    /// Resets the connection without a response.
    Reset,
    /// Sends bytes as they are in place of a response.
    Raw {
        /// Bytes to send.
        bytes: Bytes,
        /// Whether the connection takes further requests afterwards.
        reuse: bool,
    },
}

/// A response with a plain text.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    reply(status, "text/plain; charset=utf-8", text.into())
}

/// A response with a JSON document.
pub(crate) fn json(status: StatusCode, document: &impl Serialize) -> Answer {
    match serde_json::to_vec(document) {
        Ok(bytes) => reply(status, "application/json", bytes.into()),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// A response with a body of the type `kind`.
fn reply(status: StatusCode, kind: &'static str, body: Bytes) -> Answer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static(kind);
    let headers = response.headers_mut();
    headers.insert(hyper::header::CONTENT_TYPE, kind);
    Answer::Reply(response)
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// The reason when the body is too large or breaks off.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, String> {
    let collected = Limited::new(body, limit).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|e| e.to_string())
}
