//! Entry processes that are gone, frozen or cut off from agents.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against a second run beside the first when the caller of a killed entry process submits
/// again elsewhere.
#[rstest]
fn runs_of_a_killed_entry_end_before_the_next() {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0), (16_000, 1.0)], 1);
    let job = fleet.submit(0, "patient", Job::new(4, 1_000, 3_000));
    fleet.run(200);
    assert!(fleet.running(0) + fleet.running(1) > 0);
    fleet.kill_entry(0);
    fleet.run(1_250);
    assert_eq!(fleet.running(0) + fleet.running(1), 0);
    fleet.finish(5_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against runs that go on for an entry process that stands still.
#[rstest]
fn a_frozen_entry_loses_its_runs() {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0)], 1);
    fleet.submit(0, "patient", Job::new(2, 1_000, 6_000));
    fleet.run(300);
    fleet.freeze_entry(0, true);
    fleet.run(1_250);
    assert_eq!(fleet.running(0), 0);
    fleet.freeze_entry(0, false);
    fleet.finish(9_000);
    fleet.assert_rules();
}

/// Guards against a connection that went silent in one direction and keeps an owner's runs.
#[rstest]
fn a_cut_agent_stops_what_its_owner_ordered() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0), (16_000, 1.0)], 1);
    let job = fleet.submit(0, "patient", Job::new(4, 8_000, 2_500));
    fleet.run(200);
    fleet.cut(0, 0, true);
    fleet.run(1_000);
    assert_eq!(fleet.running(0), 0);
    fleet.finish(9_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against runs that are lost when a connection is only reset.
#[rstest]
fn a_reset_connection_keeps_the_runs() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let job = fleet.submit(0, "checks", Job::new(4, 1_000, 500));
    fleet.run(100);
    fleet.reset_link(0, 0);
    fleet.finish(2_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert_eq!(fleet.worker(0).starts, 4);
    fleet.assert_rules();
}
