//! Stops that get no answer. The caller of a job that need not be kept leaves, and submits the job again
//! 1.3 s later at another entry process, which knows nothing of the first submission.
//!
//! Invariant: the runs of the first submission have ended by then, however many stops are lost.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::{Job, RESEND_MS};
use crate::calls::LostCalls;
use crate::fleet::Fleet;

/// Loss of this many stops, which are never carried out.
fn lost(stops: u32) -> LostCalls {
    LostCalls {
        stops,
        ..LostCalls::default()
    }
}

/// Number of the worker with this number of runs.
fn worker_with(fleet: &Fleet, runs: usize) -> usize {
    (0..2).find(|at| fleet.running(*at) == runs).unwrap()
}

/// Submits the job of a caller that has left again, 1.3 s after it has left. The job starts on the other
/// worker, because the one that it was on takes no more runs.
fn submit_again(fleet: &mut Fleet, caller: usize, worker: usize, left_ms: u64) {
    fleet.run(left_ms + 1_000 - fleet.now_ms);
    fleet.drain_worker(worker);
    fleet.run(left_ms + RESEND_MS - fleet.now_ms);
    fleet.submit_again_at(caller, 1);
    fleet.run(1_000);
}

/// Two jobs of one owner run side by side on a worker. After `delay_ms` and half a second the caller of
/// the second one leaves, and submits it again. Returns the number of the caller that stays.
fn leave_and_submit_again(fleet: &mut Fleet, delay_ms: u64, lost_calls: LostCalls) -> usize {
    fleet.run(2_000);
    let stays = fleet.submit(0, "patient", Job::new(2, 1_000, 4_500));
    let leaves = fleet.submit(0, "patient", Job::new(2, 1_000, 4_500));
    fleet.run(500 + delay_ms);
    let worker = worker_with(fleet, 4);
    fleet.lost_calls = lost_calls;
    let left_ms = fleet.now_ms;
    fleet.leave(leaves);
    submit_again(fleet, leaves, worker, left_ms);
    fleet.lost_calls = LostCalls::default();
    fleet.finish(15_000);
    stays
}

fn fleet(seed: u64, slow_clock: bool) -> Fleet {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0), (16_000, 0.9)], seed);
    for at in 0..2 {
        fleet.worker(at).slow_clock = slow_clock;
    }
    fleet
}

/// Guards against a first run that goes on beside the second one because a few of its stops were lost,
/// and against the end of the runs of another job on the worker.
#[rstest]
fn a_few_lost_stops(
    #[values(1, 2, 3, 6)] stops: u32,
    #[values(0, 17, 40, 61)] delay_ms: u64,
    #[values(false, true)] reported: bool,
    #[values(None, Some(300), Some(1_500), Some(2_500))] carried_out_ms: Option<u64>,
) {
    let mut fleet = fleet(delay_ms, false);
    let calls = LostCalls {
        reported,
        carried_out_ms,
        ..lost(stops)
    };
    let stays = leave_and_submit_again(&mut fleet, delay_ms, calls);
    fleet.assert_rules();
    assert_eq!(fleet.answer_to(stays), Some(&Answer::Completed));
    assert_eq!(fleet.starts(), 6);
}

/// Guards against a first run that goes on beside the second one because all of its stops were lost,
/// while the other runs of its owner keep the lease of the worker alive.
#[rstest]
fn all_stops_lost(
    #[values(0, 17, 40, 61)] delay_ms: u64,
    #[values(false, true)] reported: bool,
    #[values(false, true)] slow_clock: bool,
    #[values(None, Some(1_250), Some(1_500), Some(2_500))] carried_out_ms: Option<u64>,
) {
    let mut fleet = fleet(delay_ms, slow_clock);
    let calls = LostCalls {
        reported,
        carried_out_ms,
        ..lost(u32::MAX)
    };
    let stays = leave_and_submit_again(&mut fleet, delay_ms, calls);
    fleet.assert_rules();
    assert_eq!(fleet.answer_to(stays), Some(&Answer::Completed));
}

/// Guards against a first run that goes on because its owner requests the stop late, and all of its
/// stops are lost.
#[rstest]
fn late_requests(#[values(100, 250)] late_ms: u64, #[values(0, 17, 40, 61)] delay_ms: u64) {
    let mut fleet = fleet(delay_ms, true);
    fleet.run(2_000);
    fleet.submit(0, "patient", Job::new(2, 1_000, 4_500));
    let leaves = fleet.submit(0, "patient", Job::new(2, 1_000, 4_500));
    fleet.run(500 + delay_ms);
    let worker = worker_with(&fleet, 4);
    fleet.lost_calls = lost(u32::MAX);
    let left_ms = fleet.now_ms;
    fleet.freeze_entry(0, true);
    fleet.leave(leaves);
    fleet.run(late_ms);
    fleet.freeze_entry(0, false);
    submit_again(&mut fleet, leaves, worker, left_ms);
    fleet.assert_rules();
}

/// Guards against a first run that goes on because the answer to its start was lost: it gets no stop
/// before its start is confirmed.
#[rstest]
fn unconfirmed_starts(
    #[values(4, 10, 30, 60)] delay_ms: u64,
    #[values(false, true)] slow_clock: bool,
    #[values(0, 500, 900)] answers_ms: u64,
) {
    let mut fleet = fleet(delay_ms, slow_clock);
    fleet.run(2_000);
    fleet.submit(0, "patient", Job::new(2, 1_000, 4_500));
    fleet.run(500 + delay_ms);
    let worker = worker_with(&fleet, 2);
    fleet.lost_calls = LostCalls {
        answers: true,
        ..lost(u32::MAX)
    };
    let leaves = fleet.submit(0, "patient", Job::new(2, 1_000, 4_500));
    fleet.run(delay_ms);
    assert_eq!(fleet.running(worker), 4);
    let left_ms = fleet.now_ms;
    fleet.leave(leaves);
    fleet.run(answers_ms);
    fleet.lost_calls.answers = false;
    submit_again(&mut fleet, leaves, worker, left_ms);
    fleet.lost_calls = LostCalls::default();
    fleet.finish(15_000);
    fleet.assert_rules();
}

/// Guards against a stop at the request of the owner that changes nothing because the run is being
/// stopped for its lack of progress.
#[rstest]
fn stalled_runs(#[values(30, 300, 700)] stalled_ms: u64) {
    let mut fleet = fleet(1, false);
    fleet.run(2_000);
    fleet.submit(0, "patient", Job::new(2, 1_000, 4_500));
    let leaves = fleet.submit(0, "patient", Job::new(2, 1_000, 4_500));
    fleet.run(200);
    let worker = worker_with(&fleet, 4);
    fleet.lost_calls = lost(u32::MAX);
    for at in 0..2 {
        fleet.worker(at).hangs = true;
    }
    fleet.run(530 + stalled_ms);
    let left_ms = fleet.now_ms;
    fleet.leave(leaves);
    submit_again(&mut fleet, leaves, worker, left_ms);
    fleet.assert_rules();
}

/// Guards against runs of a cancelled durable job that go on because a few of their stops were lost.
#[rstest]
fn cancelled_durable_jobs(#[values(1, 2, 3, 6)] stops: u32, #[values(0, 17, 40)] delay_ms: u64) {
    let mut fleet = fleet(delay_ms, false);
    fleet.run(2_000);
    let stays = fleet.submit(0, "patient", Job::new(2, 1_000, 4_500).durable());
    let cancelled = fleet.submit(0, "patient", Job::new(2, 1_000, 4_500).durable());
    fleet.run(500 + delay_ms);
    fleet.lost_calls = lost(stops);
    fleet.cancel(0, cancelled);
    fleet.run(400);
    assert_eq!(fleet.running(0) + fleet.running(1), 2);
    fleet.run(6_000);
    assert_eq!(fleet.query(0, stays), Some(Answer::Completed));
    assert_eq!(fleet.query(0, cancelled), Some(Answer::Cancelled));
    assert_eq!(fleet.starts(), 4);
    fleet.assert_rules();
}

/// Guards against a worker that is called again and again for a stop that gets no answer.
#[rstest]
fn lost_stops_are_repeated_seldom() {
    let mut fleet = fleet(1, false);
    fleet.run(2_000);
    let cancelled = fleet.submit(0, "patient", Job::new(1, 1_000, 8_000).durable());
    fleet.run(500);
    fleet.lost_calls = lost(u32::MAX);
    fleet.cancel(0, cancelled);
    fleet.run(3_000);
    let sent = u32::MAX - fleet.lost_calls.stops;
    assert!((3..=25).contains(&sent), "{sent}");
}
