//! The thread `http`: serves the API for callers and operators.

mod api;
mod body;
mod error;
mod jobs;
mod operators;
mod params;
mod router;
mod submission;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use knapweedwall_runtime::server::{Limits, serve};
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use crate::error::Result;
use crate::input_queue::InputSender;
use crate::process::join;
use crate::settings;
use api::Api;

/// The running HTTP server.
#[derive(Debug)]
pub(crate) struct HttpServer {
    pub(crate) address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl HttpServer {
    /// Closes the listener, completes the responses in progress and joins the thread.
    pub(crate) fn shutdown(self) -> Result<()> {
        // Fails when the thread has already ended.
        let _sent = self.stop.send(true);
        join(self.thread, "http")
    }
}

/// Starts the thread on a bound listener.
pub(crate) fn spawn(
    settings: &settings::Http,
    listener: TcpListener,
    inputs: InputSender,
    registry: &mut Registry,
) -> io::Result<HttpServer> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let limits = Limits {
        connections: settings.connections,
        streams: settings.streams,
        idle: settings.idle,
        unread_bytes: settings.unread.as_usize(),
    };
    let api = Api::new(inputs, settings.body_time, registry);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (stop, stopped) = watch::channel(false);
    let thread = thread::Builder::new().name("http".into()).spawn(move || {
        runtime.block_on(async move {
            // Registering a bound listener fails only when the runtime cannot poll sockets.
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                return;
            };
            serve(listener, router::build(api), limits, stopped).await;
        });
    })?;
    Ok(HttpServer {
        address,
        stop,
        thread,
    })
}
