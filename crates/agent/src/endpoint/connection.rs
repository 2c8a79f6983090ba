//! Persistent HTTP/1.1 connection to the endpoint, without pipelining.

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

/// Connection timeout; short because the endpoint is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the connection's read buffer, which limits the head of a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// HTTP request to the endpoint.
pub(super) type HttpRequest = Request<Full<Bytes>>;

/// Result of an operation on a connection.
pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors of a connection. Their texts are part of task reports.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    /// The connection could not be established.
    #[snafu(display("connect: {source}"))]
    Connect { source: std::io::Error },
    /// The endpoint did not accept the connection in time.
    #[snafu(display("connect: no answer within {CONNECT_TIMEOUT:?}"))]
    ConnectTimeout,
    /// The HTTP handshake failed; no byte was sent.
    #[snafu(display("connect: {source}"))]
    Handshake { source: hyper::Error },
    /// The connection was closed before any byte of the request was sent.
    #[snafu(display("send: {source}"))]
    Unsent {
        source: hyper::Error,
        request: Box<HttpRequest>,
    },
    /// The connection failed after the request may have been sent.
    #[snafu(display("answer: {source}"))]
    ConnectionLost { source: hyper::Error },
    /// The body of the response exceeds [`MAX_RESULT_BYTES`]. `start` is the chunk that exceeded the
    /// limit, truncated.
    #[snafu(display("answer: too large"))]
    TooLarge { status: u16, start: Bytes },
    /// Unexpected bytes followed the response.
    #[snafu(display("answer: more bytes than one answer"))]
    UnexpectedBytes,
}

/// Status and body of a response.
#[derive(Debug)]
pub(super) struct HttpResponse {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// A connection. Its socket is read and written only during an exchange.
#[derive(Debug)]
pub(super) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Boxed because it is large and connections are moved between the pool and the exchanges.
    driver: Box<Driver>,
    /// Second handle of the socket, used to detect bytes that arrived while the connection was
    /// idle.
    socket: std::net::TcpStream,
    state: State,
}

/// State of the connection's driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Closed,
    /// Bytes arrived that are not part of a response to a request.
    UnexpectedBytes,
}

impl Connection {
    pub(super) async fn open(address: SocketAddr) -> Result<Self> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let connected = connecting.await.ok().ok_or(Error::ConnectTimeout)?;
        let (stream, socket) = connected
            .and_then(with_second_handle)
            .context(ConnectSnafu)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.context(HandshakeSnafu)?;
        Ok(Self {
            sender,
            driver: Box::new(driver),
            socket,
            state: State::Open,
        })
    }

    /// Whether a request may be sent: the connection is open and has no unread bytes. Unread bytes
    /// belong to a second response to the previous request and would be taken for the response to
    /// the next one.
    pub(super) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let peeked = self.socket.peek(&mut byte);
        self.state == State::Open && peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the complete response.
    pub(super) async fn exchange(&mut self, request: HttpRequest) -> Result<HttpResponse> {
        let Self {
            sender,
            driver,
            state,
            ..
        } = self;
        if let Err(source) = drive_until(driver, state, sender.ready()).await {
            let request = Box::new(request);
            return Err(Error::Unsent { source, request });
        }
        let response = drive_until(driver, state, sender.try_send_request(request)).await;
        let response = response.map_err(|mut error| match error.take_message() {
            Some(request) => Error::Unsent {
                source: error.into_error(),
                request: Box::new(request),
            },
            None => Error::ConnectionLost {
                source: error.into_error(),
            },
        })?;
        let response = read_body(driver, state, response).await?;
        poll_fn(|cx| {
            poll_driver(driver, state, cx);
            Poll::Ready(())
        })
        .await;
        ensure!(*state != State::UnexpectedBytes, UnexpectedBytesSnafu);
        Ok(response)
    }

    /// Whether the connection can be returned to the pool after an exchange.
    pub(super) fn is_reusable(&self) -> bool {
        self.state == State::Open && self.sender.is_ready()
    }
}

/// Disables Nagle's algorithm and creates a second handle of the socket.
fn with_second_handle(stream: TcpStream) -> std::io::Result<(TcpStream, std::net::TcpStream)> {
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let socket = stream.try_clone()?;
    Ok((TcpStream::from_std(stream)?, socket))
}

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Reads the body of a response, up to [`MAX_RESULT_BYTES`].
async fn read_body(
    driver: &mut Driver,
    state: &mut State,
    response: Response<Incoming>,
) -> Result<HttpResponse> {
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = drive_until(driver, state, body.frame()).await {
        let Ok(data) = frame.context(ConnectionLostSnafu)?.into_data() else {
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
        // A slice of the connection's read buffer would keep the whole buffer in memory for as
        // long as the ledger stores the result.
        let body = Bytes::copy_from_slice(&first);
        return Ok(HttpResponse { status, body });
    }
    let body = [&first[..], &rest[..]].concat().into();
    Ok(HttpResponse { status, body })
}

/// Polls the connection's driver until `future`, which depends on it, is ready.
async fn drive_until<T>(
    driver: &mut Driver,
    state: &mut State,
    future: impl Future<Output = T>,
) -> T {
    let mut future = pin!(future);
    poll_fn(|cx| {
        if let Poll::Ready(output) = future.as_mut().poll(cx) {
            return Poll::Ready(output);
        }
        poll_driver(driver, state, cx);
        future.as_mut().poll(cx)
    })
    .await
}

/// Polls the driver, which reads and writes the socket, and updates `state`. The current exchange
/// receives the error of the driver as well.
fn poll_driver(driver: &mut Driver, state: &mut State, cx: &mut Context<'_>) {
    if *state != State::Open {
        return;
    }
    *state = match Pin::new(driver).poll(cx) {
        Poll::Pending => State::Open,
        // Socket errors have a source; an error without one means that unexpected bytes arrived.
        Poll::Ready(Err(error)) if error.source().is_none() => State::UnexpectedBytes,
        Poll::Ready(_) => State::Closed,
    };
}
