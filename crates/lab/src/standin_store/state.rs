//! Shared state of the store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::limits::Bucket;
use super::stats::Recorder;
use super::{Controls, Outage, Settings, Stats};
use crate::http::Gate;
use crate::table::Engine;

/// State behind one lock, which is never held while waiting.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) controls: Controls,
    pub(super) engine: Engine,
    pub(super) recorder: Recorder,
    pub(super) writes: Bucket,
    pub(super) reads: Bucket,
    pub(super) rng: ChaCha8Rng,
}

/// The store.
#[derive(Debug)]
pub(super) struct State {
    inner: Mutex<Inner>,
    pub(super) gate: Arc<Gate>,
}

impl State {
    /// An empty store.
    pub(super) fn new(settings: &Settings) -> Result<Self, hdrhistogram::CreationError> {
        let now = Instant::now();
        let controls = settings.controls.clone();
        let inner = Inner {
            writes: Bucket::full(controls.write_rate, now),
            reads: Bucket::full(controls.read_rate, now),
            controls,
            engine: Engine::default(),
            recorder: Recorder::new()?,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        };
        Ok(Self {
            inner: Mutex::new(inner),
            gate: Arc::default(),
        })
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
        self.gate.set(controls.outage != Outage::Refuse).await;
        Ok(controls)
    }

    /// The present numbers.
    pub(super) fn stats(&self) -> Stats {
        self.lock().recorder.stats()
    }
}
