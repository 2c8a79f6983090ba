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

/// Guards against shards without an owner because the process that was about to take them over is
/// stopped, too, as in a replacement of one process after the other.
#[rstest]
fn a_stop_leaves_no_shard_behind() {
    for pause_ms in (0..120).step_by(6) {
        let mut fleet = Fleet::new(3, &[(16_000, 1.0)], 1);
        fleet.run(3_000);
        for at in 0..24 {
            fleet.submit(at % 3, "patient", Job::new(1, 500, 20).durable());
        }
        fleet.run(200);
        fleet.stop_entry(1);
        fleet.run(pause_ms);
        fleet.stop_entry(2);
        fleet.run(3_000);
        let first = fleet.callers.len();
        for _ in 0..48 {
            fleet.submit(0, "patient", Job::new(1, 500, 20).durable());
        }
        fleet.run(300);
        for at in first..fleet.callers.len() {
            let answer = fleet.answer_to(at);
            assert_eq!(answer, Some(&Answer::Accepted), "{pause_ms} ms, job {at}");
        }
        assert!(!fleet.has_entry(1) && !fleet.has_entry(2), "{pause_ms} ms");
    }
}
