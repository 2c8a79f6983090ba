//! Connections to other processes, all on one thread.
//!
//! One side dials and sends `Hello`, the other accepts and answers `Welcome`; then both exchange
//! frames. Two processes keep one link: a new one of the same direction replaces the old one, and
//! of two links of opposite directions the one dialled by the process with the lower name stays.

mod commands;
mod dial;
mod dispatch;
mod events;
mod handshake;
mod hub;
mod kind;
mod listen;
mod live;
mod metrics;
mod outbox;
mod reader;
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
use commands::Commands;
use hub::Hub;
use metrics::Metrics;

/// Bounds of the links.
#[derive(Debug, Clone, Copy, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Accepted connections; further ones wait in the listener's backlog.
    #[garde(custom(number_within(1, 16_384)))]
    pub accepted: usize,
    /// Frames that wait for one peer; with more, the link is closed.
    #[garde(custom(number_within(64, 1_048_576)))]
    pub frames: usize,
    /// Bytes that wait for one peer; with more, the link is closed.
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

/// Where to listen and whom to dial.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Address of the listener; none for processes that only dial.
    pub listen: Option<SocketAddr>,
    /// Addresses that are dialled as long as the process runs.
    pub seeds: Vec<SmolStr>,
    /// Bounds.
    pub limits: Limits,
}

/// How this process introduces itself.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Role.
    pub role: Role,
    /// Name from the settings.
    pub name: SmolStr,
    /// Zone from the settings.
    pub zone: SmolStr,
    /// Run of the process.
    pub instance: Instance,
    /// Address under which others reach the listener; empty for the bound address, and for
    /// processes that only dial.
    pub address: SmolStr,
    /// Slots of the endpoint; 0 for entry processes.
    pub slots: u32,
}

/// What happens on the links.
#[derive(Debug)]
pub enum LinkEvent {
    /// The hand-shake is complete.
    Up {
        /// The link.
        link: LinkKey,
        /// The other side.
        peer: PeerInfo,
        /// Name and address of the entry processes that the other side knows.
        entries: Vec<(SmolStr, SmolStr)>,
    },
    /// The link has ended; nothing more comes from it.
    Down(LinkKey),
    /// A frame came in.
    Frame(LinkKey, Body),
}

/// Takes what happens on the links; called on the links' thread and must not block.
pub trait Sink: Send {
    /// Takes events from the front of `events` as long as there is room. What remains is offered
    /// again after a pause, and the link concerned is not read meanwhile.
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>);
}

/// The running links.
#[derive(Debug)]
pub struct Links {
    commands: Arc<Commands>,
    address: Option<SocketAddr>,
    thread: JoinHandle<()>,
}

/// Sends commands to the links; cheap to clone.
#[derive(Debug, Clone)]
pub struct LinksHandle(Arc<Commands>);

impl LinksHandle {
    /// Sends a frame. Frames to a link that has ended are dropped.
    pub fn send(&self, link: LinkKey, body: Body) {
        self.0.send([(link, body)]);
    }

    /// Sends frames; those for one link go out together.
    pub fn send_all(&self, frames: impl IntoIterator<Item = (LinkKey, Body)>) {
        self.0.send(frames);
    }

    /// Closes a link after the frames that wait for it and a `Reject` with `code`.
    pub fn close(&self, link: LinkKey, code: &'static str) {
        self.0.close(link, code);
    }

    /// Connects to the entry process at `address`, unless there is a link to it already. A lost
    /// link is dialled again; after 60 s without success the address is given up.
    pub fn connect(&self, address: SmolStr) {
        self.0.connect(address);
    }
}

impl Links {
    /// Binds the listener, if there is one, and starts the thread `link`.
    ///
    /// # Errors
    /// The error of the operating system when the listener cannot be bound or the thread not
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
        let commands = Arc::new(Commands::default());
        let metrics = Metrics::register(registry);
        let seed = crate::random_seed()?;
        let received = Arc::clone(&commands);
        let thread = thread::Builder::new().name("link".into()).spawn(move || {
            let hub = Hub::open(settings, identity, sink, metrics, log, seed);
            tokio::task::LocalSet::new().block_on(&runtime, dispatch::run(hub, listener, received));
        })?;
        Ok(Self {
            commands,
            address,
            thread,
        })
    }

    /// Address of the listener.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// A handle for other threads.
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

    /// Ends all links after the frames that wait for them, for at most `limit`, and the thread.
    pub fn finish(self, limit: Duration) {
        self.commands.finish(limit);
        // A panic of the thread has been reported by the panic hook.
        let _ended = self.thread.join();
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
