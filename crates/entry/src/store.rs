//! The thread `store`: calls to the platform.

use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use knapweedwall_core::entry::{Input, StoreKey};
use knapweedwall_core::store::{Failure, Outcome, Reply, Request};
use knapweedwall_platform::Platform;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

use crate::input_queue::InputSender;

/// Operations that may wait for the thread; with more, an operation is declined at once.
const WAITING_OPERATIONS: usize = 256;

/// Pause before an outcome is offered again to a full ring.
const QUEUE_FULL_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Counters of the calls.
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

    fn count(&self, outcome: &Outcome, time: Duration) {
        let name = match outcome {
            Ok(Reply::Conflict(_)) => "conflict",
            Ok(_) => "done",
            Err(Failure::NotApplied(_)) => "not_applied",
            Err(Failure::Unknown(_)) => "unknown",
        };
        self.calls.get_or_create(&[("outcome", name)]).inc();
        self.seconds.observe(time.as_secs_f64());
    }
}

/// The running thread and the way to it; it ends when all senders are dropped.
#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) sender: mpsc::Sender<(StoreKey, Request)>,
    pub(crate) thread: JoinHandle<()>,
}

/// Starts the thread, which runs up to `calls` operations at the same time.
pub(crate) fn spawn(
    platform: Arc<dyn Platform>,
    calls: usize,
    inputs: InputSender,
    registry: &mut Registry,
) -> io::Result<Store> {
    let (sender, receiver) = mpsc::channel(WAITING_OPERATIONS);
    let metrics = Metrics::register(registry);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = thread::Builder::new()
        .name("store".into())
        .spawn(move || runtime.block_on(run(platform, calls, inputs, metrics, receiver)))?;
    Ok(Store { sender, thread })
}

async fn run(
    platform: Arc<dyn Platform>,
    calls: usize,
    inputs: InputSender,
    metrics: Metrics,
    mut receiver: mpsc::Receiver<(StoreKey, Request)>,
) {
    let places = Arc::new(Semaphore::new(calls));
    while let Some((key, request)) = receiver.recv().await {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
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
            metrics.count(&outcome, start.elapsed());
            deliver(&inputs, Input::Store(key, outcome)).await;
            drop(place);
        });
    }
}

async fn deliver(inputs: &InputSender, input: Input) {
    // Only this thread uses the share, so the room that is seen here stays until the offer.
    while !inputs.has_room() {
        sleep(QUEUE_FULL_RETRY_DELAY).await;
    }
    // When the decisions have ended, the outcome concerns nobody.
    let _sent = inputs.try_send_event(input);
}
