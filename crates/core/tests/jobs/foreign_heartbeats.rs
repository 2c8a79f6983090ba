//! Heartbeats that the worker did not send, or sent in an earlier lifetime.
//!
//! Invariant: what a heartbeat says of a lifetime takes effect only once the worker has named that
//! lifetime in a response. Until then no run counts as ended, and the worker stays in use.

use knapweedwall_core::executor::{Heartbeat, Input};
use knapweedwall_core::job::Resources;
use knapweedwall_wire as wire;
use rstest::rstest;

use crate::agent::{Agent, beat};
use crate::callers::Job;
use crate::fleet::Fleet;

const JOB: &str = "0000000000000001";
const OTHER: &str = "0000000000000002";

/// Guards against running tasks that are reported as lost, and a worker that is not used again, because
/// of a heartbeat of another writer.
#[rstest]
fn runs_outlive_a_foreign_heartbeat(
    #[values("w", "other", "")] instance: &str,
    #[values(0, 2, 9_000, u64::MAX)] incarnation: u64,
    #[values(0, 1, u64::MAX)] number: u64,
    #[values(false, true)] draining: bool,
) {
    let mut agent = Agent::new();
    let start = agent.order(JOB).expect("a start");
    agent.accept_start(start);
    agent.input(Input::Heartbeat(Heartbeat {
        instance: instance.into(),
        draining,
        ..beat(incarnation, number)
    }));
    agent.flush();
    assert_eq!((agent.ended(JOB), agent.usable), (None, true));
    agent.run(20);
    agent.answer_running(1, JOB);
    agent.heartbeat(1);
    agent.run(30);
    agent.answer_running(1, JOB);
    assert_eq!((agent.ended(JOB), agent.usable), (None, true));
    let other = agent.order(OTHER).expect("a start");
    agent.accept_start(other);
    agent.flush();
    assert_eq!(agent.ended(OTHER), None);
}

/// Guards against a heartbeat of the present lifetime that names another instance: calls to that instance
/// would be refused, which counts as the end of all runs.
#[rstest]
fn calls_stay_with_the_instance() {
    let mut agent = Agent::new();
    agent.out.clear();
    agent.input(Input::Heartbeat(Heartbeat {
        instance: "other".into(),
        ..beat(1, 70)
    }));
    agent.flush();
    let redirected = agent.redirections();
    assert_eq!(redirected, Vec::<String>::new());
}

/// Guards against a restarted agent that takes a foreign heartbeat for its worker before it has read the
/// lists, and does not follow the worker any more.
#[rstest]
fn an_early_foreign_heartbeat_is_dropped(#[values(3, u64::MAX)] incarnation: u64) {
    let mut agent = Agent::unread();
    agent.input(Input::Heartbeat(Heartbeat {
        instance: "other".into(),
        ..beat(incarnation, 1)
    }));
    agent.flush();
    agent.answer_renewals(2);
    agent.heartbeat(2);
    agent.flush();
    agent.run(20);
    agent.answer_renewals(2);
    agent.order(JOB).expect("a start");
}

/// Guards against a worker that is not followed because its clock went back between two lifetimes.
#[rstest]
fn an_earlier_start_time_is_followed(#[values(false, true)] busy: bool) {
    let mut agent = Agent::unread();
    agent.heartbeat(5_000);
    agent.flush();
    agent.answer_renewals(5_000);
    if busy {
        let start = agent.order(JOB).expect("a start");
        agent.accept_start(start);
    }
    agent.input(Input::Heartbeat(beat(3_000, 1)));
    for _ in 0..6 {
        agent.run(20);
        agent.answer_renewals(3_000);
    }
    let lost = busy.then_some(wire::RunOutcome::Crashed);
    assert_eq!(agent.ended(JOB), lost);
    agent.order(OTHER).expect("a start");
}

/// Sends a heartbeat of another writer, or of an earlier lifetime, with fields at random.
fn send_foreign(fleet: &mut Fleet, host: usize) {
    let worker = fleet.worker(host);
    let (instance, born, cpu) = (worker.instance(), worker.born, worker.cpu);
    let instance = match fleet.random(3) {
        0 => instance,
        1 => "w-77".to_owned(),
        _ => String::new(),
    };
    let incarnation = match fleet.random(4) {
        0 => born - 1 - fleet.random(900),
        1 => born + 1 + fleet.random(5_000),
        2 => fleet.random(100_000),
        _ => u64::MAX - fleet.random(5),
    };
    if incarnation == born {
        return;
    }
    let heartbeat = Heartbeat {
        instance: instance.into(),
        incarnation,
        service: "desk".into(),
        labels: vec!["b".into()],
        capacity: Resources {
            cpu: cpu * 2,
            memory: 64_000,
            gpus: 0,
        },
        draining: fleet.random(3) == 0,
        number: fleet.random(1_000),
    };
    fleet.agent_input(host, Input::Heartbeat(heartbeat));
}

/// Guards against second runs, starts beyond the capacity and tasks that stay undone, whatever foreign
/// heartbeats come beside restarts of workers and agents.
#[rstest]
fn rules_hold_beside_foreign_heartbeats(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64,
    #[values(false, true)] durable: bool,
) {
    let workers = [(8_000, 0.7), (8_000, 1.7), (8_000, 1.0)];
    let mut fleet = Fleet::new(2, &workers, seed);
    fleet.run(3_000);
    for _ in 0..300 {
        let host = usize::try_from(fleet.random(3)).unwrap();
        let now_ms = fleet.now_ms;
        match fleet.random(14) {
            0..6 => send_foreign(&mut fleet, host),
            6 => fleet.worker(host).restart_with_id(now_ms),
            7 => fleet.worker(host).restart(now_ms),
            8 => fleet.worker(host).crash_with_id(now_ms, 300),
            9 => fleet.kill_agent(host),
            _ => {}
        }
        for host in 0..3 {
            if !fleet.has_agent(host) && fleet.random(4) == 0 {
                fleet.start_agent(host);
            }
        }
        let entry = usize::try_from(fleet.random(2)).unwrap();
        let run_ms = 20 + fleet.random(900);
        let job = Job::new(2, 1_000, run_ms);
        let job = if durable { job.durable() } else { job };
        fleet.submit(entry, "patient", job);
        let pause_ms = 1 + fleet.random(60);
        fleet.run(pause_ms);
    }
    for host in 0..3 {
        if !fleet.has_agent(host) {
            fleet.start_agent(host);
        }
    }
    fleet.run(15_000);
    fleet.assert_rules();
    let last = fleet.submit(0, "checks", Job::new(4, 1_000, 50));
    fleet.finish(15_000);
    let answer = fleet.answer_to(last);
    assert_eq!(
        answer,
        Some(&knapweedwall_core::scheduler::Answer::Completed)
    );
}
