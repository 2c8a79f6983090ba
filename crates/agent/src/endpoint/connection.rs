//! One kept-alive HTTP/1.1 connection to the endpoint, used for one request at a time.

use std::error::Error as _;
use std::future::{Future, poll_fn};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use knapweedwall_core::agent::MAX_RESULT_BYTES;
use snafu::{ResultExt, Snafu, ensure};
use tokio::net::TcpStream;

/// Longest wait for a connection; the endpoint is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A request to the endpoint.
pub(super) type Call = Request<Full<Bytes>>;

/// Result of an exchange.
pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why an exchange has no answer.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    /// There is no connection.
    #[snafu(display("connect: {source}"))]
    Connect { source: std::io::Error },
    /// The endpoint did not accept the connection in time.
    #[snafu(display("connect: no answer within {CONNECT_TIMEOUT:?}"))]
    ConnectTimeout,
    /// The connection could not be set up; nothing was sent.
    #[snafu(display("connect: {source}"))]
    Handshake { source: hyper::Error },
    /// The connection ended before a byte of the request was sent.
    #[snafu(display("send: {source}"))]
    Unsent {
        source: hyper::Error,
        call: Box<Call>,
    },
    /// The connection ended after the request was sent.
    #[snafu(display("answer: {source}"))]
    Lost { source: hyper::Error },
    /// The answer is longer than allowed.
    #[snafu(display("answer: too large"))]
    TooLarge { status: u16, start: Bytes },
    /// More bytes followed the answer.
    #[snafu(display("answer: more bytes than one answer"))]
    Surplus,
}

/// Status and body of an answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// A connection. It is driven only while an exchange is going on.
#[derive(Debug)]
pub(super) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Boxed: it is large, and a connection is moved between the pool and the exchanges.
    driver: Box<Driver>,
    /// Second handle of the socket, to look at what has arrived while nothing is awaited.
    socket: std::net::TcpStream,
    state: State,
}

/// State of the HTTP library's side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Closed,
    /// Bytes arrived that nothing had asked for.
    Surplus,
}

impl Connection {
    pub(super) async fn open(address: SocketAddr) -> Result<Self> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = stream.await.ok().ok_or(Error::ConnectTimeout)?;
        let (stream, socket) = stream.and_then(duplicate).context(ConnectSnafu)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let opened = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = opened.context(HandshakeSnafu)?;
        Ok(Self {
            sender,
            driver: Box::new(driver),
            socket,
            state: State::Open,
        })
    }

    /// Whether a request may be sent: the connection is open and nothing has arrived on it. Bytes
    /// that arrived belong to a second answer to the request before, and would be taken for the
    /// answer to the next one.
    pub(super) fn is_clean(&self) -> bool {
        let mut byte = [0];
        let seen = self.socket.peek(&mut byte);
        self.state == State::Open && seen.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the whole answer.
    pub(super) async fn exchange(&mut self, call: Call) -> Result<Answer> {
        let Self {
            sender,
            driver,
            state,
            ..
        } = self;
        if let Err(source) = drive(driver, state, sender.ready()).await {
            let call = Box::new(call);
            return Err(Error::Unsent { source, call });
        }
        let answer = drive(driver, state, sender.try_send_request(call)).await;
        let answer = answer.map_err(|mut error| match error.take_message() {
            Some(call) => Error::Unsent {
                source: error.into_error(),
                call: Box::new(call),
            },
            None => Error::Lost {
                source: error.into_error(),
            },
        })?;
        let answer = read(driver, state, answer).await?;
        poll_fn(|cx| {
            advance(driver, state, cx);
            Poll::Ready(())
        })
        .await;
        ensure!(*state != State::Surplus, SurplusSnafu);
        Ok(answer)
    }

    /// Whether the connection can be kept after an exchange.
    pub(super) fn is_reusable(&self) -> bool {
        self.state == State::Open && self.sender.is_ready()
    }
}

fn duplicate(stream: TcpStream) -> std::io::Result<(TcpStream, std::net::TcpStream)> {
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let socket = stream.try_clone()?;
    Ok((TcpStream::from_std(stream)?, socket))
}

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Reads the body up to the largest result.
async fn read(
    driver: &mut Driver,
    state: &mut State,
    answer: Response<Incoming>,
) -> Result<Answer> {
    let status = answer.status().as_u16();
    let mut body = answer.into_body();
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = drive(driver, state, body.frame()).await {
        let Ok(data) = frame.context(LostSnafu)?.into_data() else {
            continue;
        };
        if first.len() + rest.len() + data.len() > MAX_RESULT_BYTES {
            let start = data.slice(..data.len().min(MAX_RESULT_BYTES));
            return TooLargeSnafu { status, start }.fail();
        }
        if first.is_empty() {
            first = data;
        } else {
            rest.extend_from_slice(&data);
        }
    }
    if rest.is_empty() {
        // A part of the connection's read buffer would keep the whole buffer in memory for as
        // long as the ledger holds the result.
        let body = Bytes::copy_from_slice(&first);
        return Ok(Answer { status, body });
    }
    let body = [&first[..], &rest[..]].concat().into();
    Ok(Answer { status, body })
}

/// Polls the connection along with `work`, which waits for something that comes from it.
async fn drive<T>(driver: &mut Driver, state: &mut State, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(done);
        }
        advance(driver, state, cx);
        work.as_mut().poll(cx)
    })
    .await
}

/// Lets the HTTP library read and write. An error also reaches the exchange under way.
fn advance(driver: &mut Driver, state: &mut State, cx: &mut Context<'_>) {
    if *state != State::Open {
        return;
    }
    *state = match Pin::new(driver).poll(cx) {
        Poll::Pending => State::Open,
        // An error of the socket has a source; without one, the library got unexpected bytes.
        Poll::Ready(Err(error)) if error.source().is_none() => State::Surplus,
        Poll::Ready(_) => State::Closed,
    };
}
