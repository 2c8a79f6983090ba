//! The event loop of an agent.

use std::time::Duration;

use knapweedwall_core::executor::{Action, CallKey, Heartbeat, Input, Machine, StartRequest};
use knapweedwall_core::job::RunId;
use knapweedwall_runtime::links::{LinkEvent, LinksHandle};
use knapweedwall_runtime::log;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

use crate::Clock;

/// Longest time between two iterations while a run is open.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time between two iterations while no run is open. Heartbeats to entry processes
/// are sent in these iterations.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(125);

/// Interface of an agent to the worker on its host.
///
/// For each call to the worker, the implementation enqueues one input with the outcome. It may drop
/// the input when the input queue is full.
pub trait WorkerAdapter {
    /// Sets the address of the worker and the instance that subsequent calls expect to find there.
    /// An empty `instance` matches any instance.
    fn set_worker(&self, address: SmolStr, instance: SmolStr);

    /// Starts a task. `lease_deadline_ms` is the end of the lease on the worker's clock, in
    /// milliseconds.
    fn start(&self, call: CallKey, request: StartRequest, lease_deadline_ms: u64, fence: u64);

    /// Stops a run, or prevents its start if the worker has not started it yet.
    fn stop(&self, call: CallKey, run: RunId, fence: u64);

    /// Renews the lease and requests the lists of running and finished tasks.
    fn renew_lease(&self, call: CallKey, request: RenewalRequest);
}

/// Keeps the description of the worker for the next run of the agent. When the process starts, the
/// implementation enqueues the description that an earlier run has stored, if any.
pub trait RegistrationAdapter {
    /// Stores the description in place of the earlier one, or withdraws it if it is `None`.
    fn store_registration(&self, registration: Option<&Heartbeat>);
}

/// Parameters of a call that renews the lease of a worker's runs.
#[derive(Debug, Clone, Copy)]
pub struct RenewalRequest {
    /// End of the lease on the worker's clock, in milliseconds. `None` does not extend
    /// the lease.
    pub lease_deadline_ms: Option<u64>,
    /// Fencing token of the call.
    pub fence: u64,
    /// Acknowledges the finished runs with numbers up to and including this one.
    pub acknowledged: u64,
    /// Longest time that the worker may wait for a run to end before it responds, in milliseconds.
    pub wait_ms: u64,
}

/// The event loop of an agent.
pub struct AgentLoop {
    /// State machine that decides on the actions.
    pub machine: Machine,
    /// Clock that timestamps the inputs.
    pub clock: Clock,
    /// Receiving half of the input queue.
    pub inputs: Receiver<Input>,
    /// Links to entry processes.
    pub links: LinksHandle,
    /// Worker on the same host.
    pub worker: Box<dyn WorkerAdapter>,
    /// Keeps the description of the worker.
    pub registrations: Box<dyn RegistrationAdapter>,
    /// Logger for events of the state machine.
    pub log: Logger,
}

impl std::fmt::Debug for AgentLoop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentLoop").finish_non_exhaustive()
    }
}

impl AgentLoop {
    /// Executes `initial_actions`, then runs until the state machine requests an exit or all
    /// senders of inputs are gone.
    pub async fn run(mut self, initial_actions: Vec<Action>) {
        let mut actions = initial_actions;
        self.execute(&mut actions);
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

    /// Converts a link event to an input of the state machine.
    #[must_use]
    pub fn input_from_link_event(event: LinkEvent) -> Input {
        match event {
            LinkEvent::Up {
                link,
                peer,
                entries,
            } => Input::LinkUp {
                link,
                peer,
                entries,
            },
            LinkEvent::Down(link) => Input::LinkDown(link),
            LinkEvent::Frame(link, body) => Input::Frame(link, body),
            // Runs of an entry process that has ended are stopped after its silence.
            LinkEvent::Refused(_) => Input::Tick,
        }
    }

    /// Executes and drains `actions`. Returns `true` when one of them ends the process.
    fn execute(&self, actions: &mut Vec<Action>) -> bool {
        let mut frames = Vec::new();
        let mut exit = false;
        for action in actions.drain(..) {
            match action {
                Action::Send(link, body) => frames.push((link, body)),
                Action::Close(link, code) => self.links.close(link, code),
                Action::Connect(address) => self.links.connect(address),
                Action::UseWorker { address, instance } => {
                    self.worker.set_worker(address, instance);
                }
                Action::StartRun {
                    call,
                    request,
                    lease_deadline_ms,
                    fence,
                } => self.worker.start(call, request, lease_deadline_ms, fence),
                Action::StopRun { call, run, fence } => self.worker.stop(call, run, fence),
                Action::RenewLease {
                    call,
                    lease_deadline_ms,
                    fence,
                    acknowledged,
                    wait_ms,
                } => {
                    let request = RenewalRequest {
                        lease_deadline_ms,
                        fence,
                        acknowledged,
                        wait_ms,
                    };
                    self.worker.renew_lease(call, request);
                }
                Action::StoreRegistration(registration) => {
                    self.registrations.store_registration(registration.as_ref());
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
