//! The `decide` thread.

use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use knapweedwall_core::agent::{Action, Agent, Input};
use knapweedwall_core::{LinkKey, Now};
use knapweedwall_runtime::admin::Readiness;
use knapweedwall_runtime::links::LinksHandle;
use knapweedwall_wire::frame::Body;
use slog::Logger;

use crate::endpoint::{Command, EndpointThread};
use crate::inputs::Inbox;

/// Time between ticks.
const TICK: Duration = Duration::from_millis(20);

/// Most inputs of one turn, so that a full ring does not hold back the reports of its first part.
const TURN_INPUTS: usize = 512;

/// Runs the decisions and carries out their actions.
#[derive(Debug)]
pub(crate) struct Decide {
    pub(crate) agent: Agent,
    pub(crate) inbox: Inbox,
    pub(crate) links: LinksHandle,
    pub(crate) endpoint: EndpointThread,
    pub(crate) ready: Readiness,
    pub(crate) log: Logger,
}

/// Whether to go on after a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Turn,
    Exit,
}

impl Decide {
    /// Runs until the decisions let the process exit. Returns the endpoint's thread.
    pub(crate) fn run(mut self) -> EndpointThread {
        let start = Instant::now();
        let mut tick = start;
        let mut actions = Vec::new();
        let mut frames = Vec::new();
        let mut unsent = VecDeque::new();
        self.inbox.attach();
        loop {
            self.inbox.wait(tick);
            let now = now(start);
            for input in self.inbox.take().take(TURN_INPUTS) {
                self.agent.step(now, input, &mut actions);
            }
            if start + now.mono >= tick {
                tick = start + now.mono + TICK;
                self.agent.step(now, Input::Tick, &mut actions);
            }
            self.agent.end_turn(now, &mut actions);
            if self.carry_out(&mut actions, &mut frames, &mut unsent) == Next::Exit {
                return self.endpoint;
            }
        }
    }

    fn carry_out(
        &self,
        actions: &mut Vec<Action>,
        frames: &mut Vec<(LinkKey, Body)>,
        unsent: &mut VecDeque<Command>,
    ) -> Next {
        let mut next = Next::Turn;
        for action in actions.drain(..) {
            match action {
                Action::Send(link, body) => frames.push((link, body)),
                Action::Close(link, code) => {
                    self.links.send_all(frames.drain(..));
                    self.links.close(link, code);
                }
                Action::Connect(address) => self.links.connect(address),
                Action::Run(run, task) => unsent.push_back(Command::Run(run, task)),
                Action::Abort(run) => unsent.push_back(Command::Abort(run)),
                Action::Log(event) => knapweedwall_runtime::log::event(&self.log, &event),
                Action::Ready(ready) => self.ready.set(ready),
                Action::Exit => next = Next::Exit,
            }
        }
        if !frames.is_empty() {
            self.links.send_all(frames.drain(..));
        }
        self.send_commands(unsent);
        next
    }

    /// Passes commands to the endpoint's thread in order. What finds no room stays for the next
    /// turn; that is at most two commands for each slot.
    fn send_commands(&self, unsent: &mut VecDeque<Command>) {
        while let Some(command) = unsent.pop_front() {
            if let Err(command) = self.endpoint.send(command) {
                unsent.push_front(command);
                return;
            }
        }
    }
}

fn now(start: Instant) -> Now {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_ms = wall.map_or(0, |wall| wall.as_millis());
    Now {
        mono: start.elapsed(),
        wall_ms: u64::try_from(wall_ms).unwrap_or(u64::MAX),
    }
}
