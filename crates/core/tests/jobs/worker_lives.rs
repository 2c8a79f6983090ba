//! Workers that crash, come back, or leave.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against tasks that stay lost when a worker crashes and a new lifetime answers at the
/// same address.
#[rstest]
fn a_new_lifetime_runs_the_tasks_again() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 1_000));
    fleet.run(300);
    let now_ms = fleet.now_ms;
    fleet.worker(0).restart(now_ms);
    fleet.finish(5_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert_eq!(fleet.worker(0).starts, 8);
    fleet.assert_rules();
}

/// Guards against tasks that wait for a worker that went silent.
#[rstest]
fn tasks_of_a_silent_worker_run_elsewhere() {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0), (8_000, 1.0)], 1);
    let job = fleet.submit(0, "patient", Job::new(8, 2_000, 1_500));
    fleet.run(200);
    fleet.worker(0).up = false;
    fleet.finish(8_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against new work for a worker that is leaving.
#[rstest]
fn a_leaving_worker_gets_nothing_new() {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0), (16_000, 1.0)], 1);
    fleet.drain_worker(0);
    fleet.run(300);
    let before = fleet.worker(0).starts;
    for round in 0..20 {
        fleet.submit(round % 2, "checks", Job::new(4, 1_000, 60));
        fleet.run(30);
    }
    fleet.finish(3_000);
    assert_eq!(fleet.worker(0).starts, before);
    assert!(
        fleet
            .callers
            .iter()
            .all(|c| c.answer == Some(Answer::Completed))
    );
}

/// Guards against an agent that calls a worker again and again that is down, while a start has no
/// answer: each attempt is a new connection.
#[rstest]
fn a_worker_that_is_down_is_called_seldom() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    fleet.worker(0).up = false;
    fleet.submit(0, "patient", Job::new(8, 1_000, 500));
    let before = fleet.calls;
    fleet.run(5_000);
    let calls = fleet.calls - before;
    assert!(calls < 100, "{calls}");
}

/// Guards against runs that a new lifetime with the same instance id has accepted, before its agent
/// knows of it, and that are taken for lost with the lifetime before: they would run twice.
#[rstest]
fn starts_on_a_new_lifetime_run_once(
    #[values(1, 2, 3, 4, 5, 6, 7)] pause_ms: u64,
    #[values(false, true)] kept: bool,
) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0), (16_000, 1.0)], 1);
    fleet.run(3_000);
    for round in 0..200 {
        let job = Job::new(3, 1_600, 150);
        let job = if kept { job.durable() } else { job };
        fleet.submit(round % 2, "patient", job);
        fleet.run(pause_ms);
        if round % 8 == 0 {
            let now_ms = fleet.now_ms;
            fleet.worker(round / 8 % 2).restart_with_id(now_ms);
        }
        fleet.run(10);
    }
    fleet.finish(20_000);
    fleet.assert_rules();
}
