//! The event loop on the thread `decide`: passes inputs to the decisions and executes their
//! actions.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use knapweedwall_core::entry::{Action, CallKey, Input, StateMachine, StoreOpId};
use knapweedwall_core::store::{Failure, Request};
use knapweedwall_core::{LinkKey, Now};
use knapweedwall_runtime::admin::Readiness;
use knapweedwall_runtime::links::LinksHandle;
use knapweedwall_runtime::log;
use knapweedwall_wire::frame::Body;
use slog::Logger;
use tokio::sync::{mpsc, oneshot};

use crate::events;
use crate::input_queue::{CallResponse, InputQueue, QueuedInput};

/// Longest wait for an input before [`Input::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Inputs of one batch. Actions are executed at its end, so frames for one link go out together;
/// a larger batch would delay the first response.
const MAX_BATCH_INPUTS: usize = 512;

/// Destinations of the actions.
#[derive(Debug)]
pub(crate) struct Outputs {
    pub(crate) links: LinksHandle,
    pub(crate) store: mpsc::Sender<(StoreOpId, Request)>,
    pub(crate) ready: Readiness,
    pub(crate) log: Logger,
}

/// Connects the decisions to the input queue, the open calls and the outputs.
pub(crate) struct EventLoop {
    decisions: Box<dyn StateMachine>,
    inputs: InputQueue,
    outputs: Outputs,
    start: Instant,
    open_calls: HashMap<CallKey, oneshot::Sender<CallResponse>>,
    /// Frames to send at the end of the batch.
    frames: Vec<(LinkKey, Body)>,
    /// Store operations rejected by a full queue; they fail in the next batch.
    rejected_operations: Vec<StoreOpId>,
    exit: bool,
}

impl EventLoop {
    pub(crate) fn new(
        decisions: Box<dyn StateMachine>,
        inputs: InputQueue,
        outputs: Outputs,
    ) -> Self {
        Self {
            decisions,
            inputs,
            outputs,
            start: Instant::now(),
            open_calls: HashMap::new(),
            frames: Vec::new(),
            rejected_operations: Vec::new(),
            exit: false,
        }
    }

    /// Runs until [`Action::Exit`].
    pub(crate) fn run(mut self) {
        let mut actions = Vec::new();
        while !self.exit {
            let timeout = if self.rejected_operations.is_empty() {
                TICK_INTERVAL
            } else {
                Duration::ZERO
            };
            let first = self.inputs.wait(timeout);
            let now = self.now();
            self.process_batch(now, first, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            if !self.frames.is_empty() {
                self.outputs.links.send_all(self.frames.drain(..));
            }
        }
        self.outputs.ready.set(false);
    }

    fn process_batch(&mut self, now: Now, first: Option<QueuedInput>, actions: &mut Vec<Action>) {
        for key in self.rejected_operations.drain(..) {
            let failure = Failure::NotApplied("too many store operations wait".into());
            let input = Input::Store(key, Err(failure));
            self.decisions.step(now, input, actions);
        }
        match first {
            Some(queued) => self.step(now, queued, actions),
            None => self.decisions.step(now, Input::Tick, actions),
        }
        for _ in 1..MAX_BATCH_INPUTS {
            let Some(queued) = self.inputs.try_next() else {
                break;
            };
            self.step(now, queued, actions);
        }
        self.decisions.flush(now, actions);
    }

    fn step(&mut self, now: Now, queued: QueuedInput, actions: &mut Vec<Action>) {
        let input = match queued {
            QueuedInput::Event(input) => input,
            QueuedInput::Call(key, input, response) => {
                self.open_calls.insert(key, response);
                input
            }
        };
        if let Input::CallGone(key) = &input {
            self.open_calls.remove(key);
        }
        self.decisions.step(now, input, actions);
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Reply(call, status, body) => {
                if let Some(response) = self.open_calls.remove(&call) {
                    // Fails when the caller has disconnected in the meantime.
                    let _sent = response.send(CallResponse { status, body });
                }
            }
            Action::Send(link, body) => self.frames.push((link, body)),
            Action::Close(link, code) => {
                self.outputs.links.send_all(self.frames.drain(..));
                self.outputs.links.close(link, code);
            }
            Action::Connect(address) => self.outputs.links.connect(address),
            Action::Store(key, request) => {
                if self.outputs.store.try_send((key, request)).is_err() {
                    log::event(&self.outputs.log, &events::store_queue_full());
                    self.rejected_operations.push(key);
                }
            }
            Action::Log(event) => log::event(&self.outputs.log, &event),
            Action::Ready(ready) => self.outputs.ready.set(ready),
            Action::Exit => self.exit = true,
        }
    }

    fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = wall.map_or(0, |wall| wall.as_millis());
        Now {
            mono: self.start.elapsed(),
            wall_ms: u64::try_from(wall_ms).unwrap_or(u64::MAX),
        }
    }
}
