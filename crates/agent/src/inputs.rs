//! The ring into `decide`.

use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, TryIter, bounded};
use knapweedwall_core::agent::Input;
use snafu::Snafu;

/// Bound of the ring. While it is full, the links are not read and the endpoint's thread waits.
const RING_INPUTS: usize = 4096;

/// The decisions have ended.
#[derive(Debug, Snafu)]
#[snafu(display("the decisions have ended"))]
pub struct Ended;

/// Sends inputs to the decisions.
#[derive(Debug, Clone)]
pub struct Inputs {
    ring: Sender<Input>,
    reader: Arc<OnceLock<Thread>>,
}

/// Takes inputs; belongs to the thread `decide`.
///
/// The thread parks instead of blocking in the channel, which would spin and yield before it
/// sleeps: that was 5% of the agent's processor time with one task at a time.
#[derive(Debug)]
pub(crate) struct Inbox {
    ring: Receiver<Input>,
    reader: Arc<OnceLock<Thread>>,
}

/// Makes the ring.
pub(crate) fn open() -> (Inputs, Inbox) {
    let (sender, receiver) = bounded(RING_INPUTS);
    let reader = Arc::new(OnceLock::new());
    let inputs = Inputs {
        ring: sender,
        reader: Arc::clone(&reader),
    };
    let inbox = Inbox {
        ring: receiver,
        reader,
    };
    (inputs, inbox)
}

impl Inputs {
    /// Sends an input; waits while the ring is full.
    ///
    /// # Errors
    /// [`Ended`] when nobody takes inputs any more.
    pub fn send(&self, input: Input) -> Result<(), Ended> {
        self.ring.send(input).or(EndedSnafu.fail())?;
        if let Some(reader) = self.reader.get() {
            reader.unpark();
        }
        Ok(())
    }

    /// Inputs that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.ring.len()
    }
}

impl Inbox {
    /// Makes the present thread the one that is woken by inputs.
    pub(crate) fn attach(&self) {
        // Set once: a ring has one reader.
        let _set = self.reader.set(thread::current());
    }

    /// Waits until there are inputs or `until` has come.
    pub(crate) fn wait(&self, until: Instant) {
        while self.ring.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left == Duration::ZERO {
                return;
            }
            thread::park_timeout(left);
        }
    }

    /// Takes what is there.
    pub(crate) fn take(&self) -> TryIter<'_, Input> {
        self.ring.try_iter()
    }
}
