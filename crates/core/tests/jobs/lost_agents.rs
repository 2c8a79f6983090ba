//! Agents that are killed, restarted or stand still.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against work that is thrown away when an agent restarts within the lease.
#[rstest]
fn a_restarted_agent_takes_over_the_runs() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 1_500));
    fleet.run(200);
    fleet.kill_agent(0);
    fleet.run(150);
    fleet.start_agent(0);
    fleet.finish(4_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert_eq!(fleet.worker(0).starts, 4);
    fleet.assert_rules();
}

/// Guards against tasks that wait for an agent that does not come back, and against tasks that are
/// started elsewhere before the lease has lapsed.
#[rstest]
fn tasks_of_a_lost_agent_run_elsewhere() {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0), (8_000, 1.0)], 1);
    let job = fleet.submit(0, "patient", Job::new(8, 2_000, 4_000));
    fleet.run(200);
    fleet.kill_agent(0);
    fleet.finish(12_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against an agent that extends leases after a standstill in which they lapsed.
#[rstest]
fn a_frozen_agent_starts_over() {
    let mut fleet = Fleet::new(2, &[(8_000, 1.0), (8_000, 1.0)], 1);
    for entry in 0..2 {
        fleet.submit(entry, "patient", Job::new(4, 2_000, 3_000));
    }
    fleet.run(200);
    fleet.freeze_agent(0, true);
    fleet.run(4_000);
    fleet.freeze_agent(0, false);
    fleet.finish(20_000);
    assert!(
        fleet
            .callers
            .iter()
            .all(|c| c.answer == Some(Answer::Completed))
    );
    fleet.assert_rules();
}

/// Guards against orders that an agent finds in its connection after a standstill and carries out
/// although their tasks have been started elsewhere meanwhile.
#[rstest]
fn a_frozen_agent_declines_stale_orders() {
    for thaw_ms in [1_700, 1_900, 2_000, 2_020, 2_050, 2_200] {
        let mut fleet = Fleet::new(1, &[(8_000, 1.0), (8_000, 1.0)], 1);
        fleet.freeze_agent(0, true);
        for _ in 0..6 {
            fleet.submit(0, "patient", Job::new(2, 500, 3_000));
            fleet.run(50);
        }
        fleet.run(thaw_ms - 300);
        fleet.freeze_agent(0, false);
        fleet.finish(20_000);
        fleet.assert_rules();
    }
}

/// Guards against an agent that stood still until its tasks were started elsewhere, and starts them
/// when its owner connects anew, since a connection is a contact.
#[rstest]
fn a_new_connection_revives_no_orders(#[values(0, 1)] host: usize) {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0), (8_000, 1.0)], 1);
    fleet.submit(0, "patient", Job::new(16, 500, 6_000));
    fleet.run(70);
    fleet.late_percent = 100;
    fleet.submit(0, "patient", Job::new(8, 500, 3_000));
    fleet.run(3);
    fleet.late_percent = 0;
    fleet.freeze_agent(host, true);
    fleet.run(2_400);
    fleet.freeze_agent(host, false);
    fleet.run(300);
    fleet.assert_rules();
}

/// Guards against runs of a closed job that go on after their agent has restarted, although the
/// process that knows the job orders their stop.
#[rstest]
fn a_restarted_agent_stops_runs_of_closed_jobs() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 5_000));
    fleet.run(200);
    fleet.kill_agent(0);
    fleet.run(50);
    fleet.leave(job);
    fleet.run(50);
    fleet.start_agent(0);
    fleet.run(300);
    assert_eq!(fleet.running(0), 0);
}
