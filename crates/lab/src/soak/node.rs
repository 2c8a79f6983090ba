//! One process of the system that is stopped, paused, killed and started again.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::time::sleep;

use crate::cluster::{Launch, Process, Result};

/// Pause between two looks at a process that is to end.
const POLL: Duration = Duration::from_millis(10);

/// Time between SIGTERM and SIGKILL, as in the settings.
pub(super) const GRACE: Duration = Duration::from_secs(6);

/// A process that may be down for a while.
#[derive(Debug)]
pub(super) struct Node {
    launch: Launch,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    process: Option<Process>,
    /// Counts the starts.
    life: u64,
    /// Whether the present process was told to end.
    ending: bool,
}

impl Node {
    pub(super) fn new(launch: Launch) -> Self {
        Self {
            launch,
            state: Mutex::new(State {
                process: None,
                life: 0,
                ending: false,
            }),
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.launch.name
    }

    /// Starts the process unless it is up.
    pub(super) fn start(&self) -> Result<()> {
        let mut state = self.state();
        if state.is_up() {
            return Ok(());
        }
        state.process = Some(Process::spawn(self.launch.clone())?);
        state.life += 1;
        state.ending = false;
        Ok(())
    }

    /// Sends a signal to the process, if it is up.
    pub(super) fn signal(&self, signal: Signal) {
        if let Some(process) = &mut self.state().process {
            // A process that has just ended takes no signal.
            let _sent = process.signal(signal);
        }
    }

    /// Tells the process to end by a signal, and returns the number of its life.
    pub(super) fn end(&self, signal: Signal) -> u64 {
        let mut state = self.state();
        state.ending = true;
        if let Some(process) = &mut state.process {
            // A process that has just ended takes no signal.
            let _sent = process.signal(signal);
        }
        state.life
    }

    /// Waits until the process of this life is gone; false when it still runs after `limit`.
    pub(super) async fn gone(&self, life: u64, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            {
                let mut state = self.state();
                if state.life != life || !state.is_up() {
                    return true;
                }
            }
            sleep(POLL).await;
        }
        false
    }

    /// Number of the present life; none while the process is down.
    pub(super) fn life(&self) -> Option<u64> {
        let mut state = self.state();
        let life = state.life;
        (state.is_up() && !state.ending).then_some(life)
    }

    /// How the process ended, if nobody told it to; asked once for each end.
    pub(super) fn unexpected_end(&self) -> Option<String> {
        let mut state = self.state();
        if state.ending || state.is_up() {
            return None;
        }
        let process = state.process.as_mut()?;
        let ended = process.check().err()?.to_string();
        state.ending = true;
        Some(ended)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_up(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| process.status().is_none())
    }
}
