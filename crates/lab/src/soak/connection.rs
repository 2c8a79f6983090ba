//! A caller's connection to an entry process, kept until the process closes it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time in which a connection is made.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Host that the routes of the soak belong to.
pub(super) const HOST: &str = "jobs.example";

/// What became of a request.
#[derive(Debug)]
pub(super) enum Reply {
    /// The status and the body.
    Status(u16, Bytes),
    /// No connection: nothing was sent.
    Unsent,
    /// The connection ended without an answer, this long after the request was sent.
    Broken(Duration),
    /// No answer within the limit; the connection was closed.
    Late,
}

/// A connection that takes one request at a time.
#[derive(Debug, Default)]
pub(super) struct Connection {
    open: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

impl Connection {
    /// Address of the process, while the connection is open.
    pub(super) fn peer(&self) -> Option<SocketAddr> {
        let (peer, sender) = self.open.as_ref()?;
        (!sender.is_closed()).then_some(*peer)
    }

    /// Connects to a process.
    pub(super) async fn connect(&mut self, peer: SocketAddr) -> bool {
        self.open = None;
        let Ok(Ok(stream)) = timeout(CONNECT_LIMIT, TcpStream::connect(peer)).await else {
            return false;
        };
        // Without this option small requests are slower.
        let _set = stream.set_nodelay(true);
        let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            return false;
        };
        tokio::spawn(async move {
            // Requests on the connection get its error.
            let _ended = connection.await;
        });
        self.open = Some((peer, sender));
        true
    }

    /// Sends one request and waits for its answer.
    pub(super) async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: String,
        limit: Duration,
    ) -> Reply {
        let Some((_, sender)) = &mut self.open else {
            return Reply::Unsent;
        };
        if sender.ready().await.is_err() {
            self.open = None;
            return Reply::Unsent;
        }
        let Ok(request) = request(method, path, body, limit) else {
            return Reply::Unsent;
        };
        let sent = Instant::now();
        let exchange = async {
            let answer = sender.send_request(request).await?;
            let status = answer.status().as_u16();
            let body = answer.into_body().collect().await?.to_bytes();
            Ok::<_, hyper::Error>((status, body))
        };
        match timeout(limit + LATE_SLACK, exchange).await {
            Ok(Ok((status, body))) => Reply::Status(status, body),
            Ok(Err(error)) => {
                self.open = None;
                if error.is_canceled() {
                    return Reply::Unsent;
                }
                Reply::Broken(sent.elapsed())
            }
            Err(_elapsed) => {
                self.open = None;
                Reply::Late
            }
        }
    }

    /// Submits a job and leaves the connection open; nobody waits for the answer, so that the process
    /// can't tell that its caller has gone. The connection stays until the returned handle is aborted
    /// or the process closes it. None when nothing was sent.
    pub(super) async fn abandon(
        &mut self,
        path: &str,
        body: String,
        limit: Duration,
    ) -> Option<impl Future<Output = ()> + use<>> {
        let (_, mut sender) = self.open.take()?;
        sender.ready().await.ok()?;
        let request = request(Method::POST, path, body, limit).ok()?;
        let sent = sender.send_request(request);
        Some(async move {
            // The answer is not used, and neither is the connection after it.
            let _answer = sent.await;
            let _closed = sender.ready().await;
            while !sender.is_closed() {
                sleep(CLOSE_POLL).await;
            }
        })
    }

    /// Closes the connection.
    pub(super) fn close(&mut self) {
        self.open = None;
    }
}

fn request(
    method: Method,
    path: &str,
    body: String,
    limit: Duration,
) -> hyper::http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("content-type", "application/json")
        .header("knapweedwall-deadline-ms", limit.as_millis().to_string())
        .body(Full::new(Bytes::from(body)))
}

/// Pause between two looks at an abandoned connection.
const CLOSE_POLL: Duration = Duration::from_millis(100);

/// Time after its limit in which an answer is still waited for, so that late ones are noticed.
const LATE_SLACK: Duration = Duration::from_millis(500);
