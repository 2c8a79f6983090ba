//! What happens to one task.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use super::payload::Payload;
use super::{Controls, Outcome};

/// Course of a task, decided at its start.
#[derive(Debug)]
pub(super) struct Plan {
    /// Run time; `None` for a task that never ends.
    pub(super) run_time: Option<Duration>,
    /// How the task ends.
    pub(super) outcome: Outcome,
    /// Time between the end of the task and its answer.
    pub(super) delay: Duration,
}

impl Plan {
    /// Decides about a task with this payload.
    pub(super) fn draw(controls: &mut Controls, rng: &mut ChaCha8Rng, payload: &Payload) -> Self {
        let time = payload.run_time(controls.run_time);
        let mut plan = Self {
            run_time: Some(controls.speed.scale(time)),
            outcome: if payload.fail {
                Outcome::Failed
            } else {
                Outcome::Ok
            },
            delay: Duration::ZERO,
        };
        if controls.fail.draw(rng) {
            plan.run_time = Some(Duration::ZERO);
            plan.outcome = Outcome::Failed;
        } else if controls.reset.draw(rng) {
            plan.outcome = Outcome::Reset;
        } else if controls.hang.draw(rng) {
            plan.run_time = None;
        } else if controls.garbage.draw(rng) {
            plan.outcome = Outcome::Garbage;
        } else if controls.mangled.draw(rng) {
            plan.outcome = Outcome::Mangled;
        } else if controls.twice.draw(rng) {
            plan.outcome = Outcome::Twice;
        } else if controls.late.draw(rng) {
            plan.outcome = Outcome::Late;
            plan.delay = controls.late_by;
        }
        plan
    }
}
