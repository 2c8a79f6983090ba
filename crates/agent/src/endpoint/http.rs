//! The HTTP adapter: `POST /run` with the payload as body.
//!
//! The answer is 200 with the result, or 4xx or 5xx with a short text for a failure.

use std::net::SocketAddr;

use http_body_util::Full;
use hyper::Uri;
use hyper::header::{HOST, HeaderName, HeaderValue};
use knapweedwall_core::agent::{RunEnd, RunTask};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::connection::{Answer, Call, Connection, Error};
use super::pool::Pool;
use super::port::{Checks, Endpoint, Runs};

/// Hex key of the job.
const JOB: HeaderName = HeaderName::from_static("job");
/// Index of the task in its job.
const INDEX: HeaderName = HeaderName::from_static("index");
/// Class of the job.
const CLASS: HeaderName = HeaderName::from_static("class");
/// Present and `true` when the task is marked.
const NON_IDEMPOTENT: HeaderName = HeaderName::from_static("non-idempotent");

/// An endpoint that speaks HTTP/1.1.
#[derive(Debug)]
pub struct HttpEndpoint {
    address: SocketAddr,
    host: HeaderValue,
    pool: Pool,
}

impl HttpEndpoint {
    /// Adapter for the endpoint at `address`, which keeps up to `slots` idle connections.
    #[must_use]
    pub fn new(address: SocketAddr, slots: u32) -> Self {
        let host = HeaderValue::from_str(&address.to_string());
        Self {
            address,
            // An address has only characters that are allowed in a header.
            host: host.unwrap_or_else(|_| HeaderValue::from_static("localhost")),
            pool: Pool::new(slots as usize),
        }
    }

    async fn run_once(&self, task: RunTask) -> RunEnd {
        let marked = task.non_idempotent;
        let Ok(call) = self.call(task) else {
            return RunEnd::BadAnswer(SmolStr::new_static("class cannot be sent in a header"));
        };
        match self.attempt(call).await {
            // Nothing was sent, so the second attempt is still the first start. A marked task is
            // reported as not started instead.
            Attempt::Unsent(_, Some(call)) if !marked => match self.attempt(*call).await {
                Attempt::Ended(end) => end,
                Attempt::Unsent(text, _) => RunEnd::NotStarted(text),
            },
            Attempt::Unsent(text, _) => RunEnd::NotStarted(text),
            Attempt::Ended(end) => end,
        }
    }

    fn call(&self, task: RunTask) -> Result<Call, hyper::header::InvalidHeaderValue> {
        let mut call = Call::new(Full::new(task.payload));
        *call.method_mut() = hyper::Method::POST;
        *call.uri_mut() = Uri::from_static("/run");
        let job = HeaderValue::from_str(&format_smolstr!("{}", task.task.job))?;
        let class = HeaderValue::from_maybe_shared(bytes::Bytes::from(task.class))?;
        let headers = call.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert(JOB, job);
        headers.insert(INDEX, HeaderValue::from(task.task.index));
        headers.insert(CLASS, class);
        if task.non_idempotent {
            headers.insert(NON_IDEMPOTENT, HeaderValue::from_static("true"));
        }
        Ok(call)
    }

    async fn attempt(&self, call: Call) -> Attempt {
        let mut connection = match self.pool.take() {
            Some(connection) => connection,
            None => match Connection::open(self.address).await {
                Ok(connection) => connection,
                Err(error) => return Attempt::Unsent(error.to_smolstr(), Some(Box::new(call))),
            },
        };
        match connection.exchange(call).await {
            Ok(answer) => {
                if connection.is_reusable() {
                    self.pool.put(connection);
                }
                Attempt::Ended(end_of(answer))
            }
            Err(error) => end_of_error(error),
        }
    }

    async fn accepts(&self) -> bool {
        if let Some(connection) = self.pool.take() {
            self.pool.put(connection);
            return true;
        }
        let Ok(connection) = Connection::open(self.address).await else {
            return false;
        };
        self.pool.put(connection);
        true
    }
}

impl Endpoint for HttpEndpoint {
    fn run(&self, task: RunTask) -> Runs<'_> {
        Box::pin(self.run_once(task))
    }

    fn check(&self) -> Checks<'_> {
        Box::pin(self.accepts())
    }
}

/// Outcome of one attempt.
enum Attempt {
    /// The request was sent.
    Ended(RunEnd),
    /// No byte was sent: the reason, and the request.
    Unsent(SmolStr, Option<Box<Call>>),
}

fn end_of(answer: Answer) -> RunEnd {
    match answer.status {
        200 => RunEnd::Done(answer.body),
        400..=599 => RunEnd::Failed(String::from_utf8_lossy(&answer.body).to_smolstr()),
        status => RunEnd::BadAnswer(format_smolstr!("unexpected status {status}")),
    }
}

fn end_of_error(error: Error) -> Attempt {
    let text = error.to_smolstr();
    match error {
        Error::Unsent { call, .. } => Attempt::Unsent(text, Some(call)),
        Error::Connect { .. } | Error::ConnectTimeout | Error::Handshake { .. } => {
            Attempt::Unsent(text, None)
        }
        Error::Lost { source } if source.is_parse() => Attempt::Ended(RunEnd::BadAnswer(text)),
        Error::Surplus => Attempt::Ended(RunEnd::BadAnswer(text)),
        Error::Lost { .. } => Attempt::Ended(RunEnd::Lost(text)),
        Error::TooLarge { status: 200, .. } => Attempt::Ended(RunEnd::TooLarge),
        Error::TooLarge { status, start } => {
            let body = start;
            Attempt::Ended(end_of(Answer { status, body }))
        }
    }
}
