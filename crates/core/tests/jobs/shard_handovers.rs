//! Runs of durable jobs while their shard changes hands, or while its owner may not act.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Event of a shard that its owner gives up without the store.
const RELINQUISHED: u16 = 326;

/// Time in which the next owner claims a shard and asks the agents for its runs.
const HANDOVER_MS: u64 = 100;

/// Two entry processes with one worker, and durable jobs of both.
fn fleet(seed: u64, run_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(2, &[(32_000, 1.0)], seed);
    fleet.run(CLAIM_MS);
    for round in 0..16 {
        let job = Job::new(1, 1_000, run_ms).durable();
        fleet.submit(round % 2, "patient", job);
    }
    fleet.run(100);
    fleet
}

/// Checks that all jobs end, and that the worker need not keep any of their ends.
fn assert_ended(fleet: &mut Fleet, ms: u64) {
    fleet.run(ms);
    for at in 0..fleet.callers.len() {
        assert_eq!(fleet.answer_to(at), Some(&Answer::Accepted), "job {at}");
        let state = fleet.query(at % 2, at);
        assert_eq!(state, Some(Answer::Completed), "job {at}");
    }
    assert_eq!(fleet.worker(0).listed_ends(), 0);
    fleet.assert_rules();
}

/// Guards against runs whose end only an earlier owner of the shard is told, because it has asked
/// for them on a new connection after the next owner: their jobs never end.
#[rstest]
#[case::ends_soon(1_500)]
#[case::ends_late(4_000)]
fn an_earlier_owner_takes_no_runs(#[case] run_ms: u64) {
    let mut fleet = fleet(1, run_ms);
    fleet.store.cut.push(0);
    while fleet.count(RELINQUISHED) == 0 {
        fleet.run(1);
    }
    fleet.run(HANDOVER_MS);
    fleet.reset_link(0, 0);
    fleet.run(500);
    fleet.store.cut.clear();
    assert_ended(&mut fleet, run_ms + 2_000);
    assert_eq!(fleet.starts(), 16);
}

/// Guards against ends that are never settled because they arrived while the owner had no lease:
/// the worker keeps them and all later ones, until its agent declines every order.
#[rstest]
#[case(3_900)]
#[case(4_200)]
#[case(4_600)]
fn ends_without_a_lease_are_settled(#[case] run_ms: u64) {
    let mut fleet = fleet(2, run_ms);
    fleet.store.down = true;
    fleet.run(4_800);
    fleet.store.down = false;
    assert_ended(&mut fleet, 8_000);
}

/// Two entry processes that do not reach each other, and a worker for each of them.
fn split_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(2, &[(32_000, 1.0), (32_000, 1.0)], seed);
    fleet.run(CLAIM_MS);
    fleet.cut_peers(0, 1, true);
    fleet.cut(1, 0, true);
    fleet.cut(0, 1, true);
    fleet
}

/// Guards against an owner that stood still until its shards had another owner, and takes the answer
/// to a write from before for a proof that it still owns them.
#[rstest]
fn an_old_answer_confirms_no_ownership() {
    let mut fleet = split_fleet(3);
    for _ in 0..16 {
        fleet.submit(0, "patient", Job::new(1, 1_000, 6_000).durable());
    }
    fleet.run(2);
    fleet.freeze_entry(0, true);
    fleet.run(14_000);
    fleet.freeze_entry(0, false);
    fleet.run(2_000);
    fleet.assert_rules();
}
/// Guards against a process that could read nothing for a while, because it stood still or had lost
/// the store, and then claims the shards of a living owner: it has not read its heartbeat since.
#[rstest]
#[case::stood_still(true)]
#[case::lost_the_store(false)]
fn an_old_heartbeat_is_no_death(#[case] frozen: bool) {
    let mut fleet = split_fleet(4);
    for _ in 0..16 {
        fleet.submit(0, "patient", Job::new(1, 1_000, 20_000).durable());
    }
    fleet.kill_entry(1);
    fleet.start_entry(1);
    fleet.run(1_500);
    if frozen {
        fleet.freeze_entry(1, true);
    } else {
        fleet.store.cut.push(1);
    }
    fleet.run(5_000);
    fleet.freeze_entry(1, false);
    fleet.store.cut.clear();
    fleet.run(6_000);
    fleet.assert_rules();
}

/// Guards against shards that wait twice as long for their next owner, because their last one has
/// written to them.
#[rstest]
fn busy_shards_are_taken_over_in_time() {
    let mut fleet = Fleet::new(3, &[(32_000, 1.0)], 5);
    fleet.run(CLAIM_MS);
    for at in 0..48 {
        fleet.submit(at % 3, "patient", Job::new(1, 500, 20).durable());
    }
    fleet.run(500);
    let first = fleet.callers.len();
    fleet.kill_entry(0);
    fleet.run(7_000);
    for at in 0..48 {
        fleet.submit(1 + at % 2, "patient", Job::new(1, 500, 20).durable());
    }
    fleet.run(300);
    for at in first..fleet.callers.len() {
        assert_eq!(fleet.answer_to(at), Some(&Answer::Accepted), "job {at}");
    }
    fleet.assert_rules();
}
