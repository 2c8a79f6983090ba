//! Monitors whether the endpoint accepts connections.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use knapweedwall_core::agent::Input;
use tokio::sync::Notify;

use super::client::EndpointClient;
use crate::InputSender;

/// Time between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Reports to the event loop when the endpoint becomes reachable or unreachable.
#[derive(Debug)]
pub(super) struct ReachabilityMonitor {
    inputs: InputSender,
    last_reported: Mutex<Option<bool>>,
    check_requested: Notify,
}

impl ReachabilityMonitor {
    pub(super) fn new(inputs: InputSender) -> Self {
        Self {
            inputs,
            last_reported: Mutex::new(None),
            check_requested: Notify::new(),
        }
    }

    /// Checks the endpoint periodically, and immediately after a connection failure. A reachable
    /// endpoint is not checked while `is_busy` returns `true`, because it may accept no more
    /// connections than it has slots.
    pub(super) async fn run(&self, client: &dyn EndpointClient, is_busy: impl Fn() -> bool) {
        loop {
            if *self.last_reported() != Some(true) || !is_busy() {
                self.report(client.check().await);
            }
            // Either the timeout or the notification triggers the next check.
            let _elapsed =
                tokio::time::timeout(CHECK_INTERVAL, self.check_requested.notified()).await;
        }
    }

    /// Reports the endpoint as unreachable, which stops further starts until a check succeeds, and
    /// requests a check.
    pub(super) fn connection_failed(&self) {
        self.report(false);
        self.check_requested.notify_one();
    }

    fn report(&self, reachable: bool) {
        let mut last_reported = self.last_reported();
        if *last_reported != Some(reachable)
            && self
                .inputs
                .send(Input::EndpointReachable(reachable))
                .is_ok()
        {
            *last_reported = Some(reachable);
        }
    }

    fn last_reported(&self) -> MutexGuard<'_, Option<bool>> {
        self.last_reported
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
