//! Runs that a restarted agent finds on its worker, before the owner of their job claims them.
//!
//! Invariant: the owner of a job learns of the end of each of its runs, whoever else may own them.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against callers that get no answer: the owner of the shard stops the runs of a job that it does
/// not know, and their ends are reported to it alone, while the list of the open runs is still on its way
/// to the owner of the job (random_faults, seed 416 in three zones).
#[rstest]
fn ends_reach_the_owner_of_the_job(
    #[values(1, 20, 60, 200, 600)] late_ms: u64,
    #[values(150, 900)] run_ms: u64,
) {
    let mut fleet = Fleet::new(3, &[(16_000, 1.0)], 1);
    fleet.run(3_000);
    for _ in 0..8 {
        fleet.submit(0, "patient", Job::new(1, 1_600, run_ms));
    }
    fleet.run(50);
    fleet.kill_agent(0);
    fleet.start_agent(0);
    while !fleet.is_linked(0, 0) {
        fleet.run(1);
    }
    fleet.cut(0, 0, true);
    fleet.run(late_ms);
    fleet.cut(0, 0, false);
    fleet.finish(6_000);
    for job in 0..8 {
        assert_eq!(fleet.answer_to(job), Some(&Answer::Completed), "job {job}");
    }
    fleet.assert_rules();
}
