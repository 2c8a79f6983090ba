//! The event loop of an agent.

use std::time::Duration;

use knapweedwall_core::executor::{Action, CallKey, Input, Machine, Order};
use knapweedwall_core::job::RunId;
use knapweedwall_runtime::links::{LinkEvent, LinksHandle};
use knapweedwall_runtime::log;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

use crate::Clock;

/// Longest time without a turn while a run is open.
const BUSY_TICK: Duration = Duration::from_millis(20);

/// Longest time without a turn otherwise; the signs of life are sent with it.
const IDLE_TICK: Duration = Duration::from_millis(125);

/// The worker beside an agent. Each call is followed by one input with its outcome.
pub trait WorkerPort {
    /// Calls go to this address from now on, meant for this lifetime (any when empty).
    fn use_worker(&self, address: SmolStr, instance: SmolStr);

    /// Starts a task.
    fn start(&self, call: CallKey, order: Order, lease_ms: u64, fence: u64);

    /// Stops a run, or bars its start.
    fn stop(&self, call: CallKey, run: RunId, fence: u64);

    /// Extends the lease and asks for the lists.
    fn hold(&self, call: CallKey, hold: Hold);
}

/// A hold.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    /// End of the lease on the worker's clock.
    pub lease_ms: Option<u64>,
    /// Fence of the call.
    pub fence: u64,
    /// Ends up to this number are acknowledged.
    pub acknowledged: u64,
    /// Longest time until the answer, in milliseconds.
    pub wait_ms: u64,
}

/// The event loop of an agent.
pub struct AgentLoop {
    /// Decisions.
    pub machine: Machine,
    /// Clock of the process.
    pub clock: Clock,
    /// Inputs.
    pub inputs: Receiver<Input>,
    /// Connections to entry processes.
    pub links: LinksHandle,
    /// The worker.
    pub worker: Box<dyn WorkerPort>,
    /// Log.
    pub log: Logger,
}

impl std::fmt::Debug for AgentLoop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentLoop").finish_non_exhaustive()
    }
}

impl AgentLoop {
    /// Runs until the decisions end the process. `first` are the actions of the start.
    pub async fn run(mut self, first: Vec<Action>) {
        let mut actions = first;
        self.carry_out(&mut actions);
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

    /// The input of what happens on a link.
    #[must_use]
    pub fn link_input(event: LinkEvent) -> Input {
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
        }
    }

    /// Carries out actions; true when the process is to exit.
    fn carry_out(&self, actions: &mut Vec<Action>) -> bool {
        let mut frames = Vec::new();
        let mut exit = false;
        for action in actions.drain(..) {
            match action {
                Action::Send(link, body) => frames.push((link, body)),
                Action::Close(link, code) => self.links.close(link, code),
                Action::Connect(address) => self.links.connect(address),
                Action::UseWorker { address, instance } => {
                    self.worker.use_worker(address, instance);
                }
                Action::StartRun {
                    call,
                    order,
                    lease_ms,
                    fence,
                } => self.worker.start(call, order, lease_ms, fence),
                Action::StopRun { call, run, fence } => self.worker.stop(call, run, fence),
                Action::Hold {
                    call,
                    lease_ms,
                    fence,
                    acknowledged,
                    wait_ms,
                } => {
                    let hold = Hold {
                        lease_ms,
                        fence,
                        acknowledged,
                        wait_ms,
                    };
                    self.worker.hold(call, hold);
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
