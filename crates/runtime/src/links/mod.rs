//! Links: connections to other processes, all served by one thread.
//!
//! One side dials and sends `Hello`, the other accepts and answers with `Welcome`; then both
//! exchange frames. Two processes keep only one link. A new link replaces an older one of the same
//! direction. Of two links of opposite directions, the one dialled by the process with the lower
//! name is kept.

mod command_queue;
mod dial;
mod dispatch;
mod events;
mod frame_kind;
mod handshake;
mod link;
mod listen;
mod manager;
mod metrics;
mod reader;
mod send_queue;
mod session;
mod writer;

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use garde::Validate;
use knapweedwall_core::{Instance, LinkKey, PeerInfo, Role};
use knapweedwall_wire::frame::Body;
use prometheus_client::registry::Registry;
use serde::Deserialize;
use slog::Logger;
use smol_str::SmolStr;

use crate::ByteSize;
use crate::settings::{number_within, size_within};
use command_queue::CommandQueue;
use manager::LinkManager;
use metrics::Metrics;

/// Limits of the links.
#[derive(Debug, Clone, Copy, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of accepted connections; further ones wait in the listener's backlog.
    #[garde(custom(number_within(1, 16_384)))]
    pub accepted: usize,
    /// Maximum number of frames queued for a peer; the link is closed when it is exceeded.
    #[garde(custom(number_within(64, 1_048_576)))]
    pub frames: usize,
    /// Maximum number of bytes queued for a peer; the link is closed when it is exceeded.
    #[garde(custom(size_within(64 << 10, 1 << 30)))]
    pub bytes: ByteSize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            accepted: 4_096,
            frames: 16_384,
            bytes: ByteSize(16 << 20),
        }
    }
}

/// Settings of the links.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Address of the listener; `None` for processes that only dial.
    pub listen: Option<SocketAddr>,
    /// Addresses that are dialled as long as the process runs.
    pub seeds: Vec<SmolStr>,
    /// Limits of connections and send queues.
    pub limits: Limits,
}

/// What this process tells its peers about itself in the handshake.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Role of the process.
    pub role: Role,
    /// Name from the settings.
    pub name: SmolStr,
    /// Zone from the settings.
    pub zone: SmolStr,
    /// Random id of this run of the process.
    pub instance: Instance,
    /// Address at which peers reach the listener. If empty, the bound address is used; it stays
    /// empty for processes that only dial.
    pub address: SmolStr,
    /// Slots of the endpoint; 0 for entry processes.
    pub slots: u32,
}

/// An event on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The handshake is complete.
    Up {
        /// The link.
        link: LinkKey,
        /// The process at the other end.
        peer: PeerInfo,
        /// Name and address of the entry processes that the peer listed in `Welcome`; empty for
        /// accepted links.
        entries: Vec<(SmolStr, SmolStr)>,
    },
    /// The link is closed; no more events follow for it.
    Down(LinkKey),
    /// A frame was received.
    Frame(LinkKey, Body),
    /// The host at this address refused a connection: no process listens there.
    Refused(SmolStr),
}

/// Receives the events of the links. Called on the link thread; must not block.
pub trait Sink: Send {
    /// Takes events from the front of `events` while there is room. The remaining events are
    /// offered again after a delay; their link is not read until all have been taken.
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>);
}

/// The running link thread.
#[derive(Debug)]
pub struct Links {
    commands: Arc<CommandQueue>,
    address: Option<SocketAddr>,
    thread: JoinHandle<()>,
}

/// Sends commands to the link thread; cheap to clone.
#[derive(Debug, Clone)]
pub struct LinksHandle(Arc<CommandQueue>);

impl LinksHandle {
    /// Sends a frame. Frames to a link that is closed are dropped.
    pub fn send(&self, link: LinkKey, body: Body) {
        self.0.send([(link, body)]);
    }

    /// Sends several frames; those for the same link are written together.
    pub fn send_all(&self, frames: impl IntoIterator<Item = (LinkKey, Body)>) {
        self.0.send(frames);
    }

    /// Closes a link after sending the queued frames and a `Reject` with `code`.
    pub fn close(&self, link: LinkKey, code: &'static str) {
        self.0.close(link, code);
    }

    /// Connects to the entry process at `address`, unless there is a link to it already. A lost
    /// link is dialled again; after 60 s without a link the address is given up.
    pub fn connect(&self, address: SmolStr) {
        self.0.connect(address);
    }
}

impl Links {
    /// Binds the listener, if one is configured, and starts the thread `link`.
    ///
    /// # Errors
    /// The error of the operating system if the listener cannot be bound or the thread cannot be
    /// started.
    pub fn spawn(
        settings: Settings,
        mut identity: Identity,
        sink: Box<dyn Sink>,
        registry: &mut Registry,
        log: Logger,
    ) -> io::Result<Self> {
        let listener = settings.listen.map(bind).transpose()?;
        let address = listener.as_ref().map(TcpListener::local_addr).transpose()?;
        if let (Some(bound), true) = (address, identity.address.is_empty()) {
            identity.address = bound.to_string().into();
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let commands = Arc::new(CommandQueue::default());
        let metrics = Metrics::register(registry);
        let seed = crate::random_seed()?;
        let queue = Arc::clone(&commands);
        let thread = thread::Builder::new().name("link".into()).spawn(move || {
            let manager = LinkManager::new(settings, identity, sink, metrics, log, seed);
            tokio::task::LocalSet::new()
                .block_on(&runtime, dispatch::run(manager, listener, queue));
        })?;
        Ok(Self {
            commands,
            address,
            thread,
        })
    }

    /// Bound address of the listener; `None` for processes that only dial.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Returns a handle for other threads.
    #[must_use]
    pub fn handle(&self) -> LinksHandle {
        LinksHandle(Arc::clone(&self.commands))
    }

    /// Sends a frame; see [`LinksHandle::send`].
    pub fn send(&self, link: LinkKey, body: Body) {
        self.commands.send([(link, body)]);
    }

    /// Closes a link; see [`LinksHandle::close`].
    pub fn close(&self, link: LinkKey, code: &'static str) {
        self.commands.close(link, code);
    }

    /// Connects to an entry process; see [`LinksHandle::connect`].
    pub fn connect(&self, address: SmolStr) {
        self.commands.connect(address);
    }

    /// Closes all links and stops the thread. Queued frames are still sent, for at most `timeout`.
    pub fn shutdown(self, timeout: Duration) {
        self.commands.shutdown(timeout);
        // A panic of the thread has been reported by the panic hook.
        let _result = self.thread.join();
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
