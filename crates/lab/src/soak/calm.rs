//! Which disturbances there are.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after the end of a disturbance from which promises with a time bound hold again, as on the
/// platform's pages.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Keeps account of disturbances; clones share it.
#[derive(Debug, Clone)]
pub struct Calm(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    open: u32,
    ended: Instant,
    planned: u32,
    planned_end: Instant,
}

/// A disturbance, until it is dropped.
#[derive(Debug)]
pub struct Disturbance {
    calm: Calm,
    planned: bool,
}

impl Default for Calm {
    fn default() -> Self {
        let now = Instant::now();
        Self(Arc::new(Mutex::new(State {
            open: 0,
            ended: now,
            planned: 0,
            planned_end: now,
        })))
    }
}

impl Calm {
    /// Begins an unplanned disturbance.
    #[must_use]
    pub fn disturb(&self) -> Disturbance {
        self.state().open += 1;
        Disturbance {
            calm: self.clone(),
            planned: false,
        }
    }

    /// Begins planned work, such as a stop or a change of the configuration.
    #[must_use]
    pub fn plan(&self) -> Disturbance {
        self.state().planned += 1;
        Disturbance {
            calm: self.clone(),
            planned: true,
        }
    }

    /// Whether there has been no unplanned disturbance from [`CONTACT`] before `since`.
    #[must_use]
    pub fn is_undisturbed(&self, since: Instant) -> bool {
        let state = self.state();
        state.open == 0 && state.ended + CONTACT <= since
    }

    /// Whether there has also been no planned work in that time.
    #[must_use]
    pub fn is_calm(&self, since: Instant) -> bool {
        let undisturbed = self.is_undisturbed(since);
        let state = self.state();
        undisturbed && state.planned == 0 && state.planned_end + CONTACT <= since
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Disturbance {
    fn drop(&mut self) {
        let mut state = self.calm.state();
        let now = Instant::now();
        if self.planned {
            state.planned -= 1;
            state.planned_end = now;
        } else {
            state.open -= 1;
            state.ended = now;
        }
    }
}
