//! Whether the endpoint accepts connections.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use knapweedwall_core::agent::Input;
use tokio::sync::Notify;

use super::port::Endpoint;
use crate::Inputs;

/// Time between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What was last reported of the endpoint.
#[derive(Debug)]
pub(super) struct Reach {
    inputs: Inputs,
    reported: Mutex<Option<bool>>,
    check: Notify,
}

impl Reach {
    pub(super) fn new(inputs: Inputs) -> Self {
        Self {
            inputs,
            reported: Mutex::new(None),
            check: Notify::new(),
        }
    }

    /// Checks the endpoint at regular times, and at once after a refused connection. A reachable
    /// endpoint that is `busy` is not checked: it may accept no more connections than it has slots.
    pub(super) async fn watch(&self, endpoint: &dyn Endpoint, busy: impl Fn() -> bool) {
        loop {
            if *self.reported() != Some(true) || !busy() {
                self.report(endpoint.check().await);
            }
            // The end of the time and the notification have the same effect.
            let _elapsed = tokio::time::timeout(CHECK_INTERVAL, self.check.notified()).await;
        }
    }

    /// A connection was refused: no more starts until a check succeeds.
    pub(super) fn refused(&self) {
        self.report(false);
        self.check.notify_one();
    }

    fn report(&self, accepts: bool) {
        let mut reported = self.reported();
        if *reported != Some(accepts) && self.inputs.send(Input::EndpointReachable(accepts)).is_ok()
        {
            *reported = Some(accepts);
        }
    }

    fn reported(&self) -> MutexGuard<'_, Option<bool>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
