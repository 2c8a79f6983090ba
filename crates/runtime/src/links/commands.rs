//! Queue of commands from other threads to the links' thread.

use std::collections::BTreeSet;
use std::mem;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use knapweedwall_core::LinkKey;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;
use tokio::sync::Notify;

/// Frames that wait for the thread. A frame that finds no room closes its link instead: a gap in
/// the frames of a link would be worse than its loss.
const WAITING_FRAMES: usize = 65_536;

/// Addresses that wait for the thread; further ones are dropped, and the caller asks again when
/// it still needs them.
const WAITING_ADDRESSES: usize = 1_024;

/// Commands that the thread takes in one go. Frames come first, in order.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) frames: Vec<(LinkKey, Body)>,
    pub(super) closes: Vec<(LinkKey, &'static str)>,
    pub(super) overflows: BTreeSet<LinkKey>,
    pub(super) addresses: Vec<SmolStr>,
    pub(super) finish: Option<Duration>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.frames.is_empty()
            && self.closes.is_empty()
            && self.overflows.is_empty()
            && self.addresses.is_empty()
            && self.finish.is_none()
    }
}

/// The queue. One wake-up of the thread serves all commands that were added before it runs.
#[derive(Debug, Default)]
pub(super) struct Commands {
    waiting: Mutex<Batch>,
    added: Notify,
}

impl Commands {
    pub(super) fn send(&self, frames: impl IntoIterator<Item = (LinkKey, Body)>) {
        self.add(|batch| {
            for (link, body) in frames {
                if batch.frames.len() < WAITING_FRAMES {
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
            if batch.addresses.len() < WAITING_ADDRESSES {
                batch.addresses.push(address);
            }
        });
    }

    pub(super) fn finish(&self, limit: Duration) {
        self.add(|batch| batch.finish = Some(limit));
    }

    /// Waits for commands and takes all of them.
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
        let first = batch.is_empty();
        change(&mut batch);
        let wake = first && !batch.is_empty();
        drop(batch);
        if wake {
            self.added.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Batch> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
