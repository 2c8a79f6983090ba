//! The thread `store`: executes store operations as calls to the platform.

use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use knapweedwall_core::entry::{Input, StoreOpId};
use knapweedwall_core::store::{Failure, Outcome, Reply, Request};
use knapweedwall_platform::Platform;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

use crate::input_queue::InputSender;

/// Operations queued for the thread; beyond this, an operation fails at once.
const MAX_QUEUED_OPERATIONS: usize = 256;

/// Delay before an outcome is sent again to a full input queue.
const QUEUE_FULL_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Count and duration of the calls.
#[derive(Debug, Clone)]
struct Metrics {
    calls: Family<[(&'static str, &'static str); 1], Counter>,
    seconds: Histogram,
}

impl Metrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            calls: Family::default(),
            seconds: Histogram::new(exponential_buckets(0.000_25, 2.0, 16)),
        };
        registry.register(
            "store_calls",
            "Calls to the platform by outcome",
            metrics.calls.clone(),
        );
        registry.register(
            "store_call_seconds",
            "Time of calls to the platform",
            metrics.seconds.clone(),
        );
        metrics
    }

    fn observe(&self, outcome: &Outcome, duration: Duration) {
        let name = match outcome {
            Ok(Reply::Conflict(_)) => "conflict",
            Ok(_) => "done",
            Err(Failure::NotApplied(_)) => "not_applied",
            Err(Failure::Unknown(_)) => "unknown",
        };
        self.calls.get_or_create(&[("outcome", name)]).inc();
        self.seconds.observe(duration.as_secs_f64());
    }
}

/// The running thread and the sender of its operations; it ends when all senders are dropped.
#[derive(Debug)]
pub(crate) struct StoreThread {
    pub(crate) operations: mpsc::Sender<(StoreOpId, Request)>,
    pub(crate) thread: JoinHandle<()>,
}

/// Starts the thread, which runs up to `max_calls` operations concurrently.
pub(crate) fn spawn(
    platform: Arc<dyn Platform>,
    max_calls: usize,
    inputs: InputSender,
    registry: &mut Registry,
) -> io::Result<StoreThread> {
    let (operations, receiver) = mpsc::channel(MAX_QUEUED_OPERATIONS);
    let metrics = Metrics::register(registry);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = thread::Builder::new()
        .name("store".into())
        .spawn(move || runtime.block_on(run(platform, max_calls, inputs, metrics, receiver)))?;
    Ok(StoreThread { operations, thread })
}

async fn run(
    platform: Arc<dyn Platform>,
    max_calls: usize,
    inputs: InputSender,
    metrics: Metrics,
    mut receiver: mpsc::Receiver<(StoreOpId, Request)>,
) {
    let permits = Arc::new(Semaphore::new(max_calls));
    while let Some((key, request)) = receiver.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let platform = Arc::clone(&platform);
        let inputs = inputs.clone();
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let start = Instant::now();
            let call = AssertUnwindSafe(async { platform.call(request).await }).catch_unwind();
            let outcome = call
                .await
                .unwrap_or_else(|_panic| Err(Failure::Unknown("the call panicked".into())));
            metrics.observe(&outcome, start.elapsed());
            deliver(&inputs, Input::Store(key, outcome)).await;
            drop(permit);
        });
    }
}

async fn deliver(inputs: &InputSender, input: Input) {
    // Only this thread sends as this source, so the room seen here remains until the send.
    while !inputs.has_room() {
        sleep(QUEUE_FULL_RETRY_DELAY).await;
    }
    // Fails only when the event loop has ended; the outcome has no consumer then.
    let _sent = inputs.try_send_event(input);
}
