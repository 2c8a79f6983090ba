//! Queue of commands from other threads to the link thread.

use std::collections::BTreeSet;
use std::mem;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use knapweedwall_core::LinkKey;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;
use tokio::sync::Notify;

/// Maximum number of queued frames. A frame beyond it closes its link, because a gap in the frames
/// of a link would be worse than losing the link.
const MAX_QUEUED_FRAMES: usize = 65_536;

/// Maximum number of queued addresses. Further ones are dropped; callers repeat the request as
/// long as they need the link.
const MAX_QUEUED_ADDRESSES: usize = 1_024;

/// All commands queued since the last batch. Frames are sent in order, before the other commands
/// are executed.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) frames: Vec<(LinkKey, Body)>,
    pub(super) closes: Vec<(LinkKey, &'static str)>,
    /// Links to close because a frame to them did not fit into the queue.
    pub(super) overflows: BTreeSet<LinkKey>,
    pub(super) addresses: Vec<SmolStr>,
    /// Timeout for flushing the links before the thread ends.
    pub(super) shutdown: Option<Duration>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.frames.is_empty()
            && self.closes.is_empty()
            && self.overflows.is_empty()
            && self.addresses.is_empty()
            && self.shutdown.is_none()
    }
}

/// The command queue. The thread is notified only when a command is added to an empty queue, and
/// then takes all commands at once.
#[derive(Debug, Default)]
pub(super) struct CommandQueue {
    pending: Mutex<Batch>,
    added: Notify,
}

impl CommandQueue {
    pub(super) fn send(&self, frames: impl IntoIterator<Item = (LinkKey, Body)>) {
        self.add(|batch| {
            for (link, body) in frames {
                if batch.frames.len() < MAX_QUEUED_FRAMES {
                    batch.frames.push((link, body));
                } else {
                    batch.overflows.insert(link);
                }
            }
        });
    }

    pub(super) fn close(&self, link: LinkKey, code: &'static str) {
        self.add(|batch| batch.closes.push((link, code)));
    }

    pub(super) fn connect(&self, address: SmolStr) {
        self.add(|batch| {
            if batch.addresses.len() < MAX_QUEUED_ADDRESSES {
                batch.addresses.push(address);
            }
        });
    }

    pub(super) fn shutdown(&self, timeout: Duration) {
        self.add(|batch| batch.shutdown = Some(timeout));
    }

    /// Waits until a command is queued, then takes all of them.
    pub(super) async fn next(&self) -> Batch {
        loop {
            let batch = mem::take(&mut *self.lock());
            if !batch.is_empty() {
                return batch;
            }
            self.added.notified().await;
        }
    }

    fn add(&self, change: impl FnOnce(&mut Batch)) {
        let mut batch = self.lock();
        let was_empty = batch.is_empty();
        change(&mut batch);
        let notify = was_empty && !batch.is_empty();
        drop(batch);
        if notify {
            self.added.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Batch> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
