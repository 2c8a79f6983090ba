//! Inputs of a process's decisions.

use std::collections::VecDeque;

use knapweedwall_runtime::links::{LinkEvent, Sink};
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Inputs that may wait. The links stop reading when there is no room; other ports wait or drop.
const INBOX_SIZE: usize = 8_192;

/// Room that is kept for inputs other than those from the links.
const KEPT_FOR_PORTS: usize = 2_048;

/// Sending side of the inputs of a process.
#[derive(Debug)]
pub struct Inbox<I>(Sender<I>);

impl<I> Clone for Inbox<I> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<I> Inbox<I> {
    /// Adds an input; false when there is no room or the process ends.
    #[must_use]
    pub fn offer(&self, input: I) -> bool {
        self.0.try_send(input).is_ok()
    }

    /// Adds an input as soon as there is room.
    pub async fn send(&self, input: I) {
        // Nobody needs the input when the process has ended.
        let _sent = self.0.send(input).await;
    }

    /// Adds an input from a thread without a runtime, as soon as there is room.
    pub fn send_blocking(&self, input: I) {
        // Nobody needs the input when the process has ended.
        let _sent = self.0.blocking_send(input);
    }
}

/// Inputs of a process: the sending and the receiving side.
#[must_use]
pub fn inbox<I>() -> (Inbox<I>, Receiver<I>) {
    let (sender, receiver) = channel(INBOX_SIZE);
    (Inbox(sender), receiver)
}

/// Passes what happens on the links to the decisions.
#[derive(Debug)]
pub struct LinkInbox<I> {
    inbox: Inbox<I>,
    convert: fn(LinkEvent) -> I,
}

impl<I> LinkInbox<I> {
    /// Passes events on to `inbox` as inputs.
    #[must_use]
    pub fn new(inbox: Inbox<I>, convert: fn(LinkEvent) -> I) -> Self {
        Self { inbox, convert }
    }
}

impl<I: Send> Sink for LinkInbox<I> {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        while self.inbox.0.capacity() > KEPT_FOR_PORTS || self.inbox.0.is_closed() {
            let Some(event) = events.pop_front() else {
                return;
            };
            if !self.inbox.offer((self.convert)(event)) && !self.inbox.0.is_closed() {
                return;
            }
        }
    }
}
