//! Times of day that jump, or differ between machines.
//!
//! Invariant: no decision compares a time of day with that of another life or machine.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

const HOUR_MS: i64 = 3_600_000;
const DAY_MS: i64 = 24 * HOUR_MS;

/// Guards against an agent that its worker refuses for minutes, so that the runs there lapse: an earlier
/// agent has called with fences of a later time of day.
#[rstest]
fn restarted_agents_keep_their_runs(
    #[values(-1_700_000_000_000, -DAY_MS, -HOUR_MS, -2_400, 0, DAY_MS)] jump_ms: i64,
    #[values(1, 4)] restarts: u32,
) {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    fleet.run(3_000);
    let job = fleet.submit(0, "checks", Job::new(2, 1_600, 4_000).durable());
    fleet.run(500);
    for restart in 0..restarts {
        fleet.kill_agent(0);
        fleet.worker(0).ahead_ms = if restart % 2 == 0 { jump_ms } else { 0 };
        fleet.run(300);
        fleet.start_agent(0);
        fleet.run(200);
    }
    let other = fleet.submit(0, "checks", Job::new(2, 1_600, 50).durable());
    fleet.run(1_200);
    let answer = fleet.query(0, other);
    fleet.run(4_000);
    let states = (answer, fleet.query(0, job), fleet.starts());
    let completed = Some(Answer::Completed);
    assert_eq!(states, (completed.clone(), completed, 4));
    fleet.assert_rules();
}
