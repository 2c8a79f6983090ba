//! Shared state of the endpoint.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::ledger::Ledger;
use super::{Controls, Settings};
use crate::http::Gate;

/// State behind one lock, which is never held while waiting.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) controls: Controls,
    pub(super) ledger: Ledger,
    pub(super) rng: ChaCha8Rng,
}

/// The endpoint.
#[derive(Debug)]
pub(super) struct State {
    inner: Mutex<Inner>,
    pub(super) slots: u32,
    pub(super) opened: Instant,
    pub(super) gate: Arc<Gate>,
}

impl State {
    /// An endpoint without starts.
    pub(super) fn new(settings: &Settings) -> Self {
        let inner = Inner {
            controls: settings.controls.clone(),
            ledger: Ledger::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        };
        Self {
            inner: Mutex::new(inner),
            slots: settings.slots,
            opened: Instant::now(),
            gate: Arc::default(),
        }
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the behaviour and waits until connections are accepted or refused accordingly.
    pub(super) async fn change<E>(
        &self,
        change: impl FnOnce(&Controls) -> Result<Controls, E>,
    ) -> Result<Controls, E> {
        let controls = {
            let mut inner = self.lock();
            inner.controls = change(&inner.controls)?;
            inner.controls.clone()
        };
        self.gate.set(!controls.refuse).await;
        Ok(controls)
    }
}

/// Microseconds since 1970.
pub(super) fn now_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_micros()).unwrap_or(u64::MAX))
}
