//! The thread `decide`: feeds inputs to the decisions and hands on their actions.

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
use crate::ring::{Answer, Ring, Turn};

/// Longest wait for an input before [`Input::Tick`].
const TICK: Duration = Duration::from_millis(10);

/// Inputs of one turn. Actions are handed on at its end, so frames for one link go out together;
/// a larger turn would delay the first answer.
const TURN_INPUTS: usize = 512;

/// Where actions go.
#[derive(Debug)]
pub(crate) struct Outlets {
    pub(crate) links: LinksHandle,
    pub(crate) store: mpsc::Sender<(StoreOpId, Request)>,
    pub(crate) ready: Readiness,
    pub(crate) log: Logger,
}

/// The decisions with their callers and outlets.
pub(crate) struct Decider {
    decisions: Box<dyn StateMachine>,
    ring: Ring,
    outlets: Outlets,
    start: Instant,
    calls: HashMap<CallKey, oneshot::Sender<Answer>>,
    frames: Vec<(LinkKey, Body)>,
    /// Store operations that found no room, to be answered in the next turn.
    declined: Vec<StoreOpId>,
    ended: bool,
}

impl Decider {
    pub(crate) fn new(decisions: Box<dyn StateMachine>, ring: Ring, outlets: Outlets) -> Self {
        Self {
            decisions,
            ring,
            outlets,
            start: Instant::now(),
            calls: HashMap::new(),
            frames: Vec::new(),
            declined: Vec::new(),
            ended: false,
        }
    }

    /// Runs until the decisions say [`Action::Exit`].
    pub(crate) fn run(mut self) {
        let mut actions = Vec::new();
        while !self.ended {
            let limit = if self.declined.is_empty() {
                TICK
            } else {
                Duration::ZERO
            };
            let first = self.ring.wait(limit);
            let now = self.now();
            self.turn(now, first, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            if !self.frames.is_empty() {
                self.outlets.links.send_all(self.frames.drain(..));
            }
        }
        self.outlets.ready.set(false);
    }

    fn turn(&mut self, now: Now, first: Option<Turn>, actions: &mut Vec<Action>) {
        for key in self.declined.drain(..) {
            let failure = Failure::NotApplied("too many store operations wait".into());
            let input = Input::Store(key, Err(failure));
            self.decisions.step(now, input, actions);
        }
        match first {
            Some(turn) => self.step(now, turn, actions),
            None => self.decisions.step(now, Input::Tick, actions),
        }
        for _ in 1..TURN_INPUTS {
            let Some(turn) = self.ring.next() else { break };
            self.step(now, turn, actions);
        }
        self.decisions.flush(now, actions);
    }

    fn step(&mut self, now: Now, turn: Turn, actions: &mut Vec<Action>) {
        let input = match turn {
            Turn::Input(input) => input,
            Turn::Call(key, input, caller) => {
                self.calls.insert(key, caller);
                input
            }
        };
        if let Input::CallGone(key) = &input {
            self.calls.remove(key);
        }
        self.decisions.step(now, input, actions);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Reply(call, status, body) => {
                if let Some(caller) = self.calls.remove(&call) {
                    // A caller that has gone since does not take its answer.
                    let _taken = caller.send(Answer { status, body });
                }
            }
            Action::Send(link, body) => self.frames.push((link, body)),
            Action::Close(link, code) => {
                self.outlets.links.send_all(self.frames.drain(..));
                self.outlets.links.close(link, code);
            }
            Action::Connect(address) => self.outlets.links.connect(address),
            Action::Store(key, request) => {
                if self.outlets.store.try_send((key, request)).is_err() {
                    log::event(&self.outlets.log, &events::store_queue_full());
                    self.declined.push(key);
                }
            }
            Action::Log(event) => log::event(&self.outlets.log, &event),
            Action::Ready(ready) => self.outlets.ready.set(ready),
            Action::Exit => self.ended = true,
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
