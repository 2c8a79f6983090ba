//! Messages with extreme or inconsistent values, which must not end a process.

use std::time::Duration;

use knapweedwall_core::executor;
use knapweedwall_core::job::{JobRequest, PhaseSpec, Resources, RunId, TaskId};
use knapweedwall_core::scheduler;
use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use proptest::prelude::*;
use rstest::rstest;

use crate::fleet::Fleet;

/// Number of inputs that a process gets in one case.
const INPUTS: usize = 12;

fn small() -> impl Strategy<Value = u32> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u32::MAX),
        Just(i32::MAX as u32),
        0..5_u32
    ]
}

fn large() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::MAX),
        Just(i64::MAX as u64),
        0..5_u64
    ]
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        Just(String::new()),
        Just("0000000000000000".to_owned()),
        Just("desk".to_owned()),
        Just("checks".to_owned()),
        "\\PC{0,8}",
    ]
}

prop_compose! {
    fn room()(cpu in small(), memory in small(), gpus in small()) -> wire::Room {
        Resources { cpu, memory, gpus }.into()
    }
}

prop_compose! {
    fn run()(job in text(), phase in small(), index in small(), attempt in small()) -> wire::RunRef {
        let task = TaskId { job: job.into(), phase, index };
        (&RunId { task, attempt }).into()
    }
}

prop_compose! {
    fn phase(position: u32)(
        count in 1..4_u32,
        resources in room(),
        estimate_ms in large(),
        after in proptest::collection::vec(0..=position, 0..3),
        spread in proptest::option::of(small()),
    ) -> PhaseSpec {
        PhaseSpec {
            count,
            resources: resources.into(),
            estimate: Duration::from_millis(estimate_ms),
            after: after.into_iter().filter(|phase| *phase < position).collect(),
            spread,
            ..PhaseSpec::default()
        }
    }
}

prop_compose! {
    fn job()(
        id in text(),
        phases in (phase(0), phase(1), phase(2)),
        wait_ms in proptest::option::of(large()),
        durable in any::<bool>(),
    ) -> JobRequest {
        JobRequest {
            id: id.into(),
            queue: "checks".into(),
            spec: "1:1:0".into(),
            phases: vec![phases.0, phases.1, phases.2],
            wait: wait_ms.map(Duration::from_millis),
            durable,
            unsupported: None,
        }
    }
}

prop_compose! {
    fn phase_order()(
        job in text(), phase in small(), spec in text(), room in room(), expected_ms in small(),
        slack_ms in prop_oneof![Just(i32::MIN), Just(i32::MAX), Just(0)], waits in any::<bool>(),
        tasks in proptest::collection::vec((small(), small()), 0..3), epoch in large(),
        group in text(), label in text(), hold_ms in small(),
    ) -> wire::PhaseOrder {
        let tasks = tasks.into_iter();
        let tasks = tasks.map(|(index, attempt)| wire::TaskAttempt { index, attempt });
        wire::PhaseOrder {
            job, phase, spec, room: Some(room), expected_ms, slack_ms, waits,
            tasks: tasks.collect(), epoch, group, label, hold_ms,
        }
    }
}

prop_compose! {
    fn orders()(
        number in large(), phases in proptest::collection::vec(phase_order(), 0..3),
        stops in proptest::collection::vec(run(), 0..3),
        settled in proptest::collection::vec(run(), 0..3),
        voided in proptest::collection::vec(run(), 0..3), reports_seen in large(),
    ) -> Body {
        let claims = Vec::new();
        Body::RunOrders(wire::RunOrders {
            number, phases, stops, claims, settled, voided, reports_seen,
        })
    }
}

prop_compose! {
    fn run_report()(
        run in run(), outcome in 0..12_i32, run_ms in small(), kept in any::<bool>(),
        blame in small(), suspect in any::<bool>(), alone in any::<bool>(),
        unconfirmed in any::<bool>(),
    ) -> wire::RunReport {
        let crash = wire::CrashEvidence { blame, suspect, alone, age_ms: run_ms, unconfirmed };
        wire::RunReport { run: Some(run), outcome, run_ms, kept, crash: Some(crash) }
    }
}

prop_compose! {
    fn worker_state()(
        free in proptest::option::of(room()), waiting_cpu in small(), usable in any::<bool>(),
        idle in any::<bool>(), group in text(),
    ) -> wire::WorkerState {
        wire::WorkerState { free, waiting_cpu, usable, idle, group }
    }
}

prop_compose! {
    fn reports()(
        number in large(), orders_seen in large(), listing in any::<bool>(),
        reports in proptest::collection::vec(run_report(), 0..3),
        open in proptest::collection::vec(run(), 0..3), state in worker_state(),
        capacity in room(), service in text(),
    ) -> Body {
        Body::RunReports(wire::RunReports {
            number, orders_seen, listing, open, reports,
            worker: Some(state),
            profile: Some(wire::WorkerProfile {
                instance: "i-1".into(), service, labels: Vec::new(), capacity: Some(capacity),
            }),
        })
    }
}

/// A frame that the receiver may or may not expect.
fn frame() -> impl Strategy<Value = Body> {
    let beat = (large(), text(), text()).prop_map(|(reports_seen, name, address)| {
        let entries = vec![wire::EntryAddress { name, address }];
        Body::OwnerBeat(wire::OwnerBeat {
            reports_seen,
            entries,
        })
    });
    let shard_claim = (large(), small(), large()).prop_map(|(number, shard, epoch)| {
        let shards = vec![wire::ShardEpoch { shard, epoch }];
        Body::ShardClaim(wire::ShardClaim { number, shards })
    });
    let peer_beat = (small(), large(), text(), small()).prop_map(|(shard, epoch, queue, jobs)| {
        let count = wire::QueueCount {
            queue: queue.clone(),
            jobs,
            shard: jobs,
            age_ms: shard,
        };
        Body::PeerBeat(wire::PeerBeat {
            owned: vec![wire::ShardEpoch { shard, epoch }],
            waiting: vec![count.clone()],
            orphaned: vec![count],
            eligible: true,
            relinquished: vec![wire::ShardEpoch { shard, epoch }],
            config_version: epoch,
            blame: vec![wire::QueueBlame {
                queue,
                blame: jobs,
                proved: shard,
            }],
            isolating: jobs % 2 == 1,
            number: epoch,
            beat_seen: epoch.wrapping_mul(7),
            held: vec![epoch, u64::from(shard), epoch],
            awaiting: vec![u64::from(jobs)],
            lost: vec![epoch],
            reply: jobs.is_multiple_of(3),
            ended: jobs.is_multiple_of(5),
        })
    });
    let cancel = text().prop_map(|job| Body::CancelRuns(wire::CancelRuns { job }));
    let join = (large(), text(), small()).prop_map(|(number, job, wait_ms)| {
        let join = wire::Join { job, wait_ms };
        let call = Some(wire::job_call::Call::Join(join));
        Body::JobCall(wire::JobCall { number, call })
    });
    prop_oneof![
        orders(),
        reports(),
        beat,
        shard_claim,
        peer_beat,
        cancel,
        join
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Guards against a job with extreme estimates, sizes or time limits that ends an entry process.
    #[test]
    fn jobs_do_not_end_an_entry_process(jobs in proptest::collection::vec(job(), INPUTS)) {
        let mut fleet = Fleet::new(1, &[(8_000, 1.0)], 1);
        for (call, job) in jobs.into_iter().enumerate() {
            let call = scheduler::CallKey(1_000_000 + call as u64);
            fleet.entry_input(0, scheduler::Input::Submit { call, job: Box::new(job) });
            fleet.run(2);
        }
        fleet.run(100);
        prop_assert!(fleet.has_entry(0));
    }

    /// Guards against a frame that ends an entry process or an agent: only its sender's connection
    /// may end.
    #[test]
    fn frames_do_not_end_a_process(frames in proptest::collection::vec(frame(), INPUTS)) {
        let mut fleet = Fleet::new(2, &[(8_000, 1.0)], 1);
        for body in frames {
            if let Some(key) = fleet.links[&(0, 0)].key {
                fleet.entry_input(0, scheduler::Input::Frame(key, body.clone()));
            }
            if let Some(key) = fleet.links[&(0, 0)].key {
                fleet.agent_input(0, executor::Input::Frame(key, body.clone()));
            }
            let peer = fleet.peers[0].key;
            if let Some(key) = peer {
                fleet.entry_input(1, scheduler::Input::Frame(key, body));
            }
            fleet.run(3);
        }
        fleet.run(100);
        prop_assert!(fleet.has_entry(0) && fleet.has_entry(1) && fleet.has_agent(0));
    }

    /// Guards against answers and heartbeats of a worker that end its agent.
    #[test]
    fn answers_do_not_end_an_agent(
        clocks in proptest::collection::vec((large(), large(), large(), room()), INPUTS),
    ) {
        let mut fleet = Fleet::new(1, &[(8_000, 1.0)], 1);
        for (clock_ms, incarnation, number, capacity) in clocks {
            let heartbeat = executor::Heartbeat {
                instance: "i-1".into(),
                incarnation,
                service: "desk".into(),
                labels: Vec::new(),
                capacity: capacity.into(),
                draining: false,
                number,
            };
            fleet.agent_input(0, executor::Input::RegistrationFound(heartbeat.clone()));
            fleet.agent_input(0, executor::Input::Heartbeat(heartbeat));
            let lists = executor::RunLists { incarnation: Some(incarnation), ..Default::default() };
            for call in 1..80 {
                fleet.agent_input(0, executor::Input::RenewalCompleted {
                    call: executor::CallKey(call),
                    outcome: executor::RenewalOutcome::Renewed(lists.clone()),
                    clock_ms: Some(clock_ms),
                });
            }
            fleet.run(5);
        }
        prop_assert!(fleet.has_agent(0));
    }
}

/// Guards against a chain of phases whose estimates add up to more than a duration holds.
#[rstest]
#[case::chain(256)]
#[case::single(1)]
fn long_chains_do_not_end_an_entry_process(#[case] phases: u32) {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0)], 1);
    let phases = (0..phases).map(|at| PhaseSpec {
        count: 1,
        estimate: Duration::from_millis(u64::MAX),
        after: at.checked_sub(1).into_iter().collect(),
        ..PhaseSpec::default()
    });
    let job = JobRequest {
        id: "00000000000000ff".into(),
        queue: "checks".into(),
        spec: "1:1:0".into(),
        phases: phases.collect(),
        wait: Some(Duration::from_millis(u64::MAX)),
        durable: false,
        unsupported: None,
    };
    let call = scheduler::CallKey(1_000_000);
    let job = Box::new(job);
    fleet.entry_input(0, scheduler::Input::Submit { call, job });
    fleet.run(500);
    assert!(fleet.has_entry(0));
}
