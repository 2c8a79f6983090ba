//! The event loop of an entry process.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_core::scheduler::{
    Action, Answer, BUSY_TICK_INTERVAL, CallKey, IDLE_TICK_INTERVAL, Input, Machine, StoreCall,
    StoreKey,
};
use knapweedwall_runtime::admin::Readiness;
use knapweedwall_runtime::links::{LinkEvent, LinksHandle};
use knapweedwall_runtime::log;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

use crate::Clock;

/// Connects the state machine of an entry process to its HTTP clients, its configuration and the
/// store.
pub trait EntryAdapter {
    /// Sends the response to a client's request.
    fn reply(&self, call: CallKey, answer: Answer);

    /// Starts a call to the store. The implementation enqueues exactly one input with the outcome.
    fn call_store(&self, key: StoreKey, call: StoreCall);

    /// Stores the limits of callers for later runs of entry processes. When the process starts, the
    /// implementation enqueues the limits that all entry processes have stored.
    fn store_caller_limits(&self, limits: &[(SmolStr, Duration)]);

    /// Handles a configuration document received from another entry process.
    fn receive_configuration(&self, document: Bytes);

    /// Starts advising clients to connect to another entry process, because this one is shutting
    /// down.
    fn begin_shutdown(&self);
}

/// The event loop of an entry process.
pub struct EntryLoop {
    /// State machine that decides on the actions.
    pub machine: Machine,
    /// Clock that timestamps the inputs.
    pub clock: Clock,
    /// Receiving half of the input queue.
    pub inputs: Receiver<Input>,
    /// Links to agents and other entry processes.
    pub links: LinksHandle,
    /// Sends answers to HTTP clients, executes store calls and receives configurations of other
    /// entry processes.
    pub adapter: Box<dyn EntryAdapter>,
    /// Readiness reported to the platform. After it turns `false` at the start of a shutdown, the
    /// process still accepts jobs for some time.
    pub ready: Readiness,
    /// Logger for events of the state machine.
    pub log: Logger,
}

impl std::fmt::Debug for EntryLoop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryLoop").finish_non_exhaustive()
    }
}

impl EntryLoop {
    /// Runs until the state machine requests an exit or all senders of inputs are gone.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        loop {
            let tick = if self.machine.is_busy() {
                BUSY_TICK_INTERVAL
            } else {
                IDLE_TICK_INTERVAL
            };
            let received = timeout(tick, self.inputs.recv()).await;
            let now = self.clock.now();
            match received {
                Ok(None) => return,
                Ok(Some(input)) => self.machine.step(now, input, &mut actions),
                Err(_elapsed) => self.machine.step(now, Input::Tick, &mut actions),
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.machine.step(now, input, &mut actions);
            }
            self.machine.flush(now, &mut actions);
            if self.execute(&mut actions) {
                return;
            }
        }
    }

    /// Executes and drains `actions`. Returns `true` when one of them ends the process.
    fn execute(&self, actions: &mut Vec<Action>) -> bool {
        let mut frames = Vec::new();
        let mut exit = false;
        for action in actions.drain(..) {
            match action {
                Action::Reply(call, answer) => self.adapter.reply(call, answer),
                Action::Send(link, body) => frames.push((link, body)),
                Action::Close(link, code) => self.links.close(link, code),
                Action::Connect(address) => self.links.connect(address),
                Action::ConfigDocument(document) => self.adapter.receive_configuration(document),
                Action::StoreCallerLimits(limits) => self.adapter.store_caller_limits(&limits),
                Action::Store(key, call) => self.adapter.call_store(key, call),
                Action::Ready(ready) => {
                    self.ready.set(ready);
                    if !ready {
                        self.adapter.begin_shutdown();
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
    /// Converts a link event to an input of the state machine.
    #[must_use]
    pub fn input_from_link_event(event: LinkEvent) -> Input {
        match event {
            LinkEvent::Up { link, peer, .. } => Input::LinkUp { link, peer },
            LinkEvent::Down(link) => Input::LinkDown(link),
            LinkEvent::Frame(link, body) => Input::Frame(link, body),
            LinkEvent::Refused(address) => Input::EntryRefused(address),
        }
    }
}
