//! A single open link.

use std::cell::Cell;

use knapweedwall_core::{LinkKey, PeerInfo};
use smol_str::SmolStr;
use tokio::sync::Notify;

use super::Limits;
use super::send_queue::SendQueue;

/// Which side opened the connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Origin {
    /// This process dialled the address.
    Dialled(SmolStr),
    /// The peer connected to this process.
    Accepted,
}

/// Why a link is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The connection failed or was closed by the peer.
    Lost(&'static str),
    /// This process closes the link and sends `Reject` with this code.
    Closed(&'static str),
    /// The peer sent `Reject`.
    RejectedByPeer,
    /// The process shuts down; queued frames are still sent.
    Shutdown,
}

/// An open link, shared between its own task and the other tasks of the link thread.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) key: LinkKey,
    pub(super) peer: PeerInfo,
    pub(super) origin: Origin,
    pub(super) send_queue: SendQueue,
    close_reason: Cell<Option<CloseReason>>,
    close_requested: Notify,
}

impl Link {
    pub(super) fn new(key: LinkKey, peer: PeerInfo, origin: Origin, limits: Limits) -> Self {
        Self {
            key,
            peer,
            origin,
            send_queue: SendQueue::new(limits),
            close_reason: Cell::new(None),
            close_requested: Notify::new(),
        }
    }

    /// Asks the link's task to close it. Only the first reason is kept.
    pub(super) fn close(&self, reason: CloseReason) {
        if self.close_reason.get().is_none() {
            self.close_reason.set(Some(reason));
            self.close_requested.notify_one();
        }
    }

    pub(super) fn is_closing(&self) -> bool {
        self.close_reason.get().is_some()
    }

    /// Waits until [`close`](Self::close) is called and returns the reason.
    pub(super) async fn closing(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.close_reason.get() {
                return reason;
            }
            self.close_requested.notified().await;
        }
    }

    /// Whether the peer of this link is the process that listens on `address`.
    pub(super) fn connects_to(&self, address: &str) -> bool {
        let dialled = matches!(&self.origin, Origin::Dialled(to) if to == address);
        dialled || self.peer.address == address
    }
}
