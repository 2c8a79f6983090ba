//! Acknowledgements of ended runs, which count in one lifetime of a worker only.

use rstest::rstest;

use crate::agent::Agent;

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
