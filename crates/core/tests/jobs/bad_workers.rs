//! Workers that fail, stand still or are slow, and jobs that can never be done.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against a broken worker that attracts tasks because it is always free: each job may fail
/// twice on a task before it has failed.
#[rstest]
fn a_failing_worker_is_held_back(#[values(0, 1, 2)] broken: usize) {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0), (16_000, 1.0), (16_000, 1.0)], 1);
    fleet.worker(broken).broken = true;
    for _ in 0..60 {
        fleet.submit(0, "checks", Job::new(2, 1_600, 100));
        fleet.run(40);
    }
    fleet.finish(5_000);
    let failed = fleet
        .callers
        .iter()
        .filter(|c| c.answer == Some(Answer::Failed));
    assert_eq!(failed.count(), 0);
    let starts = fleet.worker(broken).starts;
    assert!(starts < 20, "{starts}");
    // A process may prefer other workers anyway.
    assert!(fleet.events.contains(&310) || starts < 3, "{starts}");
    fleet.assert_rules();
}

/// Guards against a hopeless job that is run for ever, or shown as given up.
#[rstest]
fn a_hopeless_job_fails_after_its_attempts() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0), (16_000, 1.0)], 1);
    let job = fleet.submit(0, "checks", Job::new(1, 1_600, 50).failing());
    fleet.finish(2_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Failed));
    assert_eq!(fleet.worker(0).starts + fleet.worker(1).starts, 2);
}

/// Guards against tasks that stand still on a worker for as long as their caller waits.
#[rstest]
fn a_stalled_task_runs_elsewhere() {
    let mut fleet = Fleet::new(1, &[(16_000, 2.0), (16_000, 1.0)], 1);
    fleet.worker(0).hangs = true;
    let job = fleet.submit(0, "patient", Job::new(2, 1_600, 200));
    fleet.finish(3_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert!(
        fleet.callers[job].took_ms <= 1_200,
        "{}",
        fleet.callers[job].took_ms
    );
    fleet.assert_rules();
}
