//! Parameters of paths, queries and headers.

use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Response};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState, State, StateData};
use serde::Deserialize;
use smol_str::SmolStr;

use super::error::{ApiError, Result};
use super::router;

/// Maximum wait of a caller.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Maximum number of audit records in one response.
const MAX_HISTORY_RECORDS: u32 = 1_000;

/// Maximum length of an operator's name.
const MAX_OPERATOR_BYTES: usize = 64;

/// The last segment of a path: a job id, or the name of a class or team.
#[derive(Debug, Deserialize)]
pub(super) struct NameParam {
    pub(super) name: String,
}

/// `?wait=`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WaitParam {
    wait: Option<String>,
}

/// `?version=`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct VersionParam {
    pub(super) version: Option<u64>,
}

/// `?limit=`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LimitParam {
    limit: Option<u32>,
}

macro_rules! extractors {
    ($($name:ty),+) => {$(
        impl StateData for $name {}

        impl StaticResponseExtender for $name {
            type ResBody = Body;

            fn extend(_state: &mut State, response: &mut Response<Body>) {
                *response = router::http_response(ApiError::bad_parameter().into());
            }
        }
    )+};
}

extractors!(NameParam, WaitParam, VersionParam, LimitParam);

impl WaitParam {
    /// The requested wait, or `default`.
    pub(super) fn duration(&self, default: Duration) -> Result<Duration> {
        let Some(text) = &self.wait else {
            return Ok(default);
        };
        let invalid = || ApiError::bad_field("wait", text, "0s to 60s, such as 250ms or 30s");
        if text == "0" {
            return Ok(Duration::ZERO);
        }
        let wait = humantime::parse_duration(text).map_err(|_error| invalid())?;
        if wait > MAX_WAIT {
            return Err(invalid());
        }
        Ok(wait)
    }
}

impl LimitParam {
    /// The requested number of records, or the maximum.
    pub(super) fn records(&self) -> Result<u32> {
        match self.limit.unwrap_or(MAX_HISTORY_RECORDS) {
            limit @ 1..=MAX_HISTORY_RECORDS => Ok(limit),
            found => Err(ApiError::bad_field("limit", &found, "1 to 1000")),
        }
    }
}

/// The operator's name from the header `operator`.
pub(super) fn operator(state: &State) -> Result<SmolStr> {
    let allowed = "1 to 64 visible ASCII characters that say who makes the change";
    let Some(value) = HeaderMap::borrow_from(state).get("operator") else {
        return Err(ApiError::bad_field("header operator", &"none", allowed));
    };
    let name = value.to_str().unwrap_or_default().trim();
    let visible = name
        .bytes()
        .all(|byte| byte.is_ascii_graphic() || byte == b' ');
    if !visible || !(1..=MAX_OPERATOR_BYTES).contains(&name.len()) {
        return Err(ApiError::bad_field(
            "header operator",
            &format!("{value:?}"),
            allowed,
        ));
    }
    Ok(name.into())
}
