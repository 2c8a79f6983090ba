//! Client of an HTTP endpoint: runs a task by `POST /run` with the payload as the body.
//!
//! The response has the status 200 and the result, or in case of a failure a 4xx or 5xx status and
//! a short text.

use std::net::SocketAddr;

use http_body_util::Full;
use hyper::Uri;
use hyper::header::{HOST, HeaderName, HeaderValue};
use knapweedwall_core::agent::{RunEnd, RunTask};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::client::{CheckFuture, EndpointClient, RunFuture};
use super::connection::{Connection, Error, HttpRequest, HttpResponse};
use super::pool::ConnectionPool;

/// Header with the hexadecimal key of the job.
const JOB: HeaderName = HeaderName::from_static("job");
/// Header with the index of the task in its job.
const INDEX: HeaderName = HeaderName::from_static("index");
/// Header with the class of the job.
const CLASS: HeaderName = HeaderName::from_static("class");
/// Header that has the value `true` if the task is not idempotent and is absent otherwise.
const NON_IDEMPOTENT: HeaderName = HeaderName::from_static("non-idempotent");

/// Client of an HTTP/1.1 endpoint.
#[derive(Debug)]
pub struct HttpEndpointClient {
    address: SocketAddr,
    host: HeaderValue,
    pool: ConnectionPool,
}

impl HttpEndpointClient {
    /// Creates a client of the endpoint at `address` that keeps up to `slots` idle connections.
    #[must_use]
    pub fn new(address: SocketAddr, slots: u32) -> Self {
        let host = HeaderValue::from_str(&address.to_string());
        Self {
            address,
            // The text of a socket address is always a valid header value.
            host: host.unwrap_or_else(|_| HeaderValue::from_static("localhost")),
            pool: ConnectionPool::new(slots as usize),
        }
    }

    async fn run_at_most_once(&self, task: RunTask) -> RunEnd {
        let non_idempotent = task.non_idempotent;
        let Ok(request) = self.build_request(task) else {
            return RunEnd::BadAnswer(SmolStr::new_static("class cannot be sent in a header"));
        };
        match self.attempt(request).await {
            // No byte was sent, so a retry cannot start the task twice. A non-idempotent task is not
            // retried but reported as not started.
            Attempt::Unsent(_, Some(request)) if !non_idempotent => {
                match self.attempt(*request).await {
                    Attempt::Ended(end) => end,
                    Attempt::Unsent(text, _) => RunEnd::NotStarted(text),
                }
            }
            Attempt::Unsent(text, _) => RunEnd::NotStarted(text),
            Attempt::Ended(end) => end,
        }
    }

    fn build_request(
        &self,
        task: RunTask,
    ) -> Result<HttpRequest, hyper::header::InvalidHeaderValue> {
        let mut request = HttpRequest::new(Full::new(task.payload));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = Uri::from_static("/run");
        let job = HeaderValue::from_str(&format_smolstr!("{}", task.task.job))?;
        let class = HeaderValue::from_maybe_shared(bytes::Bytes::from(task.class))?;
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert(JOB, job);
        headers.insert(INDEX, HeaderValue::from(task.task.index));
        headers.insert(CLASS, class);
        if task.non_idempotent {
            headers.insert(NON_IDEMPOTENT, HeaderValue::from_static("true"));
        }
        Ok(request)
    }

    async fn attempt(&self, request: HttpRequest) -> Attempt {
        let mut connection = match self.pool.acquire() {
            Some(connection) => connection,
            None => match Connection::open(self.address).await {
                Ok(connection) => connection,
                Err(error) => return Attempt::Unsent(error.to_smolstr(), Some(Box::new(request))),
            },
        };
        match connection.exchange(request).await {
            Ok(response) => {
                if connection.is_reusable() {
                    self.pool.release(connection);
                }
                Attempt::Ended(run_end_from_response(response))
            }
            Err(error) => attempt_from_error(error),
        }
    }

    async fn accepts_connections(&self) -> bool {
        if let Some(connection) = self.pool.acquire() {
            self.pool.release(connection);
            return true;
        }
        let Ok(connection) = Connection::open(self.address).await else {
            return false;
        };
        self.pool.release(connection);
        true
    }
}

impl EndpointClient for HttpEndpointClient {
    fn run(&self, task: RunTask) -> RunFuture<'_> {
        Box::pin(self.run_at_most_once(task))
    }

    fn check(&self) -> CheckFuture<'_> {
        Box::pin(self.accepts_connections())
    }
}

/// Outcome of an attempt to run a task.
enum Attempt {
    /// The request may have been sent, at least in part.
    Ended(RunEnd),
    /// No byte was sent. Has the reason and, if it can be retried, the request.
    Unsent(SmolStr, Option<Box<HttpRequest>>),
}

fn run_end_from_response(response: HttpResponse) -> RunEnd {
    match response.status {
        200 => RunEnd::Done(response.body),
        400..=599 => RunEnd::Failed(String::from_utf8_lossy(&response.body).to_smolstr()),
        status => RunEnd::BadAnswer(format_smolstr!("unexpected status {status}")),
    }
}

fn attempt_from_error(error: Error) -> Attempt {
    let text = error.to_smolstr();
    match error {
        Error::Unsent { request, .. } => Attempt::Unsent(text, Some(request)),
        Error::Connect { .. } | Error::ConnectTimeout | Error::Handshake { .. } => {
            Attempt::Unsent(text, None)
        }
        Error::ConnectionLost { source } if source.is_parse() => {
            Attempt::Ended(RunEnd::BadAnswer(text))
        }
        Error::UnexpectedBytes => Attempt::Ended(RunEnd::BadAnswer(text)),
        Error::ConnectionLost { .. } => Attempt::Ended(RunEnd::Lost(text)),
        Error::TooLarge { status: 200, .. } => Attempt::Ended(RunEnd::TooLarge),
        Error::TooLarge { status, start } => {
            let body = start;
            Attempt::Ended(run_end_from_response(HttpResponse { status, body }))
        }
    }
}
