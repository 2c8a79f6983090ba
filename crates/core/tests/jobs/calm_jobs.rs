//! Jobs on a fleet without faults.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against jobs that wait although there is room.
#[rstest]
fn a_job_ends_with_its_longest_task() {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0), (16_000, 1.0)], 1);
    let job = fleet.submit(0, "checks", Job::new(8, 1_600, 50));
    fleet.finish(500);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert!(
        fleet.callers[job].took_ms <= 70,
        "{}",
        fleet.callers[job].took_ms
    );
    fleet.assert_rules();
}

/// Guards against a job of an unknown queue that runs.
#[rstest]
fn an_unknown_queue_runs_nothing() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let job = fleet.submit(0, "unknown", Job::new(1, 1_000, 50));
    fleet.run(100);
    assert_eq!(fleet.answer_to(job), Some(&Answer::NoQueue));
    assert_eq!(fleet.worker(0).starts, 0);
}

/// Guards against idle workers while a queue holds tasks: 40 tasks on room for 10.
#[rstest]
fn waiting_tasks_follow_at_once() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let job = fleet.submit(0, "patient", Job::new(40, 1_600, 100));
    fleet.finish(2_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert!(
        fleet.callers[job].took_ms <= 480,
        "{}",
        fleet.callers[job].took_ms
    );
    fleet.assert_rules();
}

/// Guards against a second run of a job that is submitted again while it is open.
#[rstest]
fn a_second_submission_joins_the_first() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let first = fleet.submit(0, "checks", Job::new(2, 1_000, 100));
    fleet.run(20);
    let again = fleet.submit_again(first);
    fleet.finish(500);
    assert_eq!(fleet.answer_to(first), Some(&Answer::Completed));
    assert_eq!(fleet.answer_to(again), Some(&Answer::Completed));
    assert_eq!(fleet.worker(0).starts, 2);
}
