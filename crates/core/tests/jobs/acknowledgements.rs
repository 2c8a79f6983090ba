//! Acknowledgements of ended runs, which count in one lifetime of a worker only.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::agent::Agent;
use crate::callers::Job;
use crate::calls::{Call, PendingCall};
use crate::fleet::Fleet;

/// Number of the end that the first lifetime listed.
const LAST_END: u64 = 1;

/// An agent that has acknowledged the end of a run.
fn acknowledged() -> Agent {
    let mut agent = Agent::new();
    let start = agent.order("0000000000000001").expect("a start");
    agent.accept_start(start);
    agent.flush();
    agent.end_run("0000000000000001", LAST_END);
    agent.answer_renewals(1);
    agent
}

/// Guards against ends that a worker forgets unseen after it has restarted with its id: it numbers its
/// ends anew, and calls that are meant for the lifetime before acknowledge numbers of that one.
#[rstest]
fn cursors_spare_the_next_lifetime() {
    let mut agent = acknowledged();
    agent.run(700);
    agent.renewals();
    agent.order("0000000000000002").expect("a start");
    assert_eq!(agent.cursors(), vec![0]);
}

/// Guards against ends that a worker lists over and over, since they are acknowledged too seldom.
#[rstest]
fn cursors_follow_responses() {
    let mut agent = acknowledged();
    agent.now_ms += 20;
    agent.order("0000000000000002").expect("a start");
    assert_eq!(agent.cursors(), vec![LAST_END]);
}

/// Guards against the same after a standstill of the agent: it reads a response of the lifetime before
/// first, and would take it for a recent one.
#[rstest]
fn a_response_read_late_spares_the_next_lifetime() {
    let mut agent = acknowledged();
    agent.order("0000000000000002").expect("a start");
    agent.now_ms += 700;
    agent.answer_renewals(1);
    let cursors = agent.cursors();
    assert!(!cursors.is_empty());
    assert!(cursors.iter().all(|cursor| *cursor == 0), "{cursors:?}");
}

/// Guards against a durable task that runs again after its end: the worker restarted with its id while its
/// agent stood still, carried out a start late, and then forgot the end of that run, which the agent
/// acknowledged by the number of an earlier one.
#[rstest]
fn ends_after_a_standstill_are_not_forgotten(#[values(80, 200, 400)] restart_ms: u64) {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    fleet.run(3_000);
    let long = fleet.submit(0, "patient", Job::new(1, 1_000, 5_000).durable());
    let ended = fleet.submit(0, "patient", Job::new(1, 1_000, 50).durable());
    fleet.run(1_000);
    assert_eq!(fleet.query(0, ended), Some(Answer::Completed));
    fleet.late_ms = (restart_ms + 100, 1);
    let job = fleet.submit(0, "patient", Job::new(1, 1_000, 30).durable());
    let is_start = |call: &PendingCall| matches!(call.call, Call::Start(..));
    while !fleet.hosts[0].calls.iter().any(is_start) {
        fleet.late_percent = 100;
        fleet.run(1);
    }
    fleet.late_percent = 0;
    fleet.freeze_agent(0, true);
    fleet.run(restart_ms);
    let now_ms = fleet.now_ms;
    fleet.worker(0).restart_with_id(now_ms);
    fleet.run(200);
    fleet.freeze_agent(0, false);
    fleet.run(15_000);
    assert_eq!(fleet.query(0, job), Some(Answer::Completed));
    assert_eq!(fleet.query(0, long), Some(Answer::Completed));
    fleet.assert_rules();
}

/// Guards against the same when the next lifetime has accepted a start: its answer does not tell which
/// lifetime it is from.
#[rstest]
fn answers_to_starts_extend_no_cursors() {
    let mut agent = acknowledged();
    agent.run(700);
    let start = agent.order("0000000000000002").expect("a start");
    agent.accept_start(start);
    agent.renewals();
    agent.run(100);
    assert_eq!(agent.cursors(), vec![0]);
}
