//! Forwards link events from the `link` thread to the input queue.

use std::collections::VecDeque;

use knapweedwall_core::agent::Input;
use knapweedwall_runtime::links::{LinkEvent, Sink};

use crate::InputSender;

/// Queue length from which link events are held back. Of the queue's capacity of 4,096 inputs, the
/// rest is reserved for the endpoint thread, which sends at most one end for each of up to 1,024
/// slots.
const MAX_QUEUED_INPUTS: usize = 3072;

/// Sends link events to the event loop. While [`MAX_QUEUED_INPUTS`] inputs are queued, it accepts
/// no events, and the links are not read.
#[derive(Debug)]
pub(crate) struct LinkSink(pub(crate) InputSender);

impl Sink for LinkSink {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        while self.0.queued() < MAX_QUEUED_INPUTS {
            let Some(event) = events.pop_front() else {
                return;
            };
            // This fails only after the event loop has exited, when the process is about to exit.
            let _closed = self.0.send(input_from_link_event(event));
        }
    }
}

fn input_from_link_event(event: LinkEvent) -> Input {
    match event {
        LinkEvent::Up {
            link,
            peer,
            entries,
        } => Input::LinkUp {
            link,
            peer,
            entry_processes: entries,
        },
        LinkEvent::Down(link) => Input::LinkDown(link),
        LinkEvent::Frame(link, body) => Input::Frame(link, body),
        LinkEvent::Refused(_) => Input::Tick,
    }
}
