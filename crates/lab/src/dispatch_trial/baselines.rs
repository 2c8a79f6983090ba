//! Baseline policies, which push every task to a worker's queue at once.

use knapweedwall_core::dispatch::{CreditIndex, Placement, PlacementRequest, WorkerKey};
use rand_chacha::ChaCha8Rng;

/// Pushes to a random worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct PushRandom;

impl Placement for PushRandom {
    fn choose(
        &mut self,
        _request: &PlacementRequest,
        credits: &CreditIndex,
        random: &mut ChaCha8Rng,
    ) -> Option<WorkerKey> {
        credits.pick_any(random)
    }
}

/// Pushes to the worker with fewer tasks among two random ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct PushTwoChoices;

impl Placement for PushTwoChoices {
    fn choose(
        &mut self,
        _request: &PlacementRequest,
        credits: &CreditIndex,
        random: &mut ChaCha8Rng,
    ) -> Option<WorkerKey> {
        let first = credits.pick_any(random)?;
        let second = credits.pick_any(random)?;
        let fewer = credits.running(second) < credits.running(first);
        Some(if fewer { second } else { first })
    }
}
