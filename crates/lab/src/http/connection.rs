//! One connection of a server.

use std::fmt::{Debug, Display, Formatter};
use std::future::poll_fn;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::Answer;

/// Answers the requests of a server.
pub trait Handler: Debug + Send + Sync + 'static {
    /// Answers one request. The future is dropped when the client closes the connection.
    fn answer(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// Takes the connection away from the HTTP library.
#[derive(Debug)]
struct TakeOver;

impl Display for TakeOver {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is sent outside the HTTP library")
    }
}

impl std::error::Error for TakeOver {}

/// An answer that the HTTP library cannot send.
#[derive(Debug)]
enum Faulty {
    Reset,
    Raw(Bytes, bool),
}

/// Serves requests until the connection ends.
pub(super) async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // Without a connection that sends small segments at once, answers wait for delayed ACKs.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut io = TokioIo::new(stream);
    while let Some(next) = serve_until_fault(io, &handler).await {
        io = next;
    }
}

/// Serves requests until a faulty answer or the end; returns the connection if it is to go on.
async fn serve_until_fault<H: Handler>(
    io: TokioIo<TcpStream>,
    handler: &Arc<H>,
) -> Option<TokioIo<TcpStream>> {
    let (sender, mut faults) = mpsc::channel(1);
    let service = service_fn(move |request| {
        let handler = Arc::clone(handler);
        let sender = sender.clone();
        Box::pin(async move {
            let fault = match handler.answer(request).await {
                Answer::Reply(response) => return Ok(response),
                Answer::Reset => Faulty::Reset,
                Answer::Raw { bytes, reuse } => Faulty::Raw(bytes, reuse),
            };
            // The channel has room: this is the only fault of the library's connection.
            let _ = sender.try_send(fault);
            Err(TakeOver)
        })
    });
    let mut connection = http1::Builder::new().serve_connection(io, service);
    let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    let fault = faults.try_recv().ok()?;
    let parts = connection.into_parts();
    send_faulty(parts.io, fault, parts.read_buf.is_empty()).await
}

/// Carries out a faulty answer; returns the connection if it is to go on.
async fn send_faulty(
    io: TokioIo<TcpStream>,
    fault: Faulty,
    drained: bool,
) -> Option<TokioIo<TcpStream>> {
    let mut stream = io.into_inner();
    match fault {
        Faulty::Reset => {
            // Closing with a linger time of zero sends RST instead of FIN.
            let _ = stream.set_zero_linger();
            None
        }
        Faulty::Raw(bytes, reuse) => {
            stream.write_all(&bytes).await.ok()?;
            (reuse && drained).then(|| TokioIo::new(stream))
        }
    }
}
