//! One request at a time, to the first entry process that accepts the connection.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Address;
use crate::error::{
    ConflictSnafu, Error, RefusedSnafu, Result, UnknownSnafu, UnreachableSnafu, UsageSnafu,
};

/// A reply of the API.
#[derive(Debug)]
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: Value,
}

/// Client of the API.
#[derive(Debug)]
pub(crate) struct Client<'a> {
    /// Entry processes in the order to try them.
    pub(crate) entries: &'a [Address],
    /// Name for the audit trail.
    pub(crate) operator: &'a str,
    /// Longest time for a connection, and for a reply beyond the requested wait.
    pub(crate) timeout: Duration,
}

impl Client<'_> {
    /// Sends a request and returns the reply, whatever its status.
    ///
    /// The next entry process is tried only while no connection was made, so a request is sent
    /// at most once.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if nothing was sent, [`Error::Unknown`] if there is no reply.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        wait: Duration,
    ) -> Result<Answer> {
        let mut failures = Vec::new();
        for entry in self.entries {
            let stream = match timeout(self.timeout, TcpStream::connect(&entry.authority)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) => {
                    failures.push(format!("{entry}: {error}"));
                    continue;
                }
                Err(_) => {
                    failures.push(format!("{entry}: no connection within {:?}", self.timeout));
                    continue;
                }
            };
            let request = self.request(entry, method, path, body)?;
            let limit = wait.saturating_add(self.timeout);
            return match timeout(limit, exchange(stream, request)).await {
                Ok(result) => result.or_else(|text| no_reply(entry, &text)),
                Err(_) => no_reply(entry, &format!("no reply within {limit:?}")),
            };
        }
        let text = failures.join("; ");
        UnreachableSnafu { text }.fail()
    }

    /// Sends a request and returns the body of the reply if its status is a success.
    ///
    /// # Errors
    /// As [`Client::send`] and [`check`].
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value> {
        let bytes = body.map(|value| Bytes::from(value.to_string()));
        let answer = self.send(method, path, bytes, Duration::ZERO).await?;
        check(answer)
    }

    fn request(
        &self,
        entry: &Address,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<Request<Full<Bytes>>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, &entry.authority)
            .header("operator", self.operator)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.unwrap_or_default()));
        request.or_else(|e| {
            UsageSnafu {
                text: format!("request to {path}: {e}"),
            }
            .fail()
        })
    }
}

/// Body of a successful reply.
///
/// # Errors
/// [`Error::Conflict`], [`Error::Refused`] or [`Error::Unknown`] as the reply says.
pub(crate) fn check(answer: Answer) -> Result<Value> {
    if (200..300).contains(&answer.status) {
        return Ok(answer.body);
    }
    let field = |name: &str| {
        answer
            .body
            .pointer(&format!("/error/{name}"))
            .and_then(Value::as_str)
    };
    let code = field("code").unwrap_or("http").to_owned();
    let text = field("text").map_or_else(|| format!("status {}", answer.status), str::to_owned);
    if code == "conflict" {
        let version = answer
            .body
            .pointer("/current/version")
            .and_then(Value::as_u64);
        let newer = version.map_or_else(String::new, |v| format!(" (the version is now {v})"));
        return ConflictSnafu {
            text: format!("{text}{newer}"),
        }
        .fail();
    }
    if field("ran") == Some("unknown") {
        return UnknownSnafu {
            text: format!("{code}: {text}"),
        }
        .fail();
    }
    RefusedSnafu { code, text }.fail()
}

fn no_reply(entry: &Address, text: &str) -> Result<Answer, Error> {
    UnknownSnafu {
        text: format!("sent to {entry}, {text}; look at the state before you repeat a change"),
    }
    .fail()
}

async fn exchange(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<Answer, String> {
    let text = |e: hyper::Error| format!("connection lost: {e}");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(text)?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(text)?;
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(text)?
        .to_bytes();
    driver.abort();
    let parsed = serde_json::from_slice::<Value>(&body);
    let body = match parsed {
        Ok(value) => value,
        Err(_) if !(200..300).contains(&status) => Value::Null,
        Err(error) => return Err(format!("the reply is not JSON: {error}")),
    };
    Ok(Answer { status, body })
}
