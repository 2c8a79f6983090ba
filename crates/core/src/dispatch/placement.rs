//! Placement policies: the choice of the worker for a task.

use std::fmt::Debug;

use rand_chacha::ChaCha8Rng;

use super::credit_index::CreditIndex;
use super::worker::WorkerKey;

/// Properties of the task for which a worker is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementRequest {
    /// Expected run time on a worker of speed 1, in seconds; 0 if unknown.
    pub run_s: f64,
    /// 0.95 quantile of the run time on a worker of speed 1, in seconds; 0 if unknown.
    pub p95_s: f64,
    /// Time until the deadline, in seconds; negative if it has passed.
    pub slack_s: f64,
}

/// A policy that chooses among the workers with unused credits.
pub trait Placement: Send + Debug {
    /// Chooses the worker for the task. `None` leaves the task waiting.
    fn choose(
        &mut self,
        request: &PlacementRequest,
        credits: &CreditIndex,
        rng: &mut ChaCha8Rng,
    ) -> Option<WorkerKey>;
}

/// Chooses a worker from the fastest speed group that has an unused credit.
///
/// Fast slots are not kept free for later short tasks. Short tasks would gain little from such a
/// reserve, because they wait only if there are no unused credits at all. The reserve would delay
/// long tasks by more than it helps short ones (benchmark `dispatch_trial` at 70% load).
#[derive(Debug, Clone, Copy, Default)]
pub struct FastestFirst;

impl Placement for FastestFirst {
    fn choose(
        &mut self,
        _request: &PlacementRequest,
        credits: &CreditIndex,
        rng: &mut ChaCha8Rng,
    ) -> Option<WorkerKey> {
        credits.pick(credits.fastest_group()?, rng)
    }
}
