//! The ring into the decisions, and its shares for each producer.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TryRecvError, bounded};
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

#[derive(Debug)]
struct Shares([Gauge; 4]);

/// The producers' end for one of them. When its share is full, inputs are refused.
#[derive(Debug, Clone)]
pub(crate) struct Port {
    source: Source,
    sender: Sender<(Source, Turn)>,
    shares: Arc<Shares>,
}

impl Port {
    /// Puts `turn` into the ring.
    pub(crate) fn offer(&self, turn: Turn) -> Result<(), Refused> {
        let waiting = &self.shares.0[self.source as usize];
        if waiting.inc() >= self.source.bound() {
            waiting.dec();
            return Err(Refused::Full);
        }
        // The ring has room for all shares together, so it can only be closed.
        self.sender
            .try_send((self.source, turn))
            .map_err(|_closed| {
                waiting.dec();
                Refused::Ended
            })
    }

    /// Whether the producer's share has room.
    pub(crate) fn has_room(&self) -> bool {
        self.shares.0[self.source as usize].get() < self.source.bound()
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
    shares: Arc<Shares>,
}

impl Ring {
    /// Opens the ring; its lengths are registered as metrics.
    pub(crate) fn open(registry: &mut Registry) -> Self {
        let lengths = Family::<[(&str, &str); 1], Gauge>::default();
        let of = |source: Source| lengths.get_or_create_owned(&[("source", source.name())]);
        let shares = Arc::new(Shares(Source::ALL.map(of)));
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
            shares,
        }
    }

    /// An end for a producer.
    pub(crate) fn port(&self, source: Source) -> Port {
        Port {
            source,
            sender: self.sender.clone(),
            shares: Arc::clone(&self.shares),
        }
    }

    /// Waits for an input for at most `limit`.
    pub(crate) fn wait(&self, limit: Duration) -> Option<Turn> {
        match self.receiver.recv_timeout(limit) {
            Ok(taken) => Some(self.taken(taken)),
            // The ring itself holds a sender, so it is never closed here.
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => None,
        }
    }

    /// Takes an input that waits already.
    pub(crate) fn next(&self) -> Option<Turn> {
        match self.receiver.try_recv() {
            Ok(taken) => Some(self.taken(taken)),
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
        }
    }

    fn taken(&self, (source, turn): (Source, Turn)) -> Turn {
        self.shares.0[source as usize].dec();
        turn
    }
}
