//! A running entry process: its threads and the rings between them.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use knapweedwall_core::Role;
use knapweedwall_core::entry::{Decisions, Input};
use knapweedwall_platform::Platform;
use knapweedwall_runtime::admin::{self, Admin, Readiness};
use knapweedwall_runtime::links::{self, Identity, LinkEvent, Links, Sink};
use knapweedwall_runtime::random_instance;
use prometheus_client::registry::Registry;
use slog::Logger;
use snafu::ResultExt;

use crate::error::{Error, ListenSnafu, Result, SystemSnafu};
use crate::event_loop::{EventLoop, Outputs};
use crate::http::{self, Http};
use crate::input_queue::{InputQueue, InputSender, Source};
use crate::settings::Settings;
use crate::store::{self, Store};

/// Time in which frames that wait are sent when the process ends.
const LINKS_FINISH_LIMIT: Duration = Duration::from_secs(2);

/// Makes the decisions; gets how the process introduces itself, and the registry for counters.
pub type MakeDecisions = dyn FnOnce(&Identity, &mut Registry) -> Box<dyn Decisions>;

/// What a process is made of besides its own threads.
pub struct Parts {
    /// Makes the decisions.
    pub decisions: Box<MakeDecisions>,
    /// The platform's table service and object store.
    pub platform: Arc<dyn Platform>,
    /// Log.
    pub log: Logger,
}

impl std::fmt::Debug for Parts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Parts").finish_non_exhaustive()
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

/// Asks a process to stop.
#[derive(Debug)]
pub struct Stopper(InputSender);

impl Stopper {
    /// Starts a graceful stop; [`Process::join`] returns when it is complete.
    pub fn stop(&self) {
        // Requests beyond the room for them have the same effect as those before.
        let _sent = self.0.try_send_event(Input::Stop);
    }
}

/// A running entry process.
#[derive(Debug)]
pub struct Process {
    addresses: Addresses,
    stop: InputSender,
    decide: JoinHandle<()>,
    http: Http,
    links: Links,
    store: JoinHandle<()>,
    _admin: Admin,
}

impl Process {
    /// Opens the listeners and starts the threads.
    ///
    /// # Errors
    /// [`Error`] when a listener cannot be bound or a thread not started.
    pub fn open(settings: &Settings, parts: Parts) -> Result<Self> {
        let Parts {
            decisions,
            platform,
            log,
        } = parts;
        let mut registry = Registry::with_prefix("knapweedwall");
        let queue = InputQueue::new(&mut registry);
        let stop = queue.sender(Source::Control);
        let mut own = identity(settings)?;
        let links = open_links(settings, &mut own, &queue, &mut registry, log.clone())?;
        let decisions = decisions(&own, &mut registry);
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
            store: store.sender,
            ready,
            log,
        };
        Ok(Self {
            addresses,
            stop,
            decide: spawn_event_loop(EventLoop::new(decisions, queue, outputs))?,
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

    /// A way to stop the process.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        Stopper(self.stop.clone())
    }

    /// Waits until the decisions have ended, completes the open answers and ends the threads.
    ///
    /// # Errors
    /// [`Error::Panicked`] when a thread ended by a panic.
    pub fn join(self) -> Result<()> {
        let decided = join(self.decide, "decide");
        let answered = self.http.finish();
        self.links.shutdown(LINKS_FINISH_LIMIT);
        decided.and(answered).and(join(self.store, "store"))
    }
}

pub(crate) fn join(thread: JoinHandle<()>, name: &'static str) -> Result<()> {
    thread
        .join()
        .map_err(|_panic| Error::Panicked { thread: name })
}

fn identity(settings: &Settings) -> Result<Identity> {
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

/// Opens the links and completes `own` with the address of the listener.
fn open_links(
    settings: &Settings,
    own: &mut Identity,
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
    let links = Links::spawn(settings, own.clone(), sink, registry, log);
    let links = links.context(ListenSnafu {
        what: "frame",
        address,
    })?;
    if own.address.is_empty() {
        own.address = links.address().unwrap_or(address).to_string().into();
    }
    Ok(links)
}

fn open_store(
    settings: &Settings,
    platform: Arc<dyn Platform>,
    queue: &InputQueue,
    registry: &mut Registry,
) -> Result<Store> {
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

fn open_http(settings: &Settings, queue: &InputQueue, registry: &mut Registry) -> Result<Http> {
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

struct LinkSink(InputSender);

impl Sink for LinkSink {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        // Only the links' thread uses this share, so the room that is seen here stays.
        while self.0.has_room() {
            let Some(event) = events.pop_front() else {
                return;
            };
            // When the decisions have ended, what happens on the links concerns nobody.
            let _sent = self.0.try_send_event(input(event));
        }
    }
}

fn input(event: LinkEvent) -> Input {
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
    }
}
