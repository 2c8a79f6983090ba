//! What an agent concludes from connections that its worker refuses, to the single outcome of a call.

use knapweedwall_wire as wire;
use rstest::rstest;

use crate::agent::Agent;

/// Time after which an agent whose worker was not reached accepts orders again.
const PAUSE_MS: u64 = 510;

/// Guards against a start on the next lifetime of a worker that is reported as ended, and made anew
/// elsewhere, because of calls that the worker refused before: their outcomes are handled after it was
/// sent.
#[rstest]
fn refusals_do_not_end_later_starts() {
    let mut agent = Agent::new();
    let start = agent.order("0000000000000001").expect("a start");
    let renewals = agent.renewals();
    agent.refuse_start(start);
    for call in renewals {
        agent.refuse_renewal(call);
    }
    agent.flush();
    agent.run(PAUSE_MS);
    agent.order("0000000000000002");
    let renewals = agent.renewals();
    // The worker is back from here on.
    agent.now_ms += 2;
    let accepted = agent.order("0000000000000003");
    for call in renewals {
        agent.refuse_renewal(call);
    }
    agent.flush();
    if accepted.is_some() {
        assert_eq!(agent.ended("0000000000000003"), None);
    }
}

/// Guards against a worker that gets one order after the other while no process listens at its
/// address, because a start that could not be sent passes for a response.
#[rstest]
fn refused_starts_are_no_response() {
    let mut agent = Agent::new();
    assert!(agent.usable);
    let start = agent.order("0000000000000001").expect("a start");
    agent.refuse_start(start);
    agent.flush();
    assert_eq!(
        agent.ended("0000000000000001"),
        Some(wire::RunOutcome::Unusable)
    );
    for _ in 0..10 {
        for call in agent.renewals() {
            agent.refuse_renewal(call);
        }
        agent.run(100);
        assert!(!agent.usable);
    }
    assert_eq!(agent.order("0000000000000002"), None);
    agent.heartbeat(2);
    agent.flush();
    agent.answer_renewals(2);
    assert!(agent.order("0000000000000003").is_some());
}

/// Guards against tasks that wait for the end of the lease after their worker has crashed.
#[rstest]
fn confirmed_runs_end_with_the_crash() {
    let mut agent = Agent::new();
    let start = agent.order("0000000000000001").expect("a start");
    agent.accept_start(start);
    agent.flush();
    agent.refuse_renewals(20);
    agent.flush();
    let ended = agent.ended("0000000000000001");
    assert_eq!(ended, Some(wire::RunOutcome::Crashed));
}

/// Guards against a run that is taken for ended because of refusals that are handled after the worker
/// has responded again.
#[rstest]
fn refusals_before_a_response_count_no_more() {
    let mut agent = Agent::new();
    agent.order("0000000000000001");
    let mut earlier = agent.renewals();
    for _ in 0..30 {
        agent.now_ms += 10;
        agent.flush();
        earlier.extend(agent.renewals());
    }
    assert!(earlier.len() >= 3, "{}", earlier.len());
    agent.now_ms += 5;
    agent.heartbeat(2);
    agent.flush();
    agent.answer_renewals(2);
    let start = agent.order("0000000000000002").expect("a start");
    agent.accept_start(start);
    for call in earlier {
        agent.refuse_renewal(call);
    }
    agent.flush();
    assert_eq!(agent.ended("0000000000000002"), None);
}
