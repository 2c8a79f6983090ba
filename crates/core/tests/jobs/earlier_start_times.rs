//! Lifetimes of a worker that tell an earlier start time than the one before, since the time of day of
//! their machine went back in between.
//!
//! Invariant: the lifetime that answers is the present one, whatever start time it tells.

use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against the lists of a worker that are ignored because it tells an earlier start time than
/// before: the ends of its runs are never reported, and their jobs stay open (review/2).
#[rstest]
fn ends_are_reported(
    #[values(-86_400_000, -3_600_000, -2_000, 2_000, 86_400_000)] jump_ms: i64,
    #[values(false, true)] same_id: bool,
    #[values(300, 1_400)] down_ms: u64,
    #[values(0, 2_500)] up_ms: u64,
) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0), (16_000, 1.0)], 1);
    fleet.submit(0, "checks", Job::new(16, 1_600, 50).durable());
    fleet.run(2_500);
    for jump_ms in [0, jump_ms] {
        let now_ms = fleet.now_ms;
        fleet.worker(0).ahead_ms += jump_ms;
        if same_id {
            fleet.worker(0).crash_with_id(now_ms, down_ms);
        } else {
            fleet.worker(0).crash(now_ms);
        }
        fleet.run(down_ms + 300 + up_ms);
    }
    fleet.run(4_000);
    // The lists count although the time of day is right again.
    fleet.worker(0).ahead_ms = 0;
    let first = fleet.callers.len();
    for round in 0..20 {
        let job = Job::new(2, 1_600, 50).phases(2).durable();
        fleet.submit(round % 2, "checks", job);
        fleet.run(20);
    }
    fleet.run(3_000);
    fleet.assert_rules();
    let last = fleet.callers.len();
    let states = (first..last).map(|job| fleet.query(0, job));
    let states: Vec<_> = states.map(|state| format!("{state:?}")).collect();
    assert_eq!(states, vec!["Some(Completed)"; 20]);
    assert!(fleet.worker(0).starts > 0);
    assert_eq!(fleet.worker(0).listed_ends(), 0);
}
