//! A running entry process: its threads and the queues between them.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use knapweedwall_core::Role;
use knapweedwall_core::entry::{Input, StateMachine};
use knapweedwall_platform::Platform;
use knapweedwall_runtime::admin::{self, Admin, Readiness};
use knapweedwall_runtime::links::{self, Identity, LinkEvent, Links, Sink};
use knapweedwall_runtime::random_instance;
use prometheus_client::registry::Registry;
use slog::Logger;
use snafu::ResultExt;

use crate::error::{Error, ListenSnafu, Result, SystemSnafu};
use crate::event_loop::{EventLoop, Outputs};
use crate::http::{self, HttpServer};
use crate::input_queue::{InputQueue, InputSender, Source};
use crate::settings::Settings;
use crate::store::{self, StoreThread};

/// Time limit for sending queued frames when the process ends.
const LINKS_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Creates the decisions from the identity sent to peers and the registry for metrics.
pub type DecisionsFactory = dyn FnOnce(&Identity, &mut Registry) -> Box<dyn StateMachine>;

/// Components that the process does not create itself.
pub struct Components {
    /// Creates the decisions.
    pub decisions: Box<DecisionsFactory>,
    /// The platform's table service and object store.
    pub platform: Arc<dyn Platform>,
    /// Destination of log events.
    pub log: Logger,
}

impl std::fmt::Debug for Components {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Components").finish_non_exhaustive()
    }
}

/// Addresses of the listeners.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// API for callers and operators.
    pub http: SocketAddr,
    /// Links to agents and entry processes.
    pub frames: SocketAddr,
    /// Health, readiness and metrics.
    pub admin: SocketAddr,
}

/// Handle that asks a process to stop.
#[derive(Debug)]
pub struct Stopper(InputSender);

impl Stopper {
    /// Starts a graceful stop; [`Process::join`] returns when it is complete.
    pub fn stop(&self) {
        // A full queue already holds a stop request, and further ones have no effect.
        let _sent = self.0.try_send_event(Input::Stop);
    }
}

/// A running entry process.
#[derive(Debug)]
pub struct Process {
    addresses: Addresses,
    control: InputSender,
    event_loop: JoinHandle<()>,
    http: HttpServer,
    links: Links,
    store: JoinHandle<()>,
    _admin: Admin,
}

impl Process {
    /// Opens the listeners and starts the threads.
    ///
    /// # Errors
    /// [`Error`] if a listener cannot be bound or a thread cannot be started.
    pub fn start(settings: &Settings, components: Components) -> Result<Self> {
        let Components {
            decisions,
            platform,
            log,
        } = components;
        let mut registry = Registry::with_prefix("knapweedwall");
        let queue = InputQueue::new(&mut registry);
        let control = queue.sender(Source::Control);
        let mut identity = new_identity(settings)?;
        let links = open_links(settings, &mut identity, &queue, &mut registry, log.clone())?;
        let decisions = decisions(&identity, &mut registry);
        let store = open_store(settings, platform, &queue, &mut registry)?;
        let http = open_http(settings, &queue, &mut registry)?;
        let ready = Readiness::default();
        let admin = open_admin(settings, registry, ready.clone())?;
        let addresses = Addresses {
            http: http.address,
            frames: links.address().unwrap_or(settings.frames.listen),
            admin: admin.address(),
        };
        let outputs = Outputs {
            links: links.handle(),
            store: store.operations,
            ready,
            log,
        };
        Ok(Self {
            addresses,
            control,
            event_loop: spawn_event_loop(EventLoop::new(decisions, queue, outputs))?,
            http,
            links,
            store: store.thread,
            _admin: admin,
        })
    }

    /// Addresses of the listeners.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns a handle to stop the process.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        Stopper(self.control.clone())
    }

    /// Waits until the event loop has ended, completes open responses and joins the threads.
    ///
    /// # Errors
    /// [`Error::Panicked`] if a thread panicked.
    pub fn join(self) -> Result<()> {
        let event_loop = join(self.event_loop, "decide");
        let http = self.http.shutdown();
        self.links.shutdown(LINKS_SHUTDOWN_TIMEOUT);
        event_loop.and(http).and(join(self.store, "store"))
    }
}

pub(crate) fn join(thread: JoinHandle<()>, name: &'static str) -> Result<()> {
    thread
        .join()
        .map_err(|_panic| Error::Panicked { thread: name })
}

fn new_identity(settings: &Settings) -> Result<Identity> {
    let instance = random_instance().context(SystemSnafu {
        what: "random number",
    })?;
    Ok(Identity {
        role: Role::Entry,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        instance,
        address: settings.frames.address.clone().unwrap_or_default(),
        slots: 0,
    })
}

/// Opens the links and sets an address missing in `identity` to the listener's.
fn open_links(
    settings: &Settings,
    identity: &mut Identity,
    queue: &InputQueue,
    registry: &mut Registry,
    log: Logger,
) -> Result<Links> {
    let address = settings.frames.listen;
    let sink = Box::new(LinkSink(queue.sender(Source::Link)));
    let settings = links::Settings {
        listen: Some(address),
        seeds: settings.frames.seeds.clone(),
        limits: settings.frames.limits,
    };
    let links = Links::spawn(settings, identity.clone(), sink, registry, log);
    let links = links.context(ListenSnafu {
        what: "frame",
        address,
    })?;
    if identity.address.is_empty() {
        identity.address = links.address().unwrap_or(address).to_string().into();
    }
    Ok(links)
}

fn open_store(
    settings: &Settings,
    platform: Arc<dyn Platform>,
    queue: &InputQueue,
    registry: &mut Registry,
) -> Result<StoreThread> {
    let calls = settings.store.calls;
    let store = store::spawn(platform, calls, queue.sender(Source::Store), registry);
    store.context(SystemSnafu {
        what: "store thread",
    })
}

fn open_admin(settings: &Settings, registry: Registry, ready: Readiness) -> Result<Admin> {
    let address = settings.admin.listen;
    admin::spawn(address, registry, ready).context(ListenSnafu {
        what: "admin",
        address,
    })
}

fn open_http(
    settings: &Settings,
    queue: &InputQueue,
    registry: &mut Registry,
) -> Result<HttpServer> {
    let address = settings.http.listen;
    let listener = TcpListener::bind(address).context(ListenSnafu {
        what: "http",
        address,
    })?;
    let inputs = queue.sender(Source::Http);
    http::spawn(&settings.http, listener, inputs, registry).context(SystemSnafu {
        what: "http thread",
    })
}

fn spawn_event_loop(event_loop: EventLoop) -> Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("decide".into())
        .spawn(move || event_loop.run())
        .context(SystemSnafu {
            what: "decide thread",
        })
}

/// Queues link events for the decisions while their source is below its limit.
struct LinkSink(InputSender);

impl Sink for LinkSink {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        // Only the links thread sends as this source, so the room seen here remains until the
        // send.
        while self.0.has_room() {
            let Some(event) = events.pop_front() else {
                return;
            };
            // Fails only when the event loop has ended; link events have no consumer then.
            let _sent = self.0.try_send_event(event_input(event));
        }
    }
}

fn event_input(event: LinkEvent) -> Input {
    match event {
        LinkEvent::Up {
            link,
            peer,
            entries,
        } => Input::LinkUp {
            link,
            peer,
            entries,
        },
        LinkEvent::Down(link) => Input::LinkDown(link),
        LinkEvent::Frame(link, body) => Input::Frame(link, body),
        LinkEvent::Refused(_) => Input::Tick,
    }
}
