//! Calls over HTTP/1.1 with keep-alive.

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

use super::decode::{Kind, decode};
use super::encode::encode;
use crate::protocol::MAX_OBJECT_BYTES;
use crate::{Calls, Platform};

/// Idle connections are closed after this time, before the platform closes them (60 s).
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The platform, reached over HTTP.
///
/// Calls run on the tokio runtime that polls them. Each call sends its request at most once.
#[derive(Debug)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    timeout: Duration,
}

impl HttpPlatform {
    /// Prepares calls to the platform at `address`; a call without a reply fails after `timeout`.
    ///
    /// Connecting may take half of `timeout`, so that a host that does not answer at all gives
    /// [`Failure::NotApplied`] and not [`Failure::Unknown`].
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

    /// Carries out one request.
    async fn exchange(&self, request: Request) -> Outcome {
        let kind = Kind::from(&request);
        let message = encode(&self.base, request)?;
        let reply = async {
            let response = self.client.request(message).await.map_err(not_answered)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_OBJECT_BYTES);
            let body = body.collect().await.map_err(broken_off)?;
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
    fn call(&self, request: Request) -> Calls<'_> {
        Box::pin(self.exchange(request))
    }
}

/// Failure of a request without a reply.
///
/// Only a failed connect proves that nothing was sent. A request that the client dropped because
/// a pooled connection closed counts as unknown.
fn not_answered(error: ClientError) -> Failure {
    let text = describe(&error);
    if error.is_connect() {
        return Failure::NotApplied(text);
    }
    Failure::Unknown(text)
}

/// Failure of a request whose reply broke off.
fn broken_off(error: Box<dyn Error + Send + Sync>) -> Failure {
    Failure::Unknown(describe(&*error))
}

/// Text of an error with its sources.
fn describe(error: &dyn Error) -> SmolStr {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text.into()
}
