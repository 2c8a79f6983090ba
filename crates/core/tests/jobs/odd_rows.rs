//! Rows of jobs that another program left in the store.

use bytes::Bytes;
use knapweedwall_core::Shard;
use knapweedwall_core::job::SHARD_COUNT;
use knapweedwall_core::scheduler::Answer;
use knapweedwall_wire as wire;
use prost::Message;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Id of the odd row.
const ODD: &str = "00000000000000ff";

fn phase() -> wire::StoredPhase {
    wire::StoredPhase {
        count: 1,
        estimate_ms: 50,
        ..wire::StoredPhase::default()
    }
}

/// A job of these phases.
fn job(phases: Vec<wire::StoredPhase>) -> wire::StoredJob {
    wire::StoredJob {
        id: ODD.to_owned(),
        queue: "patient".to_owned(),
        spec: "500:50:0".to_owned(),
        phases,
        attempts: 2,
        ..wire::StoredJob::default()
    }
}

fn encoded(phases: Vec<wire::StoredPhase>) -> Bytes {
    job(phases).encode_to_vec().into()
}

/// Guards against an entry process that ends again and again, or takes over no jobs, because of one row.
#[rstest]
#[case::no_message(Bytes::from_static(b"[[[[[[[["))]
#[case::empty(Bytes::new())]
#[case::late_phase(encoded(vec![wire::StoredPhase { after: vec![7], ..phase() }]))]
#[case::own_phase(encoded(vec![wire::StoredPhase { after: vec![0], ..phase() }]))]
#[case::many_tasks(encoded(vec![wire::StoredPhase { count: u32::MAX, ..phase() }]))]
#[case::many_phases(encoded(vec![phase(); 5_000]))]
#[case::many_superseded(encoded(vec![wire::StoredPhase { superseded: vec![u32::MAX; 50], ..phase() }]))]
#[case::large_failure(encoded(vec![wire::StoredPhase {
    failures: vec![wire::TaskFailures {
        index: u32::MAX,
        runs: u32::MAX,
        attempt: u32::MAX,
        crashes: u32::MAX,
        crash_attempt: u32::MAX,
        min_age_ms: u32::MAX,
        unconfirmed_crashes: u32::MAX,
        ..wire::TaskFailures::default()
    }],
    ..phase()
}]))]
#[case::large_times(wire::StoredJob {
    ended_ms: u64::MAX,
    arrived_ms: u64::MAX,
    target_ms: u32::MAX,
    stretch: f64::MAX,
    end: wire::JobAnswer::Completed.into(),
    ..job(vec![phase()])
}.encode_to_vec().into())]
#[case::other_id(wire::StoredJob { id: "x".repeat(300), ..job(vec![phase()]) }.encode_to_vec().into())]
fn an_odd_row_ends_no_process(#[case] value: Bytes) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0)], 1);
    fleet.run(3_000);
    for round in 0..8 {
        fleet.submit(round % 2, "patient", Job::new(2, 500, 1_500).durable());
    }
    fleet.run(100);
    for shard in 0..SHARD_COUNT {
        fleet.store.put_job(Shard(shard), ODD, value.clone());
    }
    for at in 0..2 {
        fleet.kill_entry(at);
        fleet.run(300);
        fleet.start_entry(at);
        fleet.run(2_500);
    }
    fleet.run(9_000);
    for at in 0..8 {
        let state = fleet.query(at % 2, at);
        assert_eq!(state, Some(Answer::Completed), "job {at}");
    }
    let last = fleet.submit(0, "checks", Job::new(2, 500, 50));
    fleet.finish(2_000);
    assert_eq!(fleet.answer_to(last), Some(&Answer::Completed));
    fleet.assert_rules();
}
