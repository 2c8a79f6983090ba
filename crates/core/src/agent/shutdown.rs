//! The planned stop.

use std::time::Duration;

use knapweedwall_wire::{Leaving, frame::Body};

use super::event::{WithField, info, warning};
use super::io::Action;
use super::state_machine::Agent;

impl Agent {
    /// Announces the stop on all links and takes back all credits.
    pub(super) fn begin_shutdown(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        let event = info(211, "leaving: no more starts are taken");
        let event = event.with("running", self.runs.len());
        out.push(Action::Log(event.with("unsettled", self.ledger.len())));
        for link in self.links.keys() {
            self.credits.remove_link(link);
            out.push(Action::Send(link, Body::Leaving(Leaving {})));
        }
    }

    /// Lets the process exit once everything is settled, or when the time for it is over.
    pub(super) fn exit_when_drained(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if self.exited {
            return;
        }
        let done = self.runs.is_empty() && self.ledger.len() == 0;
        if !done && now.saturating_sub(since) < self.settings.stop_limit {
            return;
        }
        self.exited = true;
        let event = if done {
            info(212, "left: everything is settled")
        } else {
            warning(213, "left with unsettled tasks: the stop limit is over")
        };
        let event = event.with("running", self.runs.len());
        out.push(Action::Log(event.with("unsettled", self.ledger.len())));
        out.push(Action::Exit);
    }
}
