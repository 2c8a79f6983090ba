//! HTTP/1.1 client with keep-alive.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use knapweedwall_core::store::{Failure, Outcome, Request};
use smol_str::{SmolStr, format_smolstr};

use super::decode::{RequestKind, decode};
use super::encode::encode;
use crate::protocol::MAX_OBJECT_BYTES;
use crate::{CallFuture, Platform};

/// Time after which idle connections are closed; shorter than the platform's own limit of 60 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of the platform over HTTP.
///
/// Calls run on the tokio runtime that polls them. Each call sends its request at most once.
#[derive(Debug)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a client for the platform at `address`. A call without a reply fails after
    /// `timeout`.
    ///
    /// Connecting times out after half of `timeout`, so that a host that does not respond at all
    /// results in [`Failure::NotApplied`] rather than [`Failure::Unknown`].
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout / 2));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            base: format!("http://{address}"),
            timeout,
        }
    }

    /// Sends a request and decodes its reply.
    async fn execute(&self, request: Request) -> Outcome {
        let kind = RequestKind::from(&request);
        let message = encode(&self.base, request)?;
        let reply = async {
            let response = self
                .client
                .request(message)
                .await
                .map_err(request_failure)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_OBJECT_BYTES);
            let body = body.collect().await.map_err(body_failure)?;
            decode(kind, status, body.to_bytes())
        };
        let limited = tokio::time::timeout(self.timeout, reply).await;
        limited.unwrap_or_else(|_| {
            let text = format_smolstr!("no reply within {:?}", self.timeout);
            Err(Failure::Unknown(text))
        })
    }
}

impl Platform for HttpPlatform {
    fn call(&self, request: Request) -> CallFuture<'_> {
        Box::pin(self.execute(request))
    }
}

/// Converts an error of a request that received no reply.
///
/// Only a failed connect proves that nothing was sent. The outcome of a request that was dropped
/// because its pooled connection closed is unknown.
fn request_failure(error: ClientError) -> Failure {
    let text = error_chain(&error);
    if error.is_connect() {
        return Failure::NotApplied(text);
    }
    Failure::Unknown(text)
}

/// Converts an error of reading the body of a reply.
fn body_failure(error: Box<dyn Error + Send + Sync>) -> Failure {
    Failure::Unknown(error_chain(&*error))
}

/// Formats an error with its chain of sources.
fn error_chain(error: &dyn Error) -> SmolStr {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text.into()
}
