//! The event loop of the agent, which runs on the `decide` thread.

use std::collections::VecDeque;
use std::ops::ControlFlow;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use knapweedwall_core::agent::{Action, Agent, Input};
use knapweedwall_core::{LinkKey, Now};
use knapweedwall_runtime::admin::Readiness;
use knapweedwall_runtime::links::LinksHandle;
use knapweedwall_wire::frame::Body;
use slog::Logger;

use crate::endpoint::{Command, EndpointThread};
use crate::input_queue::InputReceiver;

/// Time between ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of inputs processed in an iteration, so that a full queue does not delay the
/// reports that result from the first inputs.
const MAX_INPUTS_PER_ITERATION: usize = 512;

/// Feeds inputs to the state machine and executes the resulting actions.
#[derive(Debug)]
pub(crate) struct EventLoop {
    pub(crate) state_machine: Agent,
    pub(crate) inputs: InputReceiver,
    pub(crate) links: LinksHandle,
    pub(crate) endpoint: EndpointThread,
    pub(crate) readiness: Readiness,
    pub(crate) log: Logger,
}

impl EventLoop {
    /// Runs until the state machine requests an exit. Returns the handle of the endpoint thread.
    pub(crate) fn run(mut self) -> EndpointThread {
        let start = Instant::now();
        let mut next_tick = start;
        let mut actions = Vec::new();
        let mut frames = Vec::new();
        let mut pending_commands = VecDeque::new();
        self.inputs.register_current_thread();
        loop {
            self.inputs.wait_until(next_tick);
            let now = now_since(start);
            for input in self.inputs.try_iter().take(MAX_INPUTS_PER_ITERATION) {
                self.state_machine.step(now, input, &mut actions);
            }
            if start + now.mono >= next_tick {
                next_tick = start + now.mono + TICK_INTERVAL;
                self.state_machine.step(now, Input::Tick, &mut actions);
            }
            self.state_machine.end_turn(now, &mut actions);
            let flow = self.execute(&mut actions, &mut frames, &mut pending_commands);
            if flow.is_break() {
                return self.endpoint;
            }
        }
    }

    /// Executes and drains `actions`. Returns `Break` when one of them requests the exit.
    fn execute(
        &self,
        actions: &mut Vec<Action>,
        frames: &mut Vec<(LinkKey, Body)>,
        pending_commands: &mut VecDeque<Command>,
    ) -> ControlFlow<()> {
        let mut flow = ControlFlow::Continue(());
        for action in actions.drain(..) {
            match action {
                Action::Send(link, body) => frames.push((link, body)),
                Action::Close(link, code) => {
                    self.links.send_all(frames.drain(..));
                    self.links.close(link, code);
                }
                Action::Connect(address) => self.links.connect(address),
                Action::Run(run, task) => pending_commands.push_back(Command::Run(run, task)),
                Action::Abort(run) => pending_commands.push_back(Command::Abort(run)),
                Action::Log(event) => knapweedwall_runtime::log::event(&self.log, &event),
                Action::Ready(ready) => self.readiness.set(ready),
                Action::Exit => flow = ControlFlow::Break(()),
            }
        }
        if !frames.is_empty() {
            self.links.send_all(frames.drain(..));
        }
        self.flush_commands(pending_commands);
        flow
    }

    /// Sends commands to the endpoint thread in order. Commands that do not fit into its queue are
    /// kept for the next iteration; these are at most two for each slot.
    fn flush_commands(&self, pending: &mut VecDeque<Command>) {
        while let Some(command) = pending.pop_front() {
            if let Err(command) = self.endpoint.try_send(command) {
                pending.push_front(command);
                return;
            }
        }
    }
}

/// Current time; the monotonic part counts from `start`.
fn now_since(start: Instant) -> Now {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_ms = wall.map_or(0, |wall| wall.as_millis());
    Now {
        mono: start.elapsed(),
        wall_ms: u64::try_from(wall_ms).unwrap_or(u64::MAX),
    }
}
