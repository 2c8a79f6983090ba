//! Open links and the state that their tasks share on the link thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use knapweedwall_core::{Event, Instance, LinkKey, PeerInfo, Role};
use knapweedwall_wire::frame::Body;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::link::{CloseReason, Link, Origin};
use super::metrics::Metrics;
use super::send_queue::EnqueueError;
use super::{Identity, LinkEvent, Settings, Sink, frame_kind};
use crate::Backoff;

/// Delay before events are offered again to a sink that was full.
const SINK_RETRY_DELAY: Duration = Duration::from_millis(1);

/// State shared by all tasks of the link thread.
pub(super) struct LinkManager {
    pub(super) settings: Settings,
    pub(super) identity: Identity,
    pub(super) metrics: Metrics,
    log: Logger,
    sink: RefCell<Box<dyn Sink>>,
    rng: RefCell<ChaCha8Rng>,
    links: RefCell<BTreeMap<LinkKey, Rc<Link>>>,
    /// Addresses with a running dial task.
    dialling: RefCell<BTreeSet<SmolStr>>,
    next_link_key: Cell<u64>,
    /// Notified when a link is added or removed.
    links_changed: Notify,
}

impl LinkManager {
    pub(super) fn new(
        settings: Settings,
        identity: Identity,
        sink: Box<dyn Sink>,
        metrics: Metrics,
        log: Logger,
        seed: [u8; 32],
    ) -> Rc<Self> {
        Rc::new(Self {
            settings,
            identity,
            metrics,
            log,
            sink: RefCell::new(sink),
            rng: RefCell::new(ChaCha8Rng::from_seed(seed)),
            links: RefCell::default(),
            dialling: RefCell::default(),
            next_link_key: Cell::new(1),
            links_changed: Notify::new(),
        })
    }

    pub(super) fn log_event(&self, event: &Event) {
        crate::log::event(&self.log, event);
    }

    pub(super) fn next_delay(&self, backoff: &mut Backoff) -> Duration {
        backoff.next(&mut self.rng.borrow_mut())
    }

    /// Passes events to the sink and waits until it has accepted all of them.
    pub(super) async fn deliver(&self, events: &mut VecDeque<LinkEvent>) {
        loop {
            self.sink.borrow_mut().offer(events);
            if events.is_empty() {
                return;
            }
            self.metrics.stalls.inc();
            sleep(SINK_RETRY_DELAY).await;
        }
    }

    /// Adds a link whose handshake is complete. If it replaces a link to the same process, that
    /// link has been removed when this returns. Returns `None` if the existing link is kept.
    pub(super) async fn add(&self, peer: PeerInfo, origin: Origin) -> Option<Rc<Link>> {
        while let Some(old) = self.link_by_instance(peer.instance) {
            if !old.is_closing() {
                if self.keeps_existing(&old, &peer, &origin) {
                    return None;
                }
                old.close(CloseReason::Closed("replaced"));
            }
            self.links_changed.notified().await;
        }
        let key = LinkKey(self.next_link_key.get());
        self.next_link_key.set(key.0 + 1);
        let link = Rc::new(Link::new(key, peer, origin, self.settings.limits));
        self.links.borrow_mut().insert(key, Rc::clone(&link));
        self.metrics.up.inc();
        self.links_changed.notify_waiters();
        Some(link)
    }

    /// Whether the link `old` is kept and a new one from `origin` is refused. Of two links of
    /// opposite directions, the one dialled by the process with the lower name and instance is
    /// kept, so both sides choose the same one.
    fn keeps_existing(&self, old: &Link, peer: &PeerInfo, origin: &Origin) -> bool {
        let dialled = |origin: &Origin| matches!(origin, Origin::Dialled(_));
        if dialled(&old.origin) == dialled(origin) {
            return false;
        }
        let own = (&self.identity.name, self.identity.instance);
        let own_is_lower = own < (&peer.name, peer.instance);
        dialled(&old.origin) == own_is_lower
    }

    pub(super) fn remove(&self, key: LinkKey) {
        if self.links.borrow_mut().remove(&key).is_some() {
            self.metrics.up.dec();
            self.metrics.ended.inc();
        }
        self.links_changed.notify_waiters();
    }

    fn link_by_instance(&self, instance: Instance) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        let found = links.values().find(|link| link.peer.instance == instance);
        found.cloned()
    }

    /// Whether there is a link to the process that listens on `address` or has `instance`.
    pub(super) fn is_linked(&self, address: &str, instance: Option<Instance>) -> bool {
        let links = self.links.borrow();
        links
            .values()
            .any(|link| link.connects_to(address) || Some(link.peer.instance) == instance)
    }

    /// Waits until there is no link to the process that listens on `address` or has `instance`.
    pub(super) async fn wait_until_unlinked(&self, address: &str, instance: Option<Instance>) {
        while self.is_linked(address, instance) {
            self.links_changed.notified().await;
        }
    }

    /// Waits until no link is open.
    pub(super) async fn wait_until_empty(&self) {
        while !self.links.borrow().is_empty() {
            self.links_changed.notified().await;
        }
    }

    /// Marks `address` as being dialled. Returns `false` if it already was.
    pub(super) fn start_dialling(&self, address: &SmolStr) -> bool {
        self.dialling.borrow_mut().insert(address.clone())
    }

    pub(super) fn stop_dialling(&self, address: &str) {
        self.dialling.borrow_mut().remove(address);
    }

    /// Adds a frame to a link's send queue. If the queue is full or the frame too large, the link is
    /// closed. Frames to a link that is closing or has been removed are dropped.
    pub(super) fn send(&self, key: LinkKey, body: Body) {
        let links = self.links.borrow();
        let Some(link) = links.get(&key).filter(|link| !link.is_closing()) else {
            return;
        };
        let kind = frame_kind::index(&body);
        match link.send_queue.add(body) {
            Ok(bytes) => self.metrics.sent(kind, bytes),
            Err(EnqueueError::Full) => link.close(CloseReason::Lost("send queue full")),
            Err(EnqueueError::TooLarge) => link.close(CloseReason::Closed("frame_too_large")),
        }
    }

    pub(super) fn close(&self, key: LinkKey, reason: CloseReason) {
        if let Some(link) = self.links.borrow().get(&key) {
            link.close(reason);
        }
    }

    pub(super) fn close_all(&self) {
        for link in self.links.borrow().values() {
            link.close(CloseReason::Shutdown);
        }
    }

    /// Names and addresses of the entry processes that this process is linked to, preceded by its
    /// own if it is an entry process.
    pub(super) fn known_entries(&self) -> Vec<(SmolStr, SmolStr)> {
        let own = &self.identity;
        let own = (own.role == Role::Entry).then(|| (own.name.clone(), own.address.clone()));
        let links = self.links.borrow();
        let linked = links
            .values()
            .filter(|link| link.peer.role == Role::Entry)
            .map(|link| (link.peer.name.clone(), link.peer.address.clone()));
        own.into_iter().chain(linked).collect()
    }
}
