//! HTTP server that runs a gotham router with bounds on connections, time and memory.

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

use activity::Activity;

/// Header from which gotham takes the id of a request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Bytes of request headers that are read before the request is refused.
const MAX_HEADER_BYTES: u32 = 16 * 1024;

/// Pause after a failed accept, such as with too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest time that open requests and unread answers are waited for after a stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Open connections; further ones wait in the listener's backlog.
    pub connections: usize,
    /// Requests of one HTTP/2 connection that run at the same time.
    pub streams: u32,
    /// Longest time without a request, from the last answer until the next request's headers are
    /// complete. An answer that is not read within this time also ends the connection.
    pub idle: Duration,
    /// Bytes of answers of one connection that its caller has not read; with more, the connection
    /// is closed.
    pub unread_bytes: usize,
}

/// Serves `handler` on `listener` until `stop` turns true, then completes the open requests and
/// closes the connections.
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
    let places = Arc::new(Semaphore::new(limits.connections));
    let all = u32::try_from(limits.connections).unwrap_or(u32::MAX);
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &places) => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Some((socket, caller, place)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = Connection {
            builder: Arc::clone(&builder),
            handler: Arc::clone(&handler),
            limits,
            caller,
        };
        tokio::spawn(connection.run(socket, stop.clone(), place));
    }
    drop(listener);
    let _drained = tokio::time::timeout(DRAIN_LIMIT, places.acquire_many(all)).await;
}

fn builder(limits: Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    // Slow headers count as idle time, so HTTP/1 needs no timer for each request.
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
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let place = Arc::clone(places).acquire_owned().await.ok()?;
    let (socket, caller) = listener.accept().await.ok()?;
    socket.set_nodelay(true).ok()?;
    Some((socket, caller, place))
}

struct Connection<H> {
    builder: Arc<Builder<TokioExecutor>>,
    handler: Arc<H>,
    limits: Limits,
    caller: SocketAddr,
}

impl<H> Connection<H>
where
    H: NewHandler + RefUnwindSafe + 'static,
{
    async fn run(
        self,
        socket: TcpStream,
        mut stop: watch::Receiver<bool>,
        _place: OwnedSemaphorePermit,
    ) {
        let Self {
            builder,
            handler,
            limits,
            caller,
        } = self;
        let activity = Arc::new(Activity::default());
        let service = service_fn(|mut request: Request<Incoming>| {
            // gotham makes a random id for each request that has none, which costs a system
            // call, and panics when a caller's id is not UTF-8. Nothing here uses the id.
            let id = HeaderValue::from_static("none");
            request.headers_mut().insert(REQUEST_ID, id);
            answer(
                Arc::clone(&handler),
                State::from_request(request, caller),
                Arc::clone(&activity),
            )
        });
        let connection = builder.serve_connection(TokioIo::new(socket), service);
        tokio::pin!(connection);
        let mut stopping = false;
        loop {
            tokio::select! {
                // Errors of a connection concern its caller only.
                _ = connection.as_mut() => return,
                () = activity.exceeded(limits.idle, limits.unread_bytes) => return,
                _ = stop.wait_for(|stop| *stop), if !stopping => {
                    stopping = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

async fn answer<H>(
    handler: Arc<H>,
    state: State,
    activity: Arc<Activity>,
) -> Result<Response<Body>, Infallible>
where
    H: NewHandler + RefUnwindSafe + 'static,
{
    let request = activity::Request::start(Arc::clone(&activity));
    let result = call_handler(handler, AssertUnwindSafe(state)).await;
    drop(request);
    let response = result.unwrap_or_else(|_error| {
        let mut failed = Response::new(Body::default());
        *failed.status_mut() = gotham::hyper::StatusCode::INTERNAL_SERVER_ERROR;
        failed
    });
    Ok(response.map(|body| body::track(body, activity)))
}
