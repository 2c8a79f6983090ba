//! The ring into the decisions, and its shares for each producer.

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

/// Requests of callers and operators that may wait; with more, requests are refused.
const HTTP_INPUTS: i64 = 4_096;

/// Events of links that may wait; with more, links are not read.
const LINK_INPUTS: i64 = 65_536;

/// Outcomes of store operations that may wait; with more, the `store` thread waits.
const STORE_INPUTS: i64 = 256;

/// Room for `Input::Stop`, which every signal handler or test may send.
const CONTROL_INPUTS: i64 = 16;

/// Answer to a call.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: bytes::Bytes,
}

/// What goes through the ring.
#[derive(Debug)]
pub(crate) enum Turn {
    /// An input that nobody waits for.
    Input(Input),
    /// An input with a caller that waits for the answer.
    Call(CallKey, Input, oneshot::Sender<Answer>),
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

    fn bound(self) -> i64 {
        match self {
            Self::Http => HTTP_INPUTS,
            Self::Link => LINK_INPUTS,
            Self::Store => STORE_INPUTS,
            Self::Control => CONTROL_INPUTS,
        }
    }
}

/// Why an input was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The producer's share of the ring is full.
    Full,
    /// The decisions have ended.
    Ended,
}

/// What all ends of the ring share.
#[derive(Debug)]
struct Shared {
    /// Inputs that wait, by producer.
    waiting: [Gauge; 4],
    /// The thread of the decisions, once it runs.
    consumer: OnceLock<Thread>,
    /// Whether that thread is about to park or parked.
    parked: AtomicBool,
}

impl Shared {
    /// Wakes the decisions when they are parked. The input that they are to see has been put into
    /// the ring before.
    fn wake(&self) {
        // Pairs with the fence in `Ring::wait`: either this sees the flag, or the decisions see
        // the input.
        fence(Ordering::SeqCst);
        if self.parked.load(Ordering::Relaxed)
            && self.parked.swap(false, Ordering::Relaxed)
            && let Some(thread) = self.consumer.get()
        {
            thread.unpark();
        }
    }
}

/// The producers' end for one of them. When its share is full, inputs are refused.
#[derive(Debug, Clone)]
pub(crate) struct Port {
    source: Source,
    sender: Sender<(Source, Turn)>,
    shared: Arc<Shared>,
}

impl Port {
    /// Puts `turn` into the ring.
    pub(crate) fn offer(&self, turn: Turn) -> Result<(), Refused> {
        let waiting = &self.shared.waiting[self.source as usize];
        if waiting.inc() >= self.source.bound() {
            waiting.dec();
            return Err(Refused::Full);
        }
        // The ring has room for all shares together, so it can only be closed.
        if self.sender.try_send((self.source, turn)).is_err() {
            waiting.dec();
            return Err(Refused::Ended);
        }
        self.shared.wake();
        Ok(())
    }

    /// Whether the producer's share has room.
    pub(crate) fn has_room(&self) -> bool {
        self.shared.waiting[self.source as usize].get() < self.source.bound()
    }

    /// Puts an input into the ring that nobody waits for.
    pub(crate) fn offer_input(&self, input: Input) -> Result<(), Refused> {
        self.offer(Turn::Input(input))
    }
}

/// The decisions' end.
#[derive(Debug)]
pub(crate) struct Ring {
    receiver: Receiver<(Source, Turn)>,
    sender: Sender<(Source, Turn)>,
    shared: Arc<Shared>,
}

impl Ring {
    /// Opens the ring; its lengths are registered as metrics.
    pub(crate) fn open(registry: &mut Registry) -> Self {
        let lengths = Family::<[(&str, &str); 1], Gauge>::default();
        let of = |source: Source| lengths.get_or_create_owned(&[("source", source.name())]);
        let shared = Arc::new(Shared {
            waiting: Source::ALL.map(of),
            consumer: OnceLock::new(),
            parked: AtomicBool::new(false),
        });
        registry.register(
            "ring_length",
            "Inputs that wait for the decisions, by producer",
            lengths,
        );
        let bound: i64 = Source::ALL.iter().map(|source| source.bound()).sum();
        let (sender, receiver) = bounded(usize::try_from(bound).unwrap_or(usize::MAX));
        Self {
            receiver,
            sender,
            shared,
        }
    }

    /// An end for a producer.
    pub(crate) fn port(&self, source: Source) -> Port {
        Port {
            source,
            sender: self.sender.clone(),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Waits for an input for at most `limit`. Always called by the same thread.
    ///
    /// The thread parks at once: the channel's own wait spins and yields first, which costs more
    /// processor time than the wake-up when inputs come one by one.
    pub(crate) fn wait(&self, limit: Duration) -> Option<Turn> {
        if let Some(turn) = self.next() {
            return Some(turn);
        }
        self.shared.consumer.get_or_init(thread::current);
        self.shared.parked.store(true, Ordering::Relaxed);
        // Pairs with the fence in `Shared::wake`.
        fence(Ordering::SeqCst);
        let first = self.next();
        if first.is_none() {
            thread::park_timeout(limit);
        }
        self.shared.parked.store(false, Ordering::Relaxed);
        first.or_else(|| self.next())
    }

    /// Takes an input that waits already.
    pub(crate) fn next(&self) -> Option<Turn> {
        match self.receiver.try_recv() {
            Ok(taken) => Some(self.taken(taken)),
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
        }
    }

    fn taken(&self, (source, turn): (Source, Turn)) -> Turn {
        self.shared.waiting[source as usize].dec();
        turn
    }
}
