//! Request bodies: bounded in size and time, strict in form.

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use gotham::hyper::body::Body as _;
use gotham::state::{FromState, State};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use serde_json::error::Category;
use tokio::time::timeout;

use super::api::Api;
use super::refusal::{Refusal, Result};

/// Largest body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Bytes of a body that is too large that are read before the refusal is sent. A connection with
/// unread bytes is reset, and its caller might not get to see the refusal.
const MAX_SKIPPED_BYTES: usize = 8 * 1024 * 1024;

/// Reads the whole body of a request.
pub(super) async fn read(api: &Api, state: &mut State) -> Result<Bytes> {
    let body = Body::take_from(state);
    let read = timeout(api.body_time, collect(body)).await;
    read.unwrap_or_else(|_late| Err(Refusal::too_slow(api.body_time)))
}

async fn collect(mut body: Body) -> Result<Bytes> {
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if expected > MAX_SKIPPED_BYTES {
        return Err(Refusal::too_large("body", MAX_BODY_BYTES));
    }
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| Refusal::broken_off())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length > MAX_SKIPPED_BYTES {
            break;
        }
        if length > MAX_BODY_BYTES {
            continue;
        }
        // Most bodies come in one piece, which is used as it is.
        if length == data.len() {
            first = data;
            continue;
        }
        if whole.is_empty() {
            whole.reserve(expected.min(MAX_BODY_BYTES));
            whole.extend_from_slice(&first);
        }
        whole.extend_from_slice(&data);
    }
    if length > MAX_BODY_BYTES {
        return Err(Refusal::too_large("body", MAX_BODY_BYTES));
    }
    Ok(if whole.is_empty() {
        first
    } else {
        whole.freeze()
    })
}

/// Parses a JSON body.
pub(super) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| refusal(&error))
}

/// The refusal for an error of the JSON parser.
pub(super) fn refusal(error: &serde_json::Error) -> Refusal {
    match error.classify() {
        Category::Data => Refusal::bad_content(error),
        Category::Io | Category::Syntax | Category::Eof => Refusal::bad_json(error),
    }
}
