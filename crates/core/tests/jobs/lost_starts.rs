//! Orders to a worker that get no answer and may be carried out later.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against a task that runs a second time when a lost order arrives late, and against
/// callers that wait for the time-out of a lost order.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_lost_start_is_made_anew_soon(#[case] seed: u64) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0), (16_000, 1.0)], seed);
    fleet.late_percent = 100;
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 50));
    fleet.run(5);
    fleet.late_percent = 0;
    fleet.finish(1_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert!(
        fleet.callers[job].took_ms <= 180,
        "{}",
        fleet.callers[job].took_ms
    );
    fleet.run(13_000);
    fleet.assert_rules();
}

/// Guards against room that is given away while a lost order may still be carried out.
#[rstest]
fn lost_orders_keep_the_room() {
    let mut fleet = Fleet::new(3, &[(4_000, 1.0), (4_000, 0.7)], 7);
    fleet.late_percent = 20;
    for round in 0..60 {
        fleet.submit(round % 3, "patient", Job::new(3, 1_000, 120));
        fleet.run(80);
    }
    fleet.late_percent = 0;
    fleet.finish(30_000);
    let done = fleet
        .callers
        .iter()
        .filter(|c| c.answer == Some(Answer::Completed));
    assert!(done.count() >= 40);
    fleet.run(13_000);
    fleet.assert_rules();
}
