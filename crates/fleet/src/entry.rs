//! The event loop of an entry process.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_core::scheduler::{Action, Answer, CallKey, Input, Machine, StoreCall, StoreKey};
use knapweedwall_runtime::admin::Readiness;
use knapweedwall_runtime::links::{LinkEvent, LinksHandle};
use knapweedwall_runtime::log;
use slog::Logger;
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

use crate::Clock;

/// Longest time without a turn while a job is open.
const BUSY_TICK: Duration = Duration::from_millis(15);

/// Longest time without a turn otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// The side of an entry process that callers and the configuration come from.
pub trait EntryPort {
    /// Answers a request.
    fn reply(&self, call: CallKey, answer: Answer);

    /// Calls the store; one input with the outcome follows.
    fn store(&self, key: StoreKey, call: StoreCall);

    /// Takes a configuration document that another entry process has sent.
    fn document(&self, document: Bytes);

    /// The process was asked to stop: callers are advised to connect elsewhere.
    fn stopping(&self);
}

/// The event loop of an entry process.
pub struct EntryLoop {
    /// Decisions.
    pub machine: Machine,
    /// Clock of the process.
    pub clock: Clock,
    /// Inputs.
    pub inputs: Receiver<Input>,
    /// Connections to other processes.
    pub links: LinksHandle,
    /// Callers and the configuration.
    pub port: Box<dyn EntryPort>,
    /// Whether the process takes submissions.
    pub ready: Readiness,
    /// Log.
    pub log: Logger,
}

impl std::fmt::Debug for EntryLoop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryLoop").finish_non_exhaustive()
    }
}

impl EntryLoop {
    /// Runs until the decisions end the process.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        loop {
            let tick = if self.machine.is_busy() {
                BUSY_TICK
            } else {
                IDLE_TICK
            };
            let first = timeout(tick, self.inputs.recv()).await;
            let now = self.clock.now();
            match first {
                Ok(None) => return,
                Ok(Some(input)) => self.machine.step(now, input, &mut actions),
                Err(_elapsed) => self.machine.step(now, Input::Tick, &mut actions),
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.machine.step(now, input, &mut actions);
            }
            self.machine.flush(now, &mut actions);
            if self.carry_out(&mut actions) {
                return;
            }
        }
    }

    /// Carries out actions; true when the process is to exit.
    fn carry_out(&self, actions: &mut Vec<Action>) -> bool {
        let mut frames = Vec::new();
        let mut exit = false;
        for action in actions.drain(..) {
            match action {
                Action::Reply(call, answer) => self.port.reply(call, answer),
                Action::Send(link, body) => frames.push((link, body)),
                Action::Close(link, code) => self.links.close(link, code),
                Action::Connect(address) => self.links.connect(address),
                Action::ConfigDocument(document) => self.port.document(document),
                Action::Store(key, call) => self.port.store(key, call),
                Action::Ready(ready) => {
                    self.ready.set(ready);
                    if !ready {
                        self.port.stopping();
                    }
                }
                Action::Log(event) => log::event(&self.log, &event),
                Action::Exit => exit = true,
            }
        }
        if !frames.is_empty() {
            self.links.send_all(frames);
        }
        exit
    }
}

impl EntryLoop {
    /// The input of what happens on a link.
    #[must_use]
    pub fn link_input(event: LinkEvent) -> Input {
        match event {
            LinkEvent::Up { link, peer, .. } => Input::LinkUp { link, peer },
            LinkEvent::Down(link) => Input::LinkDown(link),
            LinkEvent::Frame(link, body) => Input::Frame(link, body),
        }
    }
}
