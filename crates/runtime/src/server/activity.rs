//! What one connection is doing, to find callers that neither send nor read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Checks within one idle time; the limit is exceeded by at most this part of it.
const CHECKS_PER_LIMIT: u32 = 4;

/// Requests and unread answers of one connection.
#[derive(Debug)]
pub(super) struct Activity {
    start: Instant,
    /// Requests whose handler runs.
    running: AtomicUsize,
    /// Milliseconds from `start` to the last change.
    changed_ms: AtomicU64,
    /// Bytes of answers that the connection has not taken yet.
    unread: AtomicUsize,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            running: AtomicUsize::new(0),
            changed_ms: AtomicU64::new(0),
            unread: AtomicUsize::new(0),
        }
    }
}

impl Activity {
    fn touch(&self) {
        let now = self.start.elapsed().as_millis();
        let now = u64::try_from(now).unwrap_or(u64::MAX);
        self.changed_ms.store(now, Ordering::Relaxed);
    }

    pub(super) fn add_unread(&self, bytes: usize) {
        self.unread.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn read(&self, bytes: usize) {
        self.unread.fetch_sub(bytes, Ordering::Relaxed);
        self.touch();
    }

    /// Returns when no request has run for `idle`, or when more than `unread` bytes of answers
    /// wait for the caller.
    pub(super) async fn exceeded(&self, idle: Duration, unread: usize) {
        loop {
            sleep(idle / CHECKS_PER_LIMIT).await;
            if self.unread.load(Ordering::Relaxed) > unread {
                return;
            }
            let changed = Duration::from_millis(self.changed_ms.load(Ordering::Relaxed));
            let still = self.start.elapsed().saturating_sub(changed);
            if self.running.load(Ordering::Relaxed) == 0 && still >= idle {
                return;
            }
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
        self.0.touch();
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
