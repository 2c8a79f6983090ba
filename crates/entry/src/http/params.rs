//! Parameters of paths, queries and headers.

use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Response};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState, State, StateData};
use serde::Deserialize;
use smol_str::SmolStr;

use super::refusal::{Refusal, Result};
use super::router;

/// Longest wait of a caller.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Most audit records in one answer.
const MAX_HISTORY: u32 = 1_000;

/// Longest name of an operator, in bytes.
const MAX_OPERATOR_BYTES: usize = 64;

/// The last segment of a path: a job id, or the name of a class or team.
#[derive(Debug, Deserialize)]
pub(super) struct Named {
    pub(super) name: String,
}

/// `?wait=`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Wait {
    wait: Option<String>,
}

/// `?version=`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Version {
    pub(super) version: Option<u64>,
}

/// `?limit=`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Limit {
    limit: Option<u32>,
}

macro_rules! extractors {
    ($($name:ty),+) => {$(
        impl StateData for $name {}

        impl StaticResponseExtender for $name {
            type ResBody = Body;

            fn extend(_state: &mut State, response: &mut Response<Body>) {
                *response = router::response(Refusal::bad_parameter().into());
            }
        }
    )+};
}

extractors!(Named, Wait, Version, Limit);

impl Wait {
    /// The wait asked for, or `default`.
    pub(super) fn duration(&self, default: Duration) -> Result<Duration> {
        let Some(text) = &self.wait else {
            return Ok(default);
        };
        let refusal = || Refusal::bad_field("wait", text, "0s to 60s, such as 250ms or 30s");
        if text == "0" {
            return Ok(Duration::ZERO);
        }
        let wait = humantime::parse_duration(text).map_err(|_error| refusal())?;
        if wait > MAX_WAIT {
            return Err(refusal());
        }
        Ok(wait)
    }
}

impl Limit {
    /// The number of records asked for, or all that one answer may hold.
    pub(super) fn records(&self) -> Result<u32> {
        match self.limit.unwrap_or(MAX_HISTORY) {
            limit @ 1..=MAX_HISTORY => Ok(limit),
            found => Err(Refusal::bad_field("limit", &found, "1 to 1000")),
        }
    }
}

/// The operator named by the header `operator`.
pub(super) fn operator(state: &State) -> Result<SmolStr> {
    let allowed = "1 to 64 visible ASCII characters that say who makes the change";
    let Some(value) = HeaderMap::borrow_from(state).get("operator") else {
        return Err(Refusal::bad_field("header operator", &"none", allowed));
    };
    let name = value.to_str().unwrap_or_default().trim();
    let visible = name
        .bytes()
        .all(|byte| byte.is_ascii_graphic() || byte == b' ');
    if !visible || !(1..=MAX_OPERATOR_BYTES).contains(&name.len()) {
        return Err(Refusal::bad_field(
            "header operator",
            &format!("{value:?}"),
            allowed,
        ));
    }
    Ok(name.into())
}
