//! Planned stops of entry processes.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against requests that a planned stop cuts off.
#[rstest]
fn a_planned_stop_answers_all_callers() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let open = fleet.submit(0, "patient", Job::new(2, 1_000, 2_500));
    fleet.run(50);
    fleet.stop_entry(0);
    fleet.run(100);
    let late = fleet.submit(0, "checks", Job::new(2, 1_000, 100));
    fleet.run(2_200);
    // Its caller still has a connection, although new ones lead to other processes by now.
    let last = fleet.submit(0, "checks", Job::new(1, 1_000, 100));
    let long = fleet.submit(0, "patient", Job::new(1, 1_000, 2_500));
    let answer = fleet.answer_to(long);
    assert!(matches!(answer, Some(Answer::NotRun { .. })), "{answer:?}");
    fleet.run(500);
    assert_eq!(fleet.answer_to(open), Some(&Answer::Completed));
    assert_eq!(fleet.answer_to(late), Some(&Answer::Completed));
    assert_eq!(fleet.answer_to(last), Some(&Answer::Completed));
    assert!(!fleet.has_entry(0));
}
