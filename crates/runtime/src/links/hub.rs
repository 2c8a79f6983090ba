//! The open links and what their tasks share; lives on the links' thread.

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

use super::live::{Ending, Live, Origin};
use super::metrics::Metrics;
use super::outbox::Refused;
use super::{Identity, LinkEvent, Settings, Sink, kind};
use crate::Backoff;

/// Pause before events are offered again to a full ring.
const RING_PAUSE: Duration = Duration::from_millis(1);

/// What all tasks of the links' thread share.
pub(super) struct Hub {
    pub(super) settings: Settings,
    pub(super) identity: Identity,
    pub(super) metrics: Metrics,
    log: Logger,
    sink: RefCell<Box<dyn Sink>>,
    rng: RefCell<ChaCha8Rng>,
    live: RefCell<BTreeMap<LinkKey, Rc<Live>>>,
    dialling: RefCell<BTreeSet<SmolStr>>,
    next_key: Cell<u64>,
    changed: Notify,
}

impl Hub {
    pub(super) fn open(
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
            live: RefCell::default(),
            dialling: RefCell::default(),
            next_key: Cell::new(1),
            changed: Notify::new(),
        })
    }

    pub(super) fn log(&self, event: &Event) {
        crate::log::event(&self.log, event);
    }

    pub(super) fn delay(&self, backoff: &mut Backoff) -> Duration {
        backoff.next(&mut self.rng.borrow_mut())
    }

    /// Hands events to the sink and waits until it has taken all of them.
    pub(super) async fn deliver(&self, events: &mut VecDeque<LinkEvent>) {
        loop {
            self.sink.borrow_mut().offer(events);
            if events.is_empty() {
                return;
            }
            self.metrics.stalls.inc();
            sleep(RING_PAUSE).await;
        }
    }

    /// Adds a link that has completed its hand-shake. A link to the same process that it replaces
    /// has ended when this returns. None when an older link stays instead.
    pub(super) async fn add(&self, peer: PeerInfo, origin: Origin) -> Option<Rc<Live>> {
        while let Some(old) = self.link_to(peer.instance) {
            if !old.is_ending() {
                if self.keeps(&old, &peer, &origin) {
                    return None;
                }
                old.end(Ending::Closed("replaced"));
            }
            self.changed.notified().await;
        }
        let key = LinkKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        let live = Rc::new(Live::new(key, peer, origin, self.settings.limits));
        self.live.borrow_mut().insert(key, Rc::clone(&live));
        self.metrics.up.inc();
        self.changed.notify_waiters();
        Some(live)
    }

    /// Whether the link `old` stays and a new one from `origin` is refused.
    fn keeps(&self, old: &Live, peer: &PeerInfo, origin: &Origin) -> bool {
        let dialled = |origin: &Origin| matches!(origin, Origin::Dialled(_));
        if dialled(&old.origin) == dialled(origin) {
            return false;
        }
        let own = (&self.identity.name, self.identity.instance);
        let lower_is_own = own < (&peer.name, peer.instance);
        dialled(&old.origin) == lower_is_own
    }

    pub(super) fn remove(&self, key: LinkKey) {
        if self.live.borrow_mut().remove(&key).is_some() {
            self.metrics.up.dec();
            self.metrics.ended.inc();
        }
        self.changed.notify_waiters();
    }

    fn link_to(&self, instance: Instance) -> Option<Rc<Live>> {
        let live = self.live.borrow();
        let found = live.values().find(|link| link.peer.instance == instance);
        found.cloned()
    }

    /// Whether there is a link to the process that listens at `address` or has run `instance`.
    pub(super) fn is_linked(&self, address: &str, instance: Option<Instance>) -> bool {
        let live = self.live.borrow();
        live.values()
            .any(|link| link.leads_to(address) || Some(link.peer.instance) == instance)
    }

    /// Waits until there is no link to the process at `address` or of run `instance`.
    pub(super) async fn unlinked(&self, address: &str, instance: Option<Instance>) {
        while self.is_linked(address, instance) {
            self.changed.notified().await;
        }
    }

    /// Waits until no link is open.
    pub(super) async fn empty(&self) {
        while !self.live.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// Notes that `address` is being dialled; false when it is already.
    pub(super) fn start_dialling(&self, address: &SmolStr) -> bool {
        self.dialling.borrow_mut().insert(address.clone())
    }

    pub(super) fn stop_dialling(&self, address: &str) {
        self.dialling.borrow_mut().remove(address);
    }

    /// Adds a frame to a link's queue. A queue without room ends the link.
    pub(super) fn send(&self, link: LinkKey, body: Body) {
        let live = self.live.borrow();
        let Some(live) = live.get(&link).filter(|live| !live.is_ending()) else {
            return;
        };
        let kind = kind::index(&body);
        match live.outbox.add(body) {
            Ok(bytes) => self.metrics.sent(kind, bytes),
            Err(Refused::Full) => live.end(Ending::Lost("send queue full")),
            Err(Refused::TooLarge) => live.end(Ending::Closed("frame_too_large")),
        }
    }

    pub(super) fn end(&self, link: LinkKey, ending: Ending) {
        if let Some(live) = self.live.borrow().get(&link) {
            live.end(ending);
        }
    }

    pub(super) fn end_all(&self) {
        for live in self.live.borrow().values() {
            live.end(Ending::Finished);
        }
    }

    /// Name and address of the entry processes that this process is linked to, and its own.
    pub(super) fn entries(&self) -> Vec<(SmolStr, SmolStr)> {
        let own = &self.identity;
        let own = (own.role == Role::Entry).then(|| (own.name.clone(), own.address.clone()));
        let live = self.live.borrow();
        let linked = live
            .values()
            .filter(|link| link.peer.role == Role::Entry)
            .map(|link| (link.peer.name.clone(), link.peer.address.clone()));
        own.into_iter().chain(linked).collect()
    }
}
