//! HTTP server that runs a gotham router, with limits on connections, idle time and memory.

mod activity;
mod body;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, RefUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::helpers::http::Body;
use gotham::hyper::header::{HeaderName, HeaderValue};
use gotham::hyper::{Request, Response, body::Incoming, service::service_fn};
use gotham::service::call_handler;
use gotham::state::State;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::sleep;

use activity::{Activity, RequestGuard};

/// Header from which gotham takes the request id.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Maximum size of the request headers; larger requests are rejected.
const MAX_HEADER_BYTES: u32 = 16 * 1024;

/// Delay after a failed accept, for example when too many files are open.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Longest wait after a stop for running requests to complete and responses to be read.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections; further ones wait in the listener's backlog.
    pub connections: usize,
    /// Maximum number of concurrent requests on an HTTP/2 connection.
    pub streams: u32,
    /// Idle timeout of a connection, from the last response until the headers of the next request
    /// are complete. A connection is also closed if a response is not read within this time.
    pub idle: Duration,
    /// Maximum number of response bytes that the client of a connection has not read; the
    /// connection is closed when it is exceeded.
    pub unread_bytes: usize,
}

/// Serves `handler` on `listener` until `stop` becomes true, then completes the running requests
/// and closes the connections.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) where
    H: NewHandler + RefUnwindSafe + 'static,
{
    let handler = Arc::new(handler);
    let builder = Arc::new(builder(limits));
    let permits = Arc::new(Semaphore::new(limits.connections));
    let permit_count = u32::try_from(limits.connections).unwrap_or(u32::MAX);
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Some((socket, client, permit)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let connection = Connection {
            builder: Arc::clone(&builder),
            handler: Arc::clone(&handler),
            limits,
            client,
        };
        tokio::spawn(connection.run(socket, stop.clone(), permit));
    }
    drop(listener);
    let _drained = tokio::time::timeout(DRAIN_TIMEOUT, permits.acquire_many(permit_count)).await;
}

fn builder(limits: Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    // Reading headers counts towards the idle timeout, so HTTP/1 needs no timer for each request.
    builder
        .http1()
        .header_read_timeout(None)
        .max_buf_size(MAX_HEADER_BYTES as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(MAX_HEADER_BYTES)
        .keep_alive_interval(limits.idle)
        .keep_alive_timeout(limits.idle);
    builder
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    let (socket, client) = listener.accept().await.ok()?;
    socket.set_nodelay(true).ok()?;
    Some((socket, client, permit))
}

struct Connection<H> {
    builder: Arc<Builder<TokioExecutor>>,
    handler: Arc<H>,
    limits: Limits,
    client: SocketAddr,
}

impl<H> Connection<H>
where
    H: NewHandler + RefUnwindSafe + 'static,
{
    async fn run(
        self,
        socket: TcpStream,
        mut stop: watch::Receiver<bool>,
        _permit: OwnedSemaphorePermit,
    ) {
        let Self {
            builder,
            handler,
            limits,
            client,
        } = self;
        let activity = Arc::new(Activity::default());
        let service = service_fn(|mut request: Request<Incoming>| {
            // gotham generates a random id for a request that has none, which costs a system
            // call, and panics on an id that is not UTF-8. The id is not used, so it is set to a
            // constant.
            let id = HeaderValue::from_static("none");
            request.headers_mut().insert(REQUEST_ID, id);
            respond(
                Arc::clone(&handler),
                State::from_request(request, client),
                Arc::clone(&activity),
            )
        });
        let connection = builder.serve_connection(TokioIo::new(socket), service);
        tokio::pin!(connection);
        let mut stopping = false;
        loop {
            tokio::select! {
                // An error affects only this connection and its client, so it is not logged.
                _ = connection.as_mut() => return,
                () = activity.limit_exceeded(limits.idle, limits.unread_bytes) => return,
                _ = stop.wait_for(|stop| *stop), if !stopping => {
                    stopping = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

async fn respond<H>(
    handler: Arc<H>,
    state: State,
    activity: Arc<Activity>,
) -> Result<Response<Body>, Infallible>
where
    H: NewHandler + RefUnwindSafe + 'static,
{
    let request = RequestGuard::new(Arc::clone(&activity));
    let result = call_handler(handler, AssertUnwindSafe(state)).await;
    drop(request);
    let response = result.unwrap_or_else(|_error| {
        let mut failed = Response::new(Body::default());
        *failed.status_mut() = gotham::hyper::StatusCode::INTERNAL_SERVER_ERROR;
        failed
    });
    Ok(response.map(|body| body::track_unread(body, activity)))
}
