//! Ends `done` of runs that were taken for lost, and that a later owner of the shard learns of.
//!
//! Invariant: before a durable task is started again while an earlier attempt of it may have ended
//! unknown to its owner, the row of its job says that this attempt no longer counts.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Runs of jobs that need not be kept, so that the leases of the workers go on.
fn keep_leases(fleet: &mut Fleet, entry: usize, jobs: u64, run_ms: u64) {
    for _ in 0..jobs {
        fleet.submit(entry, "patient", Job::new(1, 500, run_ms));
        fleet.run(5);
    }
}

fn assert_completed(fleet: &mut Fleet) {
    fleet.assert_rules();
    for at in 0..fleet.callers.len() {
        if fleet.answer_to(at) == Some(&Answer::Accepted) {
            let state = fleet.query(at % 2, at);
            assert_eq!(state, Some(Answer::Completed), "job {at}");
        }
    }
}

/// Guards against a task that runs twice to its end: the first end is counted by the next owner of the
/// shard, which does not know that the task was started again.
#[rstest]
fn the_next_owner_counts_no_superseded_end(
    #[values(0, 1, 2)] host: usize,
    #[values(300, 700)] run_ms: u64,
    #[values(false, true)] killed: bool,
    #[values(2_300, 2_900, 4_500)] stop_ms: u64,
) {
    let mut fleet = Fleet::new(3, &[(16_000, 1.0), (16_000, 1.0), (16_000, 1.0)], 1);
    fleet.run(CLAIM_MS);
    keep_leases(&mut fleet, 1, 20, 60_000);
    keep_leases(&mut fleet, 2, 20, 60_000);
    for round in 0..24 {
        fleet.submit(round % 3, "patient", Job::new(1, 500, run_ms).durable());
    }
    fleet.run(150);
    fleet.cut(0, host, true);
    fleet.run(stop_ms);
    if killed {
        fleet.kill_entry(0);
        fleet.run(300);
    } else {
        fleet.stop_entry(0);
        fleet.run(400);
    }
    fleet.cut(0, host, false);
    fleet.run(2_000);
    if !fleet.has_entry(0) {
        fleet.start_entry(0);
    }
    fleet.run(12_000);
    assert_completed(&mut fleet);
}

/// Guards against the same in whatever order paths are lost and owners change.
#[rstest]
fn cuts_and_changes_of_owners_count_each_task_once(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] seed: u64,
) {
    let mut fleet = Fleet::new(3, &[(24_000, 1.0), (24_000, 0.8), (24_000, 1.3)], seed);
    fleet.run(CLAIM_MS);
    for _ in 0..25 {
        let entry = usize::try_from(fleet.random(3)).unwrap();
        if fleet.has_entry(entry) && fleet.random(3) == 0 {
            keep_leases(&mut fleet, entry, 6, 6_000);
        }
        for _ in 0..4 {
            let entry = usize::try_from(fleet.random(3)).unwrap();
            let run_ms = 50 + fleet.random(1_200);
            if fleet.has_entry(entry) {
                let job = Job::new(1 + (run_ms % 3) as u32, 500, run_ms).durable();
                fleet.submit(entry, "patient", job);
            }
            let pause_ms = fleet.random(80);
            fleet.run(pause_ms);
        }
        let (entry, host) = (fleet.random(3) as usize, fleet.random(3) as usize);
        fleet.cut(entry, host, true);
        let wait_ms = 500 + fleet.random(2_500);
        fleet.run(wait_ms);
        match fleet.random(4) {
            0 => fleet.kill_entry(entry),
            1 if fleet.has_entry(entry) => fleet.stop_entry(entry),
            2 => fleet.reset_link((entry + 1) % 3, host),
            _ => {}
        }
        let wait_ms = fleet.random(800);
        fleet.run(wait_ms);
        for entry in 0..3 {
            for host in 0..3 {
                if fleet.random(2) == 0 {
                    fleet.cut(entry, host, false);
                }
            }
            if !fleet.has_entry(entry) {
                fleet.start_entry(entry);
            }
        }
    }
    for entry in 0..3 {
        for host in 0..3 {
            fleet.cut(entry, host, false);
        }
    }
    fleet.run(8_000);
    for entry in 0..3 {
        if !fleet.has_entry(entry) {
            fleet.start_entry(entry);
        }
    }
    fleet.run(25_000);
    assert_completed(&mut fleet);
}
