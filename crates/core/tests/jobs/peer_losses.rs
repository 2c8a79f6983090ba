//! Callers that come back elsewhere while entry processes stop, stand still or lose each other.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::{Job, RESEND_MS};
use crate::fleet::Fleet;

const WORKERS: [(u32, f64); 4] = [(16_000, 1.0); 4];

fn fleet(entries: usize) -> Fleet {
    Fleet::in_zones(3, entries, &WORKERS, 1)
}

/// A fleet in which a submission waits at the second process for the runs of the first one, which is lost.
pub fn waiting_submission(zones: usize) -> (Fleet, usize) {
    let mut fleet = Fleet::in_zones(zones, 3, &WORKERS, 1);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 4_000));
    fleet.run(600);
    fleet.kill_entry(0);
    fleet.run(900);
    let again = fleet.come_back(job, 1);
    (fleet, again)
}

fn assert_no_double_run(fleet: &mut Fleet) {
    fleet.finish(12_000);
    fleet.assert_rules();
}

/// Guards against a second run beside those of a process that has ended as planned at its time limit.
#[rstest]
fn runs_outlast_a_planned_stop(#[values(10, 100, 400, 700)] later_ms: u64) {
    let mut fleet = fleet(3);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 9_000));
    fleet.run(100);
    fleet.stop_entry(0);
    fleet.run(5_000 + later_ms - RESEND_MS);
    fleet.abandon(job);
    fleet.run(RESEND_MS);
    fleet.submit_again_at(job, 1);
    assert_no_double_run(&mut fleet);
}

/// Guards against a job that is given up too late, because its request waited unread while the process
/// stood still for a short time.
#[rstest]
fn a_short_standstill_counts(#[values(20, 60, 100, 200, 290)] still_ms: u64) {
    let mut fleet = fleet(3);
    fleet.cut_peers(0, 1, true);
    fleet.run(2_000);
    fleet.freeze_entry(0, true);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 4_000));
    fleet.run(still_ms);
    fleet.freeze_entry(0, false);
    fleet.run(RESEND_MS - still_ms);
    fleet.come_back(job, 1);
    assert_no_double_run(&mut fleet);
}

/// Guards against runs of a process that stands still when it has to give up their job.
#[rstest]
fn a_standstill_at_the_limit(#[values(150, 300, 500)] still_ms: u64) {
    let mut fleet = fleet(3);
    fleet.cut_peers(0, 1, true);
    fleet.run(2_000);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 4_000));
    fleet.run(1_090);
    fleet.freeze_entry(0, true);
    fleet.run(RESEND_MS - 1_090);
    fleet.come_back(job, 1);
    fleet.run(still_ms);
    fleet.freeze_entry(0, false);
    assert_no_double_run(&mut fleet);
}

/// Guards against a connection that counts as contact, although it is cut before its first frame arrives.
#[rstest]
fn a_connection_is_no_acknowledgement(
    #[values(800, 900, 1_000, 1_050, 1_090, 1_190)] heal_ms: u64,
) {
    let mut fleet = fleet(3);
    fleet.cut_peers(0, 1, true);
    fleet.run(2_000);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 4_000));
    fleet.run(heal_ms);
    fleet.cut_peers(0, 1, false);
    fleet.run(1);
    fleet.cut_peers(0, 1, true);
    fleet.run(RESEND_MS - heal_ms - 1);
    fleet.come_back(job, 1);
    assert_no_double_run(&mut fleet);
}

/// Guards against a process that starts after another one was lost, and does not know which jobs that one
/// held.
#[rstest]
fn a_new_process_knows_the_jobs_of_a_lost_one(
    #[values(100, 300)] start_ms: u64,
    #[values(2, 100)] later_ms: u64,
) {
    let mut fleet = fleet(3);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 6_000));
    fleet.run(2_000);
    fleet.abandon(job);
    fleet.kill_entry(2);
    fleet.kill_entry(0);
    fleet.run(start_ms);
    fleet.start_entry(2);
    fleet.run(later_ms + 60);
    fleet.submit_again_at(job, 2);
    assert_no_double_run(&mut fleet);
}

/// Guards against two callers that wait for the end of a job and both submit it as a new one.
#[rstest]
fn one_of_two_late_joins_starts_the_job(
    #[values(1, 2, 5, 10, 20, 40)] later_ms: u64,
    #[values(0, 2)] other: usize,
) {
    let mut fleet = fleet(3);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 4_000));
    fleet.run(RESEND_MS);
    fleet.leave(job);
    fleet.run(later_ms);
    fleet.submit_again_at(job, 1);
    fleet.submit_again_at(job, other);
    assert_no_double_run(&mut fleet);
}

/// Guards against a caller that is told that its job has not run, by a process that is about to end, while
/// tasks of it run at another one.
#[rstest]
fn a_stopping_process_does_not_refuse_a_running_job() {
    let mut fleet = fleet(3);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 6_000));
    fleet.run(RESEND_MS);
    fleet.stop_entry(1);
    fleet.run(10);
    let again = fleet.come_back(job, 1);
    fleet.run(100);
    let answer = fleet.answer_to(again);
    assert!(!matches!(answer, Some(Answer::NotRun { .. })), "{answer:?}");
    assert_no_double_run(&mut fleet);
}

/// Guards against a submission that counts its age anew after it has waited for the runs of a lost
/// process: its own process ends before it lists the job, and the caller is back beside the runs.
#[rstest]
fn a_submission_that_waited_keeps_its_age(
    #[values(1, 15, 30, 45, 60, 75, 90)] later_ms: u64,
    #[values(1, 3)] zones: usize,
) {
    let (mut fleet, again) = waiting_submission(zones);
    // The runs of the lost process have ended after 2,100 ms.
    fleet.run(1_200 + later_ms);
    fleet.kill_entry(1);
    fleet.run(RESEND_MS - 1_200 - later_ms);
    fleet.come_back(again, 2);
    assert_no_double_run(&mut fleet);
}

/// Guards against runs whose time limit is not lifted, because the connection to their agent is lost
/// when all processes have come to know the job.
#[rstest]
fn a_limit_is_lifted_after_a_lost_connection(#[values(300, 450, 600, 750)] cut_ms: u64) {
    let mut fleet = fleet(3);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 4_000));
    fleet.run(cut_ms);
    for agent in 0..WORKERS.len() {
        fleet.cut(0, agent, true);
    }
    fleet.run(300);
    for agent in 0..WORKERS.len() {
        fleet.cut(0, agent, false);
    }
    fleet.finish(12_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert_eq!(fleet.starts(), 4);
    fleet.assert_rules();
}
