//! What one connection is doing, to find callers that neither send nor read.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::sleep;

/// Checks within one idle time; the limit is exceeded by at most this part of it.
const CHECKS_PER_LIMIT: u32 = 4;

/// Requests and unread answers of one connection.
#[derive(Debug, Default)]
pub(super) struct Activity {
    /// Requests whose handler runs.
    running: AtomicUsize,
    /// Requests that ended and answers that were taken; compared between checks.
    changes: AtomicUsize,
    /// Bytes of answers that the connection has not taken yet.
    unread: AtomicUsize,
}

impl Activity {
    pub(super) fn add_unread(&self, bytes: usize) {
        self.unread.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn read(&self, bytes: usize) {
        self.unread.fetch_sub(bytes, Ordering::Relaxed);
        self.changes.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns when no request has run for `idle`, or when more than `unread` bytes of answers
    /// wait for the caller.
    pub(super) async fn exceeded(&self, idle: Duration, unread: usize) {
        let mut seen = self.changes.load(Ordering::Relaxed);
        let mut quiet = 0;
        while quiet < CHECKS_PER_LIMIT {
            sleep(idle / CHECKS_PER_LIMIT).await;
            if self.unread.load(Ordering::Relaxed) > unread {
                return;
            }
            let changes = self.changes.load(Ordering::Relaxed);
            let active = changes != seen || self.running.load(Ordering::Relaxed) > 0;
            quiet = if active { 0 } else { quiet + 1 };
            seen = changes;
        }
    }
}

/// One running request.
#[derive(Debug)]
pub(super) struct Request(Arc<Activity>);

impl Request {
    pub(super) fn start(activity: Arc<Activity>) -> Self {
        activity.running.fetch_add(1, Ordering::Relaxed);
        Self(activity)
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.0.changes.fetch_add(1, Ordering::Relaxed);
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
