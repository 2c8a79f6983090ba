//! The room of workers under more load than they have room for.

use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against a worker that is given more than it has room for by several entry processes.
#[rstest]
#[case(11)]
#[case(12)]
fn room_is_never_exceeded(#[case] seed: u64) {
    let mut fleet = Fleet::new(3, &[(8_000, 0.7), (8_000, 0.7), (12_000, 1.7)], seed);
    for round in 0..300 {
        let tasks = 1 + u32::try_from(fleet.random(8)).unwrap();
        let cpu = 800 + u32::try_from(fleet.random(1_600)).unwrap();
        let run_ms = 20 + fleet.random(300);
        fleet.submit(round % 3, "checks", Job::new(tasks, cpu, run_ms));
        fleet.run(8);
    }
    fleet.finish(20_000);
    fleet.assert_rules();
}
