//! Reads request bodies, limited in size and time, and parses them strictly.

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use gotham::hyper::body::Body as _;
use gotham::state::{FromState, State};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use serde_json::error::Category;
use tokio::time::timeout;

use super::api::Api;
use super::error::{ApiError, Result};

/// Maximum size of a body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// An oversized body is read and discarded up to this length before the error is sent: closing a
/// connection with unread bytes resets it, and the client could miss the error.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Reads the whole body of a request.
pub(super) async fn read(api: &Api, state: &mut State) -> Result<Bytes> {
    let body = Body::take_from(state);
    let read = timeout(api.body_time, collect(body)).await;
    read.unwrap_or_else(|_elapsed| Err(ApiError::body_timeout(api.body_time)))
}

async fn collect(mut body: Body) -> Result<Bytes> {
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if expected > MAX_DISCARDED_BYTES {
        return Err(ApiError::too_large("body", MAX_BODY_BYTES));
    }
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| ApiError::incomplete_body())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length > MAX_DISCARDED_BYTES {
            break;
        }
        if length > MAX_BODY_BYTES {
            continue;
        }
        // Most bodies arrive in one frame, which is used without a copy.
        if length == data.len() {
            first = data;
            continue;
        }
        if joined.is_empty() {
            joined.reserve(expected.min(MAX_BODY_BYTES));
            joined.extend_from_slice(&first);
        }
        joined.extend_from_slice(&data);
    }
    if length > MAX_BODY_BYTES {
        return Err(ApiError::too_large("body", MAX_BODY_BYTES));
    }
    Ok(if joined.is_empty() {
        first
    } else {
        joined.freeze()
    })
}

/// Parses a JSON body.
pub(super) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| json_error(&error))
}

/// Converts an error of the JSON parser.
pub(super) fn json_error(error: &serde_json::Error) -> ApiError {
    match error.classify() {
        Category::Data => ApiError::bad_structure(error),
        Category::Io | Category::Syntax | Category::Eof => ApiError::bad_json(error),
    }
}
