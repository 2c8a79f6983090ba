//! Jobs that wait for workers which are away, full or too small, and the jobs behind them.

use knapweedwall_core::scheduler::{Answer, JobState};
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

const WORKERS: [(u32, f64); 11] = [(16_000, 1.0); 11];

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Event of a job that waits with nothing running.
const STALLED: u16 = 340;

fn fleet(entries: usize) -> Fleet {
    let mut fleet = Fleet::new(entries, &WORKERS, 1);
    fleet.run(CLAIM_MS);
    fleet
}

/// Guards against a wait of which the log does not tell, or tells in each turn.
#[rstest]
fn a_wait_is_logged_once() {
    let mut fleet = fleet(1);
    let waits = fleet.submit(0, "checks", Job::new(1, 500, 100).label("absent").durable());
    let runs = fleet.submit(0, "checks", Job::new(1, 500, 4_000).durable());
    fleet.run(1_000);
    assert_eq!(fleet.count(STALLED), 0);
    fleet.run(5_000);
    assert_eq!(fleet.count(STALLED), 1);
    assert_eq!(fleet.query(0, waits), Some(Answer::State(JobState::Queued)));
    assert_eq!(fleet.query(0, runs), Some(Answer::Completed));
}
