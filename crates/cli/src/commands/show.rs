//! Commands that only show something.

use std::time::{Duration, UNIX_EPOCH};

use hyper::Method;
use serde_json::Value;

use crate::api::Client;
use crate::error::Result;
use crate::output::Output;
use crate::table::{self, cell};

/// Shows the state of the system as one entry process sees it.
pub(crate) async fn status(client: &Client<'_>) -> Result<Output> {
    let body = client.call(Method::GET, "/v1/status", None).await?;
    let text = table::value(&body);
    Ok(Output::new(body, text))
}

/// Shows the newest changes of the configuration.
pub(crate) async fn history(client: &Client<'_>, limit: u32) -> Result<Output> {
    let path = format!("/v1/history?limit={limit}");
    let body = client.call(Method::GET, &path, None).await?;
    let list = body
        .as_array()
        .or_else(|| body.get("history").and_then(Value::as_array));
    let rows: Vec<Vec<String>> = list.into_iter().flatten().map(record).collect();
    let head = ["VERSION", "AT", "WHO", "FROM", "CHANGE", "BEFORE"];
    let text = table::columns(&head, &rows);
    Ok(Output::new(body, text))
}

fn record(audit: &Value) -> Vec<String> {
    let at = audit["at_ms"].as_u64().unwrap_or_default();
    let at = UNIX_EPOCH + Duration::from_millis(at);
    vec![
        cell(&audit["version"]),
        humantime::format_rfc3339_seconds(at).to_string(),
        cell(&audit["who"]),
        cell(&audit["origin"]),
        change(&audit["change"]),
        cell(&audit["before"]),
    ]
}

fn change(change: &Value) -> String {
    let Some((kind, detail)) = change.as_object().and_then(|map| map.iter().next()) else {
        return cell(change);
    };
    let kind = kind.replace('_', " ");
    let detail = match detail {
        Value::Array(parts) => parts.iter().map(cell).collect::<Vec<_>>().join(" "),
        other => cell(other),
    };
    format!("{kind} {detail}")
}
