//! One open link.

use std::cell::Cell;

use knapweedwall_core::{LinkKey, PeerInfo};
use smol_str::SmolStr;
use tokio::sync::Notify;

use super::Limits;
use super::outbox::Outbox;

/// Which side dialled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Origin {
    /// This process dialled this address.
    Dialled(SmolStr),
    /// The other process dialled.
    Accepted,
}

/// Why a link ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// The connection is closed or failed.
    Lost(&'static str),
    /// This process closes it and sends the code.
    Closed(&'static str),
    /// The other side sent `Reject`.
    Rejected,
    /// The process ends; what waits is still sent.
    Finished,
}

/// An open link as the links' thread sees it.
#[derive(Debug)]
pub(super) struct Live {
    pub(super) key: LinkKey,
    pub(super) peer: PeerInfo,
    pub(super) origin: Origin,
    pub(super) outbox: Outbox,
    ending: Cell<Option<Ending>>,
    ended: Notify,
}

impl Live {
    pub(super) fn new(key: LinkKey, peer: PeerInfo, origin: Origin, limits: Limits) -> Self {
        Self {
            key,
            peer,
            origin,
            outbox: Outbox::new(limits),
            ending: Cell::new(None),
            ended: Notify::new(),
        }
    }

    /// Asks the link's task to end it. The first reason stays.
    pub(super) fn end(&self, ending: Ending) {
        if self.ending.get().is_none() {
            self.ending.set(Some(ending));
            self.ended.notify_one();
        }
    }

    /// Whether the link is about to end.
    pub(super) fn is_ending(&self) -> bool {
        self.ending.get().is_some()
    }

    /// Waits until the link is to be ended.
    pub(super) async fn ended(&self) -> Ending {
        loop {
            if let Some(ending) = self.ending.get() {
                return ending;
            }
            self.ended.notified().await;
        }
    }

    /// Whether this link leads to the process that listens at `address`.
    pub(super) fn leads_to(&self, address: &str) -> bool {
        let dialled = matches!(&self.origin, Origin::Dialled(to) if to == address);
        dialled || self.peer.address == address
    }
}
