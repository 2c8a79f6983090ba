//! What the handlers share: the way to the decisions, and counters.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use knapweedwall_core::entry::{CallKey, Input};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::refusal::{Refusal, Result};
use crate::input_queue::{CallResponse, InputSender, QueuedInput, TrySendError};

/// Time beyond a caller's own wait after which a call without an answer is given up. The
/// decisions answer in time; this bounds what a fault of theirs can hold.
const ANSWER_MARGIN: Duration = Duration::from_secs(30);

/// Shared by all handlers.
#[derive(Debug)]
pub(super) struct Api {
    inputs: InputSender,
    next_call: AtomicU64,
    open: Gauge,
    answers: Family<[(&'static str, u32); 1], Counter>,
    /// Longest time in which the body of a request must be complete.
    pub(super) body_time: Duration,
}

impl Api {
    pub(super) fn new(inputs: InputSender, body_time: Duration, registry: &mut Registry) -> Self {
        let api = Self {
            inputs,
            next_call: AtomicU64::new(1),
            open: Gauge::default(),
            answers: Family::default(),
            body_time,
        };
        registry.register(
            "http_requests",
            "Requests answered, by status",
            api.answers.clone(),
        );
        registry.register(
            "http_calls_open",
            "Requests that wait for the decisions",
            api.open.clone(),
        );
        api
    }

    /// Hands an input to the decisions and waits for the answer. When the returned future is
    /// dropped, because the caller's connection is gone, the decisions are told.
    pub(super) async fn call(
        &self,
        wait: Duration,
        input: impl FnOnce(CallKey) -> Input,
    ) -> Result<CallResponse> {
        let key = CallKey(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        let queued = QueuedInput::Call(key, input(key), sender);
        self.inputs
            .try_send(queued)
            .map_err(|refused| match refused {
                TrySendError::Full => Refusal::overloaded(),
                TrySendError::Closed => Refusal::stopping(),
            })?;
        let mut open = Open::new(self, key);
        let answer = timeout(wait + ANSWER_MARGIN, answer).await;
        let Ok(answer) = answer else {
            return Err(Refusal::unknown());
        };
        open.answered = true;
        // The decisions end without an answer only when the process ends.
        answer.map_err(|_ended| Refusal::unknown())
    }

    pub(super) fn count(&self, status: u16) {
        let label = [("status", u32::from(status))];
        self.answers.get_or_create(&label).inc();
    }
}

/// A call that waits for its answer.
struct Open<'a> {
    api: &'a Api,
    key: CallKey,
    answered: bool,
}

impl<'a> Open<'a> {
    fn new(api: &'a Api, key: CallKey) -> Self {
        api.open.inc();
        Self {
            api,
            key,
            answered: false,
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.api.open.dec();
        if !self.answered {
            // With a full ring the decisions keep the call until its wait is over.
            let _sent = self.api.inputs.try_send_event(Input::CallGone(self.key));
        }
    }
}
