//! Queue of the inputs of the event loop.

use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, TryIter, bounded};
use knapweedwall_core::agent::Input;
use snafu::Snafu;

/// Capacity of the queue, in inputs. While the queue is full, links are not read and the endpoint
/// thread blocks.
const QUEUE_CAPACITY: usize = 4096;

/// The event loop has exited and receives no more inputs.
#[derive(Debug, Snafu)]
#[snafu(display("the event loop has exited"))]
pub struct QueueClosed;

/// Sending half of the input queue.
#[derive(Debug, Clone)]
pub struct InputSender {
    queue: Sender<Input>,
    receiver_thread: Arc<OnceLock<Thread>>,
}

/// Receiving half of the input queue, owned by the event loop.
///
/// The receiving thread parks instead of blocking in the channel, which spins and yields before it
/// sleeps. That took 5% of the agent's CPU time when tasks ran one at a time.
#[derive(Debug)]
pub(crate) struct InputReceiver {
    queue: Receiver<Input>,
    receiver_thread: Arc<OnceLock<Thread>>,
}

/// Creates an input queue.
pub(crate) fn input_queue() -> (InputSender, InputReceiver) {
    let (sender, receiver) = bounded(QUEUE_CAPACITY);
    let receiver_thread = Arc::new(OnceLock::new());
    let sender = InputSender {
        queue: sender,
        receiver_thread: Arc::clone(&receiver_thread),
    };
    let receiver = InputReceiver {
        queue: receiver,
        receiver_thread,
    };
    (sender, receiver)
}

impl InputSender {
    /// Sends an input; blocks while the queue is full.
    ///
    /// # Errors
    /// [`QueueClosed`] when the event loop has exited.
    pub fn send(&self, input: Input) -> Result<(), QueueClosed> {
        self.queue.send(input).or(QueueClosedSnafu.fail())?;
        if let Some(thread) = self.receiver_thread.get() {
            thread.unpark();
        }
        Ok(())
    }

    /// Number of inputs in the queue.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }
}

impl InputReceiver {
    /// Registers the current thread as the one that [`InputSender::send`] wakes.
    pub(crate) fn register_current_thread(&self) {
        // A queue has a single receiving thread, so this is set only once.
        let _set = self.receiver_thread.set(thread::current());
    }

    /// Blocks until the queue is not empty or `deadline` has passed.
    pub(crate) fn wait_until(&self, deadline: Instant) {
        while self.queue.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining == Duration::ZERO {
                return;
            }
            thread::park_timeout(remaining);
        }
    }

    /// Removes the queued inputs one by one, without blocking.
    pub(crate) fn try_iter(&self) -> TryIter<'_, Input> {
        self.queue.try_iter()
    }
}
