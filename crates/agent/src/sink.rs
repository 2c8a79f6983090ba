//! Ring from the `link` thread to `decide`.

use std::collections::VecDeque;

use knapweedwall_core::agent::Input;
use knapweedwall_runtime::links::{LinkEvent, Sink};

use crate::Inputs;

/// Share of the links in the ring of 4,096. The rest is for the endpoint's thread, which has at most one end for each
/// of up to 1,024 slots under way.
const LINK_INPUTS: usize = 3072;

/// Hands what happens on the links to the decisions. While the share of the links is used up, the
/// links are not read.
#[derive(Debug)]
pub(crate) struct Ring(pub(crate) Inputs);

impl Sink for Ring {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        while self.0.waiting() < LINK_INPUTS {
            let Some(event) = events.pop_front() else {
                return;
            };
            // The decisions have ended when this fails, and the process is about to exit.
            let _gone = self.0.send(input(event));
        }
    }
}

fn input(event: LinkEvent) -> Input {
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
    }
}
