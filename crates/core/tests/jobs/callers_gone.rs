//! Callers that leave before their answer, or wait for a limited time.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against work for callers that have left.
#[rstest]
fn work_stops_when_the_caller_leaves() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let job = fleet.submit(0, "checks", Job::new(4, 1_000, 2_000));
    fleet.run(100);
    assert_eq!(fleet.running(0), 4);
    fleet.leave(job);
    fleet.run(80);
    assert_eq!(fleet.running(0), 0);
}

/// Guards against a job that is submitted again while runs of the first submission still end.
#[rstest]
fn a_job_left_and_submitted_again_runs_once_at_a_time() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let job = fleet.submit(0, "checks", Job::new(4, 1_000, 300));
    fleet.run(100);
    fleet.leave(job);
    fleet.run(5);
    let again = fleet.submit_again(job);
    fleet.finish(2_000);
    assert_eq!(fleet.answer_to(again), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against a caller that comes back and gets no answer within its time limit, because runs of its
/// first submission end late.
#[rstest]
fn a_job_submitted_again_is_answered_in_time() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let job = Job {
        wait_ms: Some(900),
        ..Job::new(4, 1_000, 600)
    };
    let job = fleet.submit(0, "checks", job);
    fleet.run(100);
    fleet.freeze_agent(0, true);
    fleet.leave(job);
    fleet.run(5);
    let again = fleet.submit_again(job);
    fleet.run(895);
    let caller = &fleet.callers[again];
    assert!(caller.resend_ms.is_some() || caller.answer.is_some());
    fleet.assert_rules();
}

/// Guards against a refusal that comes only at the caller's limit: the room that there is does not
/// suffice in time, so the answer says that nothing ran.
#[rstest]
fn a_job_without_room_is_refused_as_not_run() {
    let mut fleet = Fleet::new(1, &[(2_000, 1.0)], 1);
    let first = Job {
        wait_ms: Some(20_000),
        ..Job::new(2, 1_000, 8_000)
    };
    fleet.submit(0, "patient", first);
    fleet.run(50);
    let second = Job {
        wait_ms: Some(2_000),
        ..Job::new(1, 1_000, 50)
    };
    let second = fleet.submit(0, "checks", second);
    fleet.run(600);
    let answer = fleet.answer_to(second);
    assert!(matches!(answer, Some(Answer::NotRun { .. })), "{answer:?}");
    assert_eq!(fleet.worker(0).starts, 2);
}
