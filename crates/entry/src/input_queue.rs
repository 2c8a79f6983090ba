//! The bounded queue of inputs to the decisions, with a limit for each producer.

use std::sync::atomic::{AtomicBool, Ordering, fence};
use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TryRecvError, bounded};
use knapweedwall_core::entry::{CallKey, Input};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::sync::oneshot;

/// Queued requests of callers and operators; beyond this, requests are refused.
const MAX_HTTP_INPUTS: i64 = 4_096;

/// Queued link events; beyond this, links are not read.
const MAX_LINK_INPUTS: i64 = 65_536;

/// Queued outcomes of store operations; beyond this, the `store` thread waits.
const MAX_STORE_INPUTS: i64 = 256;

/// Queued `Input::Stop`, which every signal handler or test may send.
const MAX_CONTROL_INPUTS: i64 = 16;

/// Response to a call: HTTP status and body.
#[derive(Debug)]
pub(crate) struct CallResponse {
    pub(crate) status: u16,
    pub(crate) body: bytes::Bytes,
}

/// An element of the queue.
#[derive(Debug)]
pub(crate) enum QueuedInput {
    /// An input without a response.
    Event(Input),
    /// An input whose caller waits for the response.
    Call(CallKey, Input, oneshot::Sender<CallResponse>),
}

/// A producer of inputs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    Http,
    Link,
    Store,
    Control,
}

impl Source {
    const ALL: [Self; 4] = [Self::Http, Self::Link, Self::Store, Self::Control];

    fn name(self) -> &'static str {
        match self {
            Self::Http => "http",
            Self::Link => "link",
            Self::Store => "store",
            Self::Control => "control",
        }
    }

    fn limit(self) -> i64 {
        match self {
            Self::Http => MAX_HTTP_INPUTS,
            Self::Link => MAX_LINK_INPUTS,
            Self::Store => MAX_STORE_INPUTS,
            Self::Control => MAX_CONTROL_INPUTS,
        }
    }
}

/// Why an input was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrySendError {
    /// The producer has reached its limit.
    Full,
    /// The event loop has ended.
    Closed,
}

/// State shared by the queue and its senders.
#[derive(Debug)]
struct Shared {
    /// Number of queued inputs, by producer.
    lengths: [Gauge; 4],
    /// The consuming thread, once it has waited for the first time.
    consumer: OnceLock<Thread>,
    /// Whether the consumer is parked or about to park.
    parked: AtomicBool,
}

impl Shared {
    /// Wakes the consumer if it is parked. Called after the input has been queued.
    fn wake(&self) {
        // Pairs with the fence in `InputQueue::wait`: either this thread sees the flag, or the
        // consumer sees the input.
        fence(Ordering::SeqCst);
        if self.parked.load(Ordering::Relaxed)
            && self.parked.swap(false, Ordering::Relaxed)
            && let Some(thread) = self.consumer.get()
        {
            thread.unpark();
        }
    }
}

/// A sender for one producer.
#[derive(Debug, Clone)]
pub(crate) struct InputSender {
    source: Source,
    sender: Sender<(Source, QueuedInput)>,
    shared: Arc<Shared>,
}

impl InputSender {
    /// Queues `queued` without blocking.
    pub(crate) fn try_send(&self, queued: QueuedInput) -> Result<(), TrySendError> {
        let length = &self.shared.lengths[self.source as usize];
        if length.inc() >= self.source.limit() {
            length.dec();
            return Err(TrySendError::Full);
        }
        // The channel's capacity is the sum of all limits, so it fails only when closed.
        if self.sender.try_send((self.source, queued)).is_err() {
            length.dec();
            return Err(TrySendError::Closed);
        }
        self.shared.wake();
        Ok(())
    }

    /// Whether the producer is below its limit.
    pub(crate) fn has_room(&self) -> bool {
        self.shared.lengths[self.source as usize].get() < self.source.limit()
    }

    /// Queues an input without a response.
    pub(crate) fn try_send_event(&self, input: Input) -> Result<(), TrySendError> {
        self.try_send(QueuedInput::Event(input))
    }
}

/// The consumer's end of the queue.
#[derive(Debug)]
pub(crate) struct InputQueue {
    receiver: Receiver<(Source, QueuedInput)>,
    sender: Sender<(Source, QueuedInput)>,
    shared: Arc<Shared>,
}

impl InputQueue {
    /// Creates the queue and registers its lengths as a metric.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let lengths = Family::<[(&str, &str); 1], Gauge>::default();
        let of = |source: Source| lengths.get_or_create_owned(&[("source", source.name())]);
        let shared = Arc::new(Shared {
            lengths: Source::ALL.map(of),
            consumer: OnceLock::new(),
            parked: AtomicBool::new(false),
        });
        registry.register(
            "ring_length",
            "Inputs that wait for the decisions, by producer",
            lengths,
        );
        let capacity: i64 = Source::ALL.iter().map(|source| source.limit()).sum();
        let (sender, receiver) = bounded(usize::try_from(capacity).unwrap_or(usize::MAX));
        Self {
            receiver,
            sender,
            shared,
        }
    }

    /// Creates a sender for `source`.
    pub(crate) fn sender(&self, source: Source) -> InputSender {
        InputSender {
            source,
            sender: self.sender.clone(),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Waits up to `timeout` for an input. Must always be called from the same thread.
    ///
    /// Parks without spinning: the channel's own wait spins and yields first, which costs more
    /// CPU time than the wake-up when inputs arrive one at a time.
    pub(crate) fn wait(&self, timeout: Duration) -> Option<QueuedInput> {
        if let Some(queued) = self.try_next() {
            return Some(queued);
        }
        self.shared.consumer.get_or_init(thread::current);
        self.shared.parked.store(true, Ordering::Relaxed);
        // Pairs with the fence in `Shared::wake`.
        fence(Ordering::SeqCst);
        let first = self.try_next();
        if first.is_none() {
            thread::park_timeout(timeout);
        }
        self.shared.parked.store(false, Ordering::Relaxed);
        first.or_else(|| self.try_next())
    }

    /// Removes the next input without waiting.
    pub(crate) fn try_next(&self) -> Option<QueuedInput> {
        match self.receiver.try_recv() {
            Ok((source, queued)) => {
                self.shared.lengths[source as usize].dec();
                Some(queued)
            }
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
        }
    }
}
