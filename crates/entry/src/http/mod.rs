//! The thread `http`: API for callers and operators.

mod api;
mod content;
mod jobs;
mod operators;
mod params;
mod refusal;
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

/// The running API.
#[derive(Debug)]
pub(crate) struct Http {
    pub(crate) address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl Http {
    /// Closes the listener, completes the answers that are under way, and ends the thread.
    pub(crate) fn finish(self) -> Result<()> {
        // Nobody receives when the thread has ended by itself.
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
) -> io::Result<Http> {
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
    Ok(Http {
        address,
        stop,
        thread,
    })
}
