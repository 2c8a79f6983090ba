//! What the announcement of jobs to other entry processes costs, and what callers are told.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::{Job, RESEND_MS};
use crate::fleet::Fleet;

const WORKERS: [(u32, f64); 4] = [(16_000, 1.0); 4];

/// Log event of a job that is given up because another process may not know of it.
const NOT_KNOWN_TO_ALL: u16 = 335;

fn long_job() -> Job {
    Job::new(4, 1_000, 4_000)
}

fn assert_undisturbed(fleet: &mut Fleet, job: usize) {
    fleet.finish(12_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert_eq!(fleet.starts(), 4);
    assert_eq!(fleet.count(NOT_KNOWN_TO_ALL), 0);
    fleet.assert_rules();
}

/// Guards against long jobs that are given up although all processes are in contact.
#[rstest]
fn long_jobs_run_to_their_end(#[values(1, 2, 5)] entries: usize) {
    let mut fleet = Fleet::in_zones(3, entries, &WORKERS, 1);
    let job = fleet.submit(0, "patient", long_job());
    assert_undisturbed(&mut fleet, job);
}

/// Guards against long jobs that are given up because connections between processes are reset.
#[rstest]
fn long_jobs_outlast_resets(#[values(250, 700, 1_900)] each_ms: u64) {
    let mut fleet = Fleet::in_zones(3, 3, &WORKERS, 1);
    let job = fleet.submit(0, "patient", long_job());
    for _ in 0..3_600 / each_ms {
        fleet.run(each_ms);
        fleet.reset_peers(|_, _| true);
    }
    assert_undisturbed(&mut fleet, job);
}

/// Guards against long jobs that are given up because another process ends as planned.
#[rstest]
fn long_jobs_outlast_planned_stops(#[values(0, 900, 2_500)] stop_ms: u64) {
    let mut fleet = Fleet::in_zones(3, 3, &WORKERS, 1);
    let job = fleet.submit(0, "patient", long_job());
    fleet.run(stop_ms);
    fleet.stop_entry(2);
    assert_undisturbed(&mut fleet, job);
}

/// Guards against long jobs that are given up because another process restarts at once.
#[rstest]
fn long_jobs_outlast_restarts(#[values(0, 600, 1_250, 2_500)] kill_ms: u64) {
    let mut fleet = Fleet::in_zones(3, 3, &WORKERS, 1);
    let job = fleet.submit(0, "patient", long_job());
    fleet.run(kill_ms);
    fleet.kill_entry(2);
    fleet.run(400);
    fleet.start_entry(2);
    assert_undisturbed(&mut fleet, job);
}

/// Guards against long jobs that are given up for ever after another process was lost: its heartbeat in
/// the store shows that it has ended.
#[rstest]
fn long_jobs_run_after_the_loss_of_a_process() {
    let mut fleet = Fleet::in_zones(3, 3, &WORKERS, 1);
    fleet.kill_entry(1);
    fleet.kill_entry(2);
    fleet.run(8_000);
    let job = fleet.submit(0, "patient", long_job());
    assert_undisturbed(&mut fleet, job);
}

/// Guards against a caller that is told that its job has not run, while a process out of reach runs it.
#[rstest]
fn a_job_of_a_lost_process_has_an_unknown_outcome() {
    let mut fleet = Fleet::in_zones(3, 2, &WORKERS, 1);
    let job = fleet.submit(0, "patient", long_job());
    fleet.run(RESEND_MS);
    fleet.kill_entry(0);
    let again = fleet.submit_again_at(job, 1);
    fleet.abandon(job);
    fleet.run(50);
    assert_eq!(fleet.answer_to(again), None);
    assert_eq!(fleet.starts(), 4);
    fleet.finish(12_000);
    assert_eq!(fleet.answer_to(again), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against a process that was taken for ended and starts what another one runs: it reaches neither
/// the other processes nor the store, but callers and agents.
#[rstest]
fn a_process_taken_for_ended_starts_nothing() {
    let mut fleet = Fleet::in_zones(3, 3, &WORKERS, 1);
    fleet.cut_peers(0, 1, true);
    fleet.cut_peers(1, 2, true);
    fleet.store.cut.push(1);
    fleet.run(9_000);
    let job = fleet.submit(0, "patient", long_job());
    fleet.run(RESEND_MS + 600);
    assert_eq!(fleet.count(NOT_KNOWN_TO_ALL), 0);
    let again = fleet.submit_again_at(job, 1);
    fleet.abandon(job);
    fleet.run(600);
    assert_eq!(fleet.answer_to(again), None);
    assert_eq!(fleet.starts(), 4);
    fleet.assert_rules();
}

/// Guards against a caller that joins a job after it was given up, and never gets an answer.
#[rstest]
fn a_caller_joins_a_job_that_is_being_stopped(#[values(0, 1, 2, 10)] later_ms: u64) {
    let mut fleet = Fleet::in_zones(3, 2, &WORKERS, 1);
    let job = fleet.submit(0, "patient", long_job());
    fleet.run(RESEND_MS);
    fleet.leave(job);
    fleet.run(later_ms);
    let again = fleet.submit_again_at(job, 1);
    fleet.finish(12_000);
    assert_eq!(fleet.answer_to(again), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against a caller that joins a job and is told that it was given up, because the first caller
/// waits for a shorter time.
#[rstest]
fn a_joined_job_lasts_as_long_as_the_later_caller_waits() {
    let mut fleet = Fleet::in_zones(3, 2, &WORKERS, 1);
    let job = Job {
        wait_ms: Some(4_100),
        ..Job::new(4, 1_000, 4_300)
    };
    let job = fleet.submit(0, "patient", job);
    fleet.run(RESEND_MS);
    let again = fleet.submit_again_at(job, 1);
    fleet.abandon(job);
    fleet.finish(12_000);
    assert_eq!(fleet.answer_to(again), Some(&Answer::Completed));
    assert_eq!(fleet.starts(), 4);
    fleet.assert_rules();
}
