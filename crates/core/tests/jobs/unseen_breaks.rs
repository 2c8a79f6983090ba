//! Callers whose connection breaks on their side only: the entry process holds it and runs the job on,
//! while the caller submits the job again at another process.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::{Caller, Job, RESEND_MS};
use crate::fleet::Fleet;
use crate::random_faults::{play_beside, seeds};

const WORKERS: [(u32, f64); 4] = [(16_000, 1.0); 4];

/// Guards against a job that runs at two processes, because the first does not see that its caller
/// has gone.
#[rstest]
fn a_held_job_is_not_started_elsewhere(
    #[values(1, 3)] zones: usize,
    #[values(700, 1_400, 2_400, 6_000)] run_ms: u64,
    #[values(0, 1, 40, 700)] later_ms: u64,
) {
    let mut fleet = Fleet::in_zones(zones, 3, &WORKERS, 1);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, run_ms));
    fleet.run(RESEND_MS + later_ms);
    let again = fleet.come_back(job, 1);
    fleet.finish(12_000);
    assert_eq!(fleet.answer_to(again), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against the same when the caller comes back more than once.
#[rstest]
fn a_job_held_by_two_is_not_started_by_a_third() {
    let mut fleet = Fleet::in_zones(3, 4, &WORKERS, 1);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 9_000));
    for entry in 1..4 {
        fleet.run(RESEND_MS);
        fleet.come_back(job, entry);
    }
    fleet.finish(12_000);
    fleet.assert_rules();
    assert_eq!(fleet.starts(), 4);
}

/// Guards against the same when the first process is out of reach of the second from some time
/// before or after the first submission.
#[rstest]
fn a_job_held_out_of_reach_is_not_started_elsewhere(
    #[values(0, 100, 290, 400, 700, 1_000, 1_290)] cut_ms: u64,
    #[values(0, 2_000)] before_ms: u64,
    #[values(2, 3)] entries: usize,
) {
    let mut fleet = Fleet::in_zones(3, entries, &WORKERS, 1);
    if before_ms > 0 {
        fleet.cut_peers(0, 1, true);
        fleet.run(before_ms);
    }
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 4_000));
    fleet.run(cut_ms);
    fleet.cut_peers(0, 1, true);
    fleet.run(RESEND_MS - cut_ms);
    fleet.come_back(job, 1);
    fleet.run(RESEND_MS);
    fleet.cut_peers(0, 1, false);
    fleet.finish(12_000);
    fleet.assert_rules();
    assert!(fleet.callers.iter().any(|caller| caller.answer.is_some()));
}

/// Guards against the same when the connection between the processes is reset.
#[rstest]
fn a_job_held_across_a_reset_is_not_started_elsewhere(
    #[values(200, 650, 1_000, 1_250, 1_299)] reset_ms: u64,
) {
    let mut fleet = Fleet::in_zones(3, 3, &WORKERS, 1);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 4_000));
    fleet.run(reset_ms);
    fleet.reset_peers(|_, _| true);
    fleet.run(RESEND_MS - reset_ms);
    let again = fleet.come_back(job, 1);
    fleet.finish(12_000);
    assert_eq!(fleet.answer_to(again), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against the same when a process reads the request only after it has stood still, and the
/// caller has come back elsewhere in the meantime.
#[rstest]
fn a_request_read_late_is_not_started_beside_another(
    #[values(0, 20, 140, 160, 400, 900)] after_ms: u64,
    #[values(1, 3)] zones: usize,
) {
    let mut fleet = Fleet::in_zones(zones, 3, &WORKERS, 1);
    fleet.freeze_entry(0, true);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 2_000));
    fleet.run(RESEND_MS);
    fleet.come_back(job, 1);
    fleet.run(after_ms);
    fleet.freeze_entry(0, false);
    fleet.finish(12_000);
    fleet.assert_rules();
}

/// Plays random faults beside callers whose connections break on their side only.
fn play_breaks(seed: u64, zones: usize) {
    let mut due: Vec<(u64, usize)> = Vec::new();
    play_beside(seed, zones, |fleet| {
        let waits = |caller: &Caller| caller.answer.is_none() && caller.resend_ms.is_none();
        let open: Vec<usize> = (0..fleet.callers.len())
            .filter(|at| waits(&fleet.callers[*at]))
            .collect();
        if !open.is_empty() && fleet.random(3) == 0 {
            let at = usize::try_from(fleet.random(open.len() as u64)).unwrap();
            fleet.abandon(open[at]);
            due.push((fleet.now_ms + RESEND_MS, open[at]));
        }
        for (due_ms, job) in std::mem::take(&mut due) {
            let entry = usize::try_from(fleet.random(3)).unwrap();
            if due_ms > fleet.now_ms || !fleet.has_entry(entry) {
                due.push((due_ms, job));
            } else {
                fleet.submit_again_at(job, entry);
            }
        }
    });
}

/// Guards against a task that runs twice at the same time, whatever faults come together with breaks
/// that processes do not see.
#[rstest]
#[case::one_zone("0..4", 1)]
#[case::three_zones("0..6", 3)]
fn rules_hold_beside_unseen_breaks(#[case] range: &str, #[case] zones: usize) {
    for seed in seeds(range) {
        play_breaks(seed, zones);
    }
}

/// Guards against the faults that single seeds have found.
#[rstest]
// A submission waits at each of two processes for the runs of a lost one, and each acknowledges the job of
// the other.
#[case::two_waiting_submissions(9048, 3)]
// The owner of a job is lost beside a process that is new and has not been connected to it.
#[case::new_process_beside_a_loss(30015, 1)]
fn rules_hold_beside_known_breaks(#[case] seed: u64, #[case] zones: usize) {
    play_breaks(seed, zones);
}
