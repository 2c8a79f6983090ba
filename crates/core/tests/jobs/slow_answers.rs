//! Workers on hosts that are short of processor time, where every call takes long.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Event of a start without an answer.
const UNCLEAR: u16 = 410;

/// Event of a run that is stopped since it makes no progress.
const STALLED: u16 = 405;

/// Plays jobs on workers whose calls take `slow_ms` longer.
fn play(slow_ms: u64, run_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0), (16_000, 0.8)], 3);
    fleet.slow_ms = slow_ms;
    for round in 0..30 {
        fleet.submit(round % 2, "patient", Job::new(4, 1_000, run_ms));
        fleet.run(100);
    }
    fleet.finish(6_000);
    fleet.assert_rules();
    fleet
}

/// Guards against starts that are taken for lost, one after another, because every answer takes
/// longer than on an idle host: each raises the fence, which bars those beside it.
#[rstest]
#[case(40)]
#[case(100)]
fn late_answers_are_not_lost_ones(#[case] slow_ms: u64) {
    let fleet = play(slow_ms, 100);
    let starts = 30 * 4;
    let unclear = fleet.count(UNCLEAR);
    assert!(unclear <= starts / 4, "{unclear} of {starts} starts");
    let answers = fleet.callers.iter();
    let done = answers.filter(|caller| caller.answer == Some(Answer::Completed));
    assert_eq!(done.count(), 30);
}

/// Guards against runs that are stopped as stalled since their progress was not seen for a while.
#[rstest]
fn unseen_progress_is_no_stall() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 3);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 2_500));
    fleet.run(100);
    for _ in 0..3 {
        fleet.slow_ms = 5_000;
        fleet.run(540);
        fleet.slow_ms = 0;
        fleet.run(200);
    }
    fleet.finish(6_000);
    assert_eq!(fleet.count(STALLED), 0);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    fleet.assert_rules();
}
