//! Planned stop of the agent.

use std::time::Duration;

use knapweedwall_wire::{Leaving, frame::Body};

use super::event::{WithField, info, warning};
use super::io::Action;
use super::state_machine::Agent;

impl Agent {
    /// Begins a planned stop: announces it on all links and voids all credits.
    pub(super) fn begin_shutdown(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        let event = info(211, "stopping: no new tasks are accepted");
        let event = event.with("running", self.runs.len());
        out.push(Action::Log(event.with("unsettled", self.ledger.len())));
        for link in self.links.keys() {
            self.credits.remove_link(link);
            out.push(Action::Send(link, Body::Leaving(Leaving {})));
        }
    }

    /// Lets the process exit once all runs have ended and all tasks are settled, or when the stop
    /// limit has passed.
    pub(super) fn exit_when_drained(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if self.exited {
            return;
        }
        let drained = self.runs.is_empty() && self.ledger.len() == 0;
        if !drained && now.saturating_sub(since) < self.settings.stop_limit {
            return;
        }
        self.exited = true;
        let event = if drained {
            info(212, "stopped: all tasks are settled")
        } else {
            warning(213, "stopped with unsettled tasks: stop limit exceeded")
        };
        let event = event.with("running", self.runs.len());
        out.push(Action::Log(event.with("unsettled", self.ledger.len())));
        out.push(Action::Exit);
    }
}
