//! The `endpoint` thread.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use knapweedwall_core::agent::{Input, RunEnd, RunKey, RunTask};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::port::Endpoint;
use super::probe::Reach;
use crate::Inputs;

/// Bound of the ring `decide -> endpoint`. It holds at most two commands for each slot.
const RING_COMMANDS: usize = 4096;

/// Commands that are taken from the ring at once.
const BATCH: usize = 256;

/// What the decisions ask of the endpoint.
#[derive(Debug)]
pub enum Command {
    /// Starts a task.
    Run(RunKey, RunTask),
    /// Aborts a run.
    Abort(RunKey),
}

/// Runs that have not ended.
#[derive(Debug)]
struct Running {
    endpoint: Arc<dyn Endpoint>,
    inputs: Inputs,
    reach: Reach,
    /// Whoever removes a run reports its end, so there is one report.
    runs: Mutex<HashMap<RunKey, AbortHandle>>,
}

/// Handle of the thread. The thread ends when the handle is closed; runs that are under way are
/// dropped then.
#[derive(Debug)]
pub struct EndpointThread {
    commands: mpsc::Sender<Command>,
    thread: JoinHandle<()>,
}

impl EndpointThread {
    /// Starts the thread. Ends of runs and changes of the endpoint go to `inputs`; while that ring
    /// is full the thread waits.
    ///
    /// # Errors
    /// The system gives no thread or no event queue.
    pub fn spawn(endpoint: Arc<dyn Endpoint>, inputs: Inputs) -> std::io::Result<Self> {
        let (commands, ring) = mpsc::channel(RING_COMMANDS);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name("endpoint".into())
            .spawn(move || runtime.block_on(serve(endpoint, inputs, ring)))?;
        Ok(Self { commands, thread })
    }

    /// Passes a command on; gives it back when the ring is full.
    ///
    /// # Errors
    /// The command, which has not been passed on.
    pub fn send(&self, command: Command) -> Result<(), Command> {
        self.commands.try_send(command).map_err(|e| e.into_inner())
    }

    /// Ends the thread.
    pub fn close(self) {
        drop(self.commands);
        // A panic of the thread has been printed by the thread itself.
        let _ended = self.thread.join();
    }
}

async fn serve(endpoint: Arc<dyn Endpoint>, inputs: Inputs, mut ring: mpsc::Receiver<Command>) {
    let running = Arc::new(Running {
        endpoint,
        reach: Reach::new(inputs.clone()),
        inputs,
        runs: Mutex::default(),
    });
    let watched = Arc::clone(&running);
    let watcher = tokio::spawn(async move {
        let busy = || !watched.lock().is_empty();
        watched.reach.watch(&*watched.endpoint, busy).await;
    });
    let mut batch = Vec::with_capacity(BATCH);
    while ring.recv_many(&mut batch, BATCH).await > 0 {
        for command in batch.drain(..) {
            match command {
                Command::Run(key, task) => start(&running, key, task),
                Command::Abort(key) => running.abort(key),
            }
        }
    }
    watcher.abort();
}

fn start(running: &Arc<Running>, key: RunKey, task: RunTask) {
    let shared = Arc::clone(running);
    let run = tokio::spawn(async move {
        let end = shared.endpoint.run(task).await;
        shared.ended(key, end);
    });
    running.lock().insert(key, run.abort_handle());
}

impl Running {
    fn ended(&self, key: RunKey, end: RunEnd) {
        if matches!(end, RunEnd::NotStarted(_)) {
            self.reach.refused();
        }
        if self.lock().remove(&key).is_some() {
            self.report(key, end);
        }
    }

    fn abort(&self, key: RunKey) {
        let run = self.lock().remove(&key);
        if let Some(run) = run {
            run.abort();
            self.report(key, RunEnd::Aborted);
        }
    }

    fn report(&self, key: RunKey, end: RunEnd) {
        // The decisions have ended when this fails, and the process is about to exit.
        let _gone = self.inputs.send(Input::RunEnded(key, end));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RunKey, AbortHandle>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
