//! Bounded queue of inputs for the state machine of a process.

use std::collections::VecDeque;

use knapweedwall_runtime::links::{LinkEvent, Sink};
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Capacity of the queue, in inputs. When the queue is full, producers either wait or drop their
/// input.
const QUEUE_CAPACITY: usize = 8_192;

/// Part of the capacity, in inputs, that is reserved for producers other than the links. When no
/// more than this is free, the links stop reading.
const RESERVED_CAPACITY: usize = 2_048;

/// Sending half of an input queue.
#[derive(Debug)]
pub struct InputSender<I>(Sender<I>);

impl<I> Clone for InputSender<I> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<I> InputSender<I> {
    /// Enqueues an input without waiting. Returns `false` when the queue is full or closed.
    #[must_use]
    pub fn try_send(&self, input: I) -> bool {
        self.0.try_send(input).is_ok()
    }

    /// Enqueues an input, waiting for capacity. Drops the input when the queue is closed.
    pub async fn send(&self, input: I) {
        // The queue is closed only after the event loop has ended.
        let _sent = self.0.send(input).await;
    }

    /// Like [`send`](Self::send), for threads outside the async runtime.
    pub fn send_blocking(&self, input: I) {
        // The queue is closed only after the event loop has ended.
        let _sent = self.0.blocking_send(input);
    }
}

/// Creates an input queue and returns its sending and receiving halves.
#[must_use]
pub fn input_queue<I>() -> (InputSender<I>, Receiver<I>) {
    let (sender, receiver) = channel(QUEUE_CAPACITY);
    (InputSender(sender), receiver)
}

/// Converts link events to inputs and enqueues them.
#[derive(Debug)]
pub struct LinkEventSink<I> {
    input_sender: InputSender<I>,
    convert: fn(LinkEvent) -> I,
}

impl<I> LinkEventSink<I> {
    /// Creates a sink that enqueues the result of `convert` for each event.
    #[must_use]
    pub fn new(input_sender: InputSender<I>, convert: fn(LinkEvent) -> I) -> Self {
        Self {
            input_sender,
            convert,
        }
    }
}

impl<I: Send> Sink for LinkEventSink<I> {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        while self.input_sender.0.capacity() > RESERVED_CAPACITY || self.input_sender.0.is_closed()
        {
            let Some(event) = events.pop_front() else {
                return;
            };
            if !self.input_sender.try_send((self.convert)(event))
                && !self.input_sender.0.is_closed()
            {
                return;
            }
        }
    }
}
