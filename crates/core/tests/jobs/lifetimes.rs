//! Evidence of one lifetime of a worker that is applied to runs of another one with the same id.

use knapweedwall_core::LinkKey;
use knapweedwall_core::executor::{Action, Input, RunLists, RunningRun, StartOutcome};
use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use rstest::rstest;

use crate::agent::{Agent, beat, first_run};
use crate::callers::Job;
use crate::fleet::Fleet;

const JOB: &str = "0000000000000001";
const OTHER: &str = "0000000000000002";

/// Guards against ends on the next lifetime of a worker that it forgets before its agent has read them,
/// because a cursor counts the ends of the lifetime before.
#[rstest]
fn cursors_do_not_cross_lifetimes(#[values(1, 5, 17, 40)] beat_ms: u64) {
    let mut faults = Vec::new();
    for offset_ms in 0..6 {
        let mut fleet = Fleet::new(2, &[(16_000, 2.0), (16_000, 0.7), (16_000, 0.7)], 1);
        for round in 0..20 {
            fleet.submit(round % 2, "patient", Job::new(2, 1_600, 50).durable());
            fleet.run(20);
        }
        fleet.run(2_500);
        let now_ms = fleet.now_ms;
        fleet.worker(0).crash_with_id(now_ms, 300);
        fleet.hosts[0].next_beat_ms = now_ms + 300 + offset_ms + beat_ms;
        fleet.run(298 + offset_ms);
        for round in 0..4 {
            fleet.submit(round % 2, "patient", Job::new(1, 1_600, 40).durable());
            fleet.run(1);
        }
        fleet.run(1_500);
        for fault in fleet.faults.iter().chain(&fleet.repeated()) {
            faults.push(format!("{offset_ms} ms: {fault}"));
        }
    }
    assert_eq!(faults, Vec::<String>::new());
}

/// Guards against runs of the next lifetime that are reported as ended because the deregistration of the
/// one before is handled late.
#[rstest]
fn late_deregistrations_end_no_later_runs() {
    let mut agent = Agent::new();
    agent.heartbeat(2);
    agent.flush();
    agent.answer_renewals(2);
    let start = agent.order(JOB).expect("a start");
    agent.accept_start(start);
    agent.input(Input::WorkerLeft {
        instance: "w".into(),
        incarnation: Some(1),
    });
    agent.flush();
    assert_eq!(agent.ended(JOB), None);
}

/// Guards against a task that crashes its worker before the start is confirmed, and is not counted.
#[rstest]
fn crashes_before_the_confirmation_count() {
    let mut agent = Agent::new();
    let start = agent.order(JOB).expect("a start");
    agent.input(Input::StartCompleted {
        call: start,
        outcome: StartOutcome::NoAnswer("connection reset".into()),
        clock_ms: None,
    });
    let mut elapsed_ms = 0;
    while agent.ended(JOB).is_none() && elapsed_ms < 3_000 {
        elapsed_ms += 5;
        agent.refuse_renewals(1);
    }
    let ended = agent.ended(JOB);
    assert_eq!(
        (ended, elapsed_ms < 200),
        (Some(wire::RunOutcome::Crashed), true),
        "after {elapsed_ms} ms"
    );
}

/// Guards against starts by the capacity and labels of the lifetime before.
#[rstest]
fn descriptions_do_not_cross_lifetimes() {
    let mut agent = Agent::new();
    let start = agent.order(JOB).expect("a start");
    agent.accept_start(start);
    agent.flush();
    agent.refuse_renewals(20);
    agent.now_ms += 200;
    agent.flush();
    agent.answer_renewals(2);
    assert_eq!(agent.order(OTHER), None);
}

/// Guards against claims of shards that wait for a worker that is down.
#[rstest]
fn claims_do_not_wait_for_a_dead_worker() {
    let mut slowest_ms = 0;
    for after_ms in (0..1_500).step_by(100) {
        let mut agent = Agent::new();
        let start = agent.order(JOB).expect("a start");
        agent.refuse_start(start);
        agent.flush();
        let mut answered_ms = None;
        for at_ms in (0..4_000).step_by(5) {
            agent.now_ms += 5;
            if at_ms == after_ms {
                let claim = wire::ShardClaim {
                    number: 1,
                    shards: vec![wire::ShardEpoch { shard: 1, epoch: 1 }],
                };
                agent.input(Input::Frame(LinkKey(7), Body::ShardClaim(claim)));
            }
            agent.input(Input::Tick);
            agent.flush();
            let answered = agent
                .out
                .iter()
                .any(|action| matches!(action, Action::Send(_, Body::ShardRuns(_))));
            if answered {
                answered_ms = answered_ms.or(Some(at_ms - after_ms));
            }
            for call in agent.renewals() {
                agent.refuse_renewal(call);
            }
        }
        slowest_ms = slowest_ms.max(answered_ms.unwrap_or(9_999));
    }
    assert!(slowest_ms <= 50, "{slowest_ms} ms");
}

/// Guards against more and more connection attempts while a worker is down.
#[rstest]
fn a_refusing_worker_is_called_seldom() {
    let mut agent = Agent::new();
    let start = agent.order(JOB).expect("a start");
    agent.refuse_start(start);
    agent.flush();
    let calls = agent.refuse_renewals(1_000);
    assert!(calls <= 15, "{calls} calls in 5 s");
}

/// Guards against runs of the next lifetime that are reported as ended because the description that the
/// agent resumed from has expired, and with it the id by which the lifetimes are compared.
#[rstest]
fn expired_descriptions_end_no_runs() {
    let mut agent = Agent::resumed(beat(1, 4));
    assert!(agent.usable);
    agent.run(1_690);
    // The worker has crashed without runs, and is back.
    let start = agent.order(JOB).expect("a start");
    agent.accept_start(start);
    agent.run(30);
    agent.input(Input::Heartbeat(beat(2, 1)));
    agent.flush();
    assert_eq!(agent.ended(JOB), None);
}

/// Guards against a start that is reported as ended while its call is still open: the agent stood still
/// for the length of a lease, and the next lifetime, whose clock starts anew, accepts it.
#[rstest]
fn open_starts_outlive_the_lease() {
    let mut agent = Agent::new();
    let start = agent.order(JOB).expect("a start");
    agent.now_ms += 1_100;
    agent.input(Input::Tick);
    agent.flush();
    let ended = agent.ended(JOB);
    agent.accept_start(start);
    agent.flush();
    assert_eq!(ended, None);
}

/// Guards against a worker that lists a run again which its agent took for ended.
#[rstest]
fn refused_resets_keep_what_the_next_lifetime_lists() {
    let mut agent = Agent::new();
    let start = agent.order(JOB).expect("a start");
    agent.refuse_renewals(30);
    assert_eq!(agent.ended(JOB), None);
    // The start was carried out by the next lifetime.
    agent.accept_start(start);
    agent.now_ms += 700;
    agent.flush();
    let running = RunningRun {
        run: first_run(JOB),
        percent: 3,
    };
    agent.answer_lists(&RunLists {
        incarnation: Some(2),
        running: vec![running],
        ..RunLists::default()
    });
    assert_eq!(agent.ended(JOB), None);
}

/// Guards against a run that is reported as ended because its worker has restarted twice, although only
/// the last lifetime may have accepted it: the heartbeats of both are handled after its start.
#[rstest]
fn starts_outlive_two_restarts() {
    let mut agent = Agent::new();
    agent.now_ms += 100;
    let start = agent.order(JOB).expect("a start");
    agent.now_ms += 2;
    agent.accept_start(start);
    agent.now_ms += 1;
    for incarnation in [2, 3] {
        agent.input(Input::Heartbeat(beat(incarnation, 1)));
        agent.now_ms += 1;
    }
    agent.flush();
    assert_eq!(agent.ended(JOB), None);
}

/// Guards against a start without a response that is kept for a second lease although its call has
/// failed: the failure is handled after the agent knows that the worker has restarted.
#[rstest]
fn failed_starts_end_with_the_lease() {
    let mut agent = Agent::new();
    let start = agent.order(JOB).expect("a start");
    agent.now_ms += 1;
    agent.input(Input::Heartbeat(beat(2, 1)));
    agent.flush();
    agent.input(Input::StartCompleted {
        call: start,
        outcome: StartOutcome::NoAnswer("connection reset".into()),
        clock_ms: None,
    });
    agent.run(1_200);
    assert!(agent.ended(JOB).is_some());
}

/// Guards against a kept start that is reported as ended because of a heartbeat of a lifetime before the
/// last one, under another id, that is handled late.
#[rstest]
fn old_heartbeats_end_no_kept_starts() {
    let mut agent = Agent::new();
    agent.heartbeat(5);
    agent.flush();
    agent.answer_renewals(5);
    agent.order(JOB).expect("a start");
    agent.refuse_renewals(10);
    let mut old = beat(3, 900);
    old.instance = "v".into();
    agent.input(Input::Heartbeat(old));
    agent.flush();
    assert_eq!(agent.ended(JOB), None);
}

/// Guards against a worker that is shut out for good because the clock of its host went back before it
/// started again, while a start was kept.
#[rstest]
fn earlier_clocks_shut_nobody_out() {
    let mut agent = Agent::new();
    agent.heartbeat(5);
    agent.flush();
    agent.answer_renewals(5);
    agent.order(JOB).expect("a start");
    agent.refuse_renewals(10);
    for number in 1..4 {
        let mut restarted = beat(3, number);
        restarted.instance = "v".into();
        agent.input(Input::Heartbeat(restarted));
        agent.refuse_renewals(300);
    }
    let mut restarted = beat(3, 4);
    restarted.instance = "v".into();
    agent.input(Input::Heartbeat(restarted));
    agent.flush();
    agent.answer_renewals(3);
    assert!(agent.order(OTHER).is_some());
}
