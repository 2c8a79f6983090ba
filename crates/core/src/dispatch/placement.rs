//! Choice of the worker for a task.

use std::fmt::Debug;

use rand_chacha::ChaCha8Rng;

use super::credit_index::CreditIndex;
use super::worker::WorkerKey;

/// The task for which a worker is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementRequest {
    /// Expected run time on a worker of speed 1, in seconds; 0 when unknown.
    pub run_s: f64,
    /// High quantile of the run time on a worker of speed 1, in seconds; 0 when unknown.
    pub high_s: f64,
    /// Time until the deadline, in seconds; negative when it has passed.
    pub slack_s: f64,
}

/// Policy that chooses among the workers with unused credits.
pub trait Placement: Send + Debug {
    /// The worker that is to run the task; `None` leaves the task waiting.
    fn choose(
        &mut self,
        request: &PlacementRequest,
        credits: &CreditIndex,
        random: &mut ChaCha8Rng,
    ) -> Option<WorkerKey>;
}

/// Gives every task to the fastest worker that has an unused credit.
///
/// Work waits only when there are no unused credits, so keeping fast slots free for later short
/// work delays long work more than it helps (`dispatch_trial`, load 70%).
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedMatch;

impl Placement for SpeedMatch {
    fn choose(
        &mut self,
        _request: &PlacementRequest,
        credits: &CreditIndex,
        random: &mut ChaCha8Rng,
    ) -> Option<WorkerKey> {
        credits.pick(credits.fastest_group()?, random)
    }
}
