//! HTTP client of the test side: pooled connections, one request at a time on each.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snafu::Snafu;
use tokio::time::timeout;

/// Longest time for a connection to be made.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Result of a request.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why there is no reply.
#[derive(Debug, Clone, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// No connection was made, so nothing was sent.
    #[snafu(display("{url}: no connection: {text}"))]
    Connect {
        /// Where to.
        url: String,
        /// Failure.
        text: String,
    },
    /// The request may have been sent and there is no complete reply.
    #[snafu(display("{url}: no reply: {text}"))]
    Reply {
        /// Where to.
        url: String,
        /// Failure.
        text: String,
    },
}

/// A reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// The body as JSON; null if it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A client; clones share the pool.
#[derive(Debug, Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Http {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }
}

impl Http {
    /// Sends one request and waits for the whole reply for at most `limit`.
    ///
    /// # Errors
    /// [`Error`], which tells whether the request may have been sent.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Result<Reply> {
        let request = Request::builder().method(method).uri(url);
        let request = request.header("content-type", "application/json");
        // Changes of the configuration name their operator; other requests ignore the header.
        let request = request.header("operator", "test");
        let request = request.body(Full::new(body.into()));
        let request = request.map_err(|e| {
            ConnectSnafu {
                url,
                text: e.to_string(),
            }
            .build()
        })?;
        let ended = timeout(limit, self.exchange(url, request)).await;
        let late = || {
            ReplySnafu {
                url,
                text: format!("none within {limit:?}"),
            }
            .fail()
        };
        ended.unwrap_or_else(|_| late())
    }

    async fn exchange(&self, url: &str, request: Request<Full<Bytes>>) -> Result<Reply> {
        let response = self.client.request(request).await.or_else(|e| {
            let text = chain(&e);
            if e.is_connect() {
                return ConnectSnafu { url, text }.fail();
            }
            ReplySnafu { url, text }.fail()
        })?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.or_else(|e| {
            ReplySnafu {
                url,
                text: chain(&e),
            }
            .fail()
        })?;
        Ok(Reply {
            status,
            body: body.to_bytes(),
        })
    }

    /// `GET` with a limit of 5 s.
    ///
    /// # Errors
    /// As [`Http::send`].
    pub async fn get(&self, url: &str) -> Result<Reply> {
        self.send(Method::GET, url, Bytes::new(), Duration::from_secs(5))
            .await
    }
}

/// The error with its causes.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text += &format!(": {cause}");
        source = cause.source();
    }
    text
}
