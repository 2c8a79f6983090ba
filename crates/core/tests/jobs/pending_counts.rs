//! Counts of jobs that wait for their first start, beside the loss and start of entry processes.

use knapweedwall_core::scheduler::{Answer, CallKey, Input};
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

const WORKERS: [(u32, f64); 3] = [(8_000, 1.0), (8_000, 1.2), (8_000, 0.8)];

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Jobs; each entry process owns the shards of some of them.
const JOBS: u32 = 24;

/// Time after the start or the loss of a process from which on counts are judged: a count may be 2 s old.
const COUNT_AGE_MS: u64 = 2_000;

/// Time until all shards of a lost process have another owner.
const TAKEOVER_MS: u64 = 12_000;

/// A fleet with jobs that wait for a worker which is not there.
fn waiting_fleet() -> Fleet {
    let mut fleet = Fleet::new(3, &WORKERS, 1);
    fleet.run(CLAIM_MS);
    for round in 0..JOBS as usize {
        let job = Job::new(1, 500, 100).label("absent").durable();
        fleet.submit(round % 3, "checks", job);
        fleet.run(20);
    }
    fleet.run(1_000);
    fleet
}

/// Lets time pass, and checks that all entry processes count all jobs. Counts of those that have not run
/// for [`COUNT_AGE_MS`] are not judged.
fn assert_counts(fleet: &mut Fleet, ms: u64, started_ms: [u64; 3]) {
    let end_ms = fleet.now_ms + ms;
    while fleet.now_ms < end_ms {
        fleet.run(50);
        for (entry, started_ms) in started_ms.iter().enumerate() {
            if !fleet.has_entry(entry) || fleet.now_ms < started_ms + COUNT_AGE_MS {
                continue;
            }
            let call = CallKey(fleet.key());
            let queue = "checks".into();
            fleet.entry_input(entry, Input::CountPending { call, queue });
            let answer = fleet.replies.remove(&call.0);
            assert_eq!(
                answer,
                Some(Answer::Pending(JOBS)),
                "entry {entry} at {} ms",
                fleet.now_ms
            );
        }
    }
}

/// Guards against a new entry process that leaves out the jobs of a lost one until its shards have another
/// owner, and against processes that count them twice afterwards.
#[rstest]
fn counts_outlive_their_process(
    #[values(0, 1, 2)] lost: usize,
    #[values(300, 2_000, 4_000)] replaced_ms: u64,
) {
    let mut fleet = waiting_fleet();
    let mut started_ms = [fleet.now_ms; 3];
    fleet.kill_entry(lost);
    assert_counts(&mut fleet, replaced_ms, started_ms);
    fleet.start_entry(lost);
    started_ms[lost] = fleet.now_ms;
    assert_counts(&mut fleet, TAKEOVER_MS, started_ms);
}

/// Guards against the same when a second process is lost before the shards of the first one have an owner.
#[rstest]
fn counts_outlive_two_processes(#[values(300, 1_000, 2_500)] gap_ms: u64) {
    let mut fleet = waiting_fleet();
    let mut started_ms = [fleet.now_ms; 3];
    fleet.kill_entry(0);
    fleet.run(gap_ms);
    fleet.start_entry(0);
    started_ms[0] = fleet.now_ms;
    fleet.run(gap_ms);
    fleet.kill_entry(1);
    assert_counts(&mut fleet, TAKEOVER_MS, started_ms);
}

/// Guards against jobs that nobody counts while a planned stop hands their shards over.
#[rstest]
fn counts_survive_planned_stops(#[values(0, 1, 2)] stopped: usize) {
    let mut fleet = waiting_fleet();
    let started_ms = [fleet.now_ms; 3];
    fleet.stop_entry(stopped);
    fleet.run(COUNT_AGE_MS);
    assert_counts(&mut fleet, TAKEOVER_MS, started_ms);
}
