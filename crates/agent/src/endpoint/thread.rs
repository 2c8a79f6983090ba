//! The `endpoint` thread.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use knapweedwall_core::agent::{Input, RunEnd, RunKey, RunTask};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::client::EndpointClient;
use super::reachability::ReachabilityMonitor;
use crate::InputSender;

/// Capacity of the command queue, which holds at most two commands for each slot.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// Maximum number of commands received from the queue at once.
const MAX_COMMANDS_PER_BATCH: usize = 256;

/// A command from the event loop.
#[derive(Debug)]
pub enum Command {
    /// Starts a run of a task.
    Run(RunKey, RunTask),
    /// Aborts a run.
    Abort(RunKey),
}

/// Starts and aborts runs, and reports their ends to the event loop.
#[derive(Debug)]
struct Executor {
    client: Arc<dyn EndpointClient>,
    inputs: InputSender,
    reachability: ReachabilityMonitor,
    /// Active runs. Only the caller that removes a run reports its end, so that each run has
    /// exactly one report.
    runs: Mutex<HashMap<RunKey, AbortHandle>>,
}

/// Handle of the endpoint thread. The thread exits when the handle is shut down or dropped; active
/// runs are aborted without a report.
#[derive(Debug)]
pub struct EndpointThread {
    commands: mpsc::Sender<Command>,
    thread: JoinHandle<()>,
}

impl EndpointThread {
    /// Starts the thread. Ends of runs and changes of reachability are sent to `inputs`; the thread
    /// blocks while that queue is full.
    ///
    /// # Errors
    /// The system cannot create the thread or its event queue.
    pub fn spawn(client: Arc<dyn EndpointClient>, inputs: InputSender) -> std::io::Result<Self> {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name("endpoint".into())
            .spawn(move || runtime.block_on(process_commands(client, inputs, receiver)))?;
        Ok(Self { commands, thread })
    }

    /// Sends a command to the thread without blocking.
    ///
    /// # Errors
    /// Returns the command when the queue is full or the thread has exited.
    pub fn try_send(&self, command: Command) -> Result<(), Command> {
        self.commands.try_send(command).map_err(|e| e.into_inner())
    }

    /// Stops the thread and waits for its exit.
    pub fn shutdown(self) {
        drop(self.commands);
        // The panic hook has already printed a panic of the thread.
        let _result = self.thread.join();
    }
}

/// Executes commands until the queue is closed.
async fn process_commands(
    client: Arc<dyn EndpointClient>,
    inputs: InputSender,
    mut commands: mpsc::Receiver<Command>,
) {
    let executor = Arc::new(Executor {
        client,
        reachability: ReachabilityMonitor::new(inputs.clone()),
        inputs,
        runs: Mutex::default(),
    });
    let shared = Arc::clone(&executor);
    let monitor = tokio::spawn(async move {
        let is_busy = || !shared.runs().is_empty();
        shared.reachability.run(&*shared.client, is_busy).await;
    });
    let mut batch = Vec::with_capacity(MAX_COMMANDS_PER_BATCH);
    while commands.recv_many(&mut batch, MAX_COMMANDS_PER_BATCH).await > 0 {
        for command in batch.drain(..) {
            match command {
                Command::Run(key, task) => spawn_run(&executor, key, task),
                Command::Abort(key) => executor.abort(key),
            }
        }
    }
    monitor.abort();
}

fn spawn_run(executor: &Arc<Executor>, key: RunKey, task: RunTask) {
    let shared = Arc::clone(executor);
    let run = tokio::spawn(async move {
        let end = shared.client.run(task).await;
        shared.finish(key, end);
    });
    executor.runs().insert(key, run.abort_handle());
}

impl Executor {
    fn finish(&self, key: RunKey, end: RunEnd) {
        if matches!(end, RunEnd::NotStarted(_)) {
            self.reachability.connection_failed();
        }
        if self.runs().remove(&key).is_some() {
            self.report(key, end);
        }
    }

    fn abort(&self, key: RunKey) {
        let run = self.runs().remove(&key);
        if let Some(run) = run {
            run.abort();
            self.report(key, RunEnd::Aborted);
        }
    }

    fn report(&self, key: RunKey, end: RunEnd) {
        // This fails only after the event loop has exited, when the process is about to exit.
        let _closed = self.inputs.send(Input::RunEnded(key, end));
    }

    fn runs(&self) -> MutexGuard<'_, HashMap<RunKey, AbortHandle>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
