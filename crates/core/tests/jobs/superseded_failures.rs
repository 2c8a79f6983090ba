//! Ends `failed` of runs that were taken for lost, and that the owner learns of later.
//!
//! Invariant: a task is not started after as many runs as its queue allows have failed and are noted.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against a third start of a task that may fail twice: the failure of a run behind a cut is noted,
/// but not counted (review/budget).
#[rstest]
fn late_failures_add_no_starts(
    #[values(200, 400, 900)] run_ms: u64,
    #[values(2_300, 2_600, 3_200, 5_500)] cut_ms: u64,
    #[values(false, true)] hand_over: bool,
) {
    let mut fleet = Fleet::new(3, &[(16_000, 1.0), (16_000, 1.0), (16_000, 1.0)], 1);
    fleet.run(3_000);
    for _ in 0..20 {
        fleet.submit(1, "patient", Job::new(1, 500, 30_000));
        fleet.run(5);
    }
    let first = fleet.callers.len();
    for round in 0..18 {
        let job = Job::new(1, 1_000, run_ms).failing().durable();
        fleet.submit(round % 3, "checks", job);
    }
    fleet.run(100);
    for host in 0..2 {
        fleet.cut(0, host, true);
        fleet.cut(2, host, true);
    }
    fleet.run(cut_ms);
    if hand_over {
        fleet.stop_entry(0);
    }
    for host in 0..2 {
        fleet.cut(0, host, false);
        fleet.cut(2, host, false);
    }
    fleet.run(9_000);
    fleet.assert_rules();
    for job in first..fleet.callers.len() {
        assert_eq!(fleet.query(1, job), Some(Answer::Failed), "job {job}");
    }
}
