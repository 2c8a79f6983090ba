//! Activity of a connection, used to detect clients that neither send requests nor read responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::sleep;

/// Number of checks within the idle timeout. The timeout is detected late by at most one interval.
const CHECKS_PER_IDLE_TIMEOUT: u32 = 4;

/// Running requests and unread responses of a connection.
#[derive(Debug, Default)]
pub(super) struct Activity {
    /// Requests whose handler is running.
    running: AtomicUsize,
    /// Count of completed requests and of response bodies that were read; a difference between two
    /// checks shows that the connection was active.
    changes: AtomicUsize,
    /// Bytes of response bodies that the connection has not consumed yet.
    unread: AtomicUsize,
}

impl Activity {
    pub(super) fn add_unread(&self, bytes: usize) {
        self.unread.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn mark_read(&self, bytes: usize) {
        self.unread.fetch_sub(bytes, Ordering::Relaxed);
        self.changes.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns once the connection has been idle for `idle_timeout`, or has more than `max_unread`
    /// bytes of unread responses.
    pub(super) async fn limit_exceeded(&self, idle_timeout: Duration, max_unread: usize) {
        let mut last_changes = self.changes.load(Ordering::Relaxed);
        let mut idle_checks = 0;
        while idle_checks < CHECKS_PER_IDLE_TIMEOUT {
            sleep(idle_timeout / CHECKS_PER_IDLE_TIMEOUT).await;
            if self.unread.load(Ordering::Relaxed) > max_unread {
                return;
            }
            let changes = self.changes.load(Ordering::Relaxed);
            let active = changes != last_changes || self.running.load(Ordering::Relaxed) > 0;
            idle_checks = if active { 0 } else { idle_checks + 1 };
            last_changes = changes;
        }
    }
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard(Arc<Activity>);

impl RequestGuard {
    pub(super) fn new(activity: Arc<Activity>) -> Self {
        activity.running.fetch_add(1, Ordering::Relaxed);
        Self(activity)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.changes.fetch_add(1, Ordering::Relaxed);
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
