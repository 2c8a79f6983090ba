//! Sends a change of the configuration.

use hyper::Method;
use knapweedwall_core::config::{Change, Document};
use serde_json::{Value, json};

use crate::api::Client;
use crate::error::{Error, Result, UnknownSnafu};

/// Reads the present configuration.
pub(crate) async fn document(client: &Client<'_>) -> Result<Document> {
    let body = client.call(Method::GET, "/v1/config", None).await?;
    serde_json::from_value(body).or_else(|e| {
        UnknownSnafu {
            text: format!("the configuration cannot be read: {e}"),
        }
        .fail()
    })
}

/// Sends one change and returns the version that it made.
///
/// The change is refused if `expected` is given and the configuration has another version.
pub(crate) async fn send(
    client: &Client<'_>,
    change: &Change,
    expected: Option<u64>,
) -> Result<u64> {
    let (method, mut path, body) = parts(change)?;
    if let Some(version) = expected {
        path += &format!("?version={version}");
    }
    let reply = client.call(method, &path, body).await?;
    let missing = || Error::Unknown {
        text: "the reply has no version".to_owned(),
    };
    reply
        .get("version")
        .and_then(Value::as_u64)
        .ok_or_else(missing)
}

fn parts(change: &Change) -> Result<(Method, String, Option<Value>)> {
    let text = |value: Result<Value, serde_json::Error>| {
        value.map_err(|e| Error::Usage {
            text: e.to_string(),
        })
    };
    Ok(match change {
        Change::SetClass(name, class) => {
            let body = text(serde_json::to_value(class))?;
            (Method::PUT, format!("/v1/classes/{name}"), Some(body))
        }
        Change::SetTeam(name, team) => {
            let body = json!({ "slots": team.slots });
            (Method::PUT, format!("/v1/teams/{name}"), Some(body))
        }
        Change::DeleteClass(name) => (Method::DELETE, format!("/v1/classes/{name}"), None),
        Change::DeleteTeam(name) => (Method::DELETE, format!("/v1/teams/{name}"), None),
    })
}
