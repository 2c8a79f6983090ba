//! HTTP listener for health checks, readiness and metrics, separate from the API.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use gotham::handler::IntoResponse;
use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use gotham::mime::{Mime, TEXT_PLAIN_UTF_8};
use gotham::prelude::*;
use gotham::router::{Router, build_simple_router};
use gotham::state::State;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use crate::server::{Limits, serve};

/// Limits of the admin listener, which serves only a few monitoring clients.
const LIMITS: Limits = Limits {
    connections: 32,
    streams: 8,
    idle: Duration::from_secs(60),
    unread_bytes: 4 * 1024 * 1024,
};

/// Readiness of the process to accept work, shared between threads.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets the state reported by `/readyz`.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Returns the current state.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The running admin listener. It serves until the value is dropped.
#[derive(Debug)]
pub struct Admin {
    address: SocketAddr,
    _stop: watch::Sender<bool>,
}

impl Admin {
    /// Bound address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Serves `/healthz`, `/readyz` and `/metrics` on a dedicated thread.
///
/// # Errors
/// The error of the operating system if the address cannot be bound or the thread cannot be started.
pub fn spawn(address: SocketAddr, registry: Registry, ready: Readiness) -> io::Result<Admin> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (stop, stopped) = watch::channel(false);
    thread::Builder::new().name("admin".into()).spawn(move || {
        runtime.block_on(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                return;
            };
            serve(listener, router(registry, ready), LIMITS, stopped).await;
        });
    })?;
    Ok(Admin {
        address,
        _stop: stop,
    })
}

fn router(registry: Registry, ready: Readiness) -> Router {
    let registry = AssertUnwindSafe(Arc::new(registry));
    build_simple_router(move |route| {
        route.get("/healthz").to(healthz);
        route.get("/readyz").to_new_handler(move || {
            let ready = ready.clone();
            Ok(move |state: State| readyz(state, &ready))
        });
        route.get("/metrics").to_new_handler(move || {
            let registry: &AssertUnwindSafe<Arc<Registry>> = &registry;
            let registry = Arc::clone(registry);
            Ok(move |state: State| metrics(state, &registry))
        });
    })
}

fn healthz(state: State) -> (State, &'static str) {
    (state, "ok\n")
}

fn readyz(state: State, ready: &Readiness) -> (State, Response<Body>) {
    let (status, text) = if ready.get() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    let response = (status, TEXT_PLAIN_UTF_8, text).into_response(&state);
    (state, response)
}

fn metrics(state: State, registry: &Registry) -> (State, Response<Body>) {
    let mut text = String::new();
    let written = prometheus_client::encoding::text::encode(&mut text, registry);
    let status = match written {
        Ok(()) => StatusCode::OK,
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let open_metrics: Mime = "application/openmetrics-text; version=1.0.0; charset=utf-8"
        .parse()
        .unwrap_or(TEXT_PLAIN_UTF_8);
    let response = (status, open_metrics, text).into_response(&state);
    (state, response)
}
