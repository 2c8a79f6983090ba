//! State shared by the handlers: the sender of inputs to the decisions, and metrics.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use knapweedwall_core::entry::{CallKey, Input};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::error::{ApiError, Result};
use crate::input_queue::{CallResponse, InputSender, QueuedInput, TrySendError};

/// Added to a caller's wait to get the timeout of its call. The decisions normally respond within
/// the wait; the timeout bounds how long a fault in them can hold a request.
const RESPONSE_MARGIN: Duration = Duration::from_secs(30);

/// State shared by all handlers.
#[derive(Debug)]
pub(super) struct Api {
    inputs: InputSender,
    next_call: AtomicU64,
    open_calls: Gauge,
    responses: Family<[(&'static str, u32); 1], Counter>,
    /// Timeout for receiving the complete body of a request.
    pub(super) body_time: Duration,
}

impl Api {
    pub(super) fn new(inputs: InputSender, body_time: Duration, registry: &mut Registry) -> Self {
        let api = Self {
            inputs,
            next_call: AtomicU64::new(1),
            open_calls: Gauge::default(),
            responses: Family::default(),
            body_time,
        };
        registry.register(
            "http_requests",
            "Requests answered, by status",
            api.responses.clone(),
        );
        registry.register(
            "http_calls_open",
            "Requests that wait for the decisions",
            api.open_calls.clone(),
        );
        api
    }

    /// Sends an input to the decisions and waits for the response. Dropping the returned future,
    /// as on the loss of the caller's connection, sends [`Input::CallGone`].
    pub(super) async fn call(
        &self,
        wait: Duration,
        input: impl FnOnce(CallKey) -> Input,
    ) -> Result<CallResponse> {
        let key = CallKey(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (sender, response) = oneshot::channel();
        let queued = QueuedInput::Call(key, input(key), sender);
        self.inputs.try_send(queued).map_err(|error| match error {
            TrySendError::Full => ApiError::overloaded(),
            TrySendError::Closed => ApiError::stopping(),
        })?;
        let mut call = OpenCall::new(self, key);
        let response = timeout(wait + RESPONSE_MARGIN, response).await;
        let Ok(response) = response else {
            return Err(ApiError::unknown_outcome());
        };
        call.answered = true;
        // The event loop drops the sender without a response only when the process ends.
        response.map_err(|_closed| ApiError::unknown_outcome())
    }

    pub(super) fn count_response(&self, status: u16) {
        let label = [("status", u32::from(status))];
        self.responses.get_or_create(&label).inc();
    }
}

/// A call that waits for its response.
struct OpenCall<'a> {
    api: &'a Api,
    key: CallKey,
    answered: bool,
}

impl<'a> OpenCall<'a> {
    fn new(api: &'a Api, key: CallKey) -> Self {
        api.open_calls.inc();
        Self {
            api,
            key,
            answered: false,
        }
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.api.open_calls.dec();
        if !self.answered {
            // If the queue is full, the decisions keep the call until its wait is over.
            let _sent = self.api.inputs.try_send_event(Input::CallGone(self.key));
        }
    }
}
