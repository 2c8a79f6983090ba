//! Owners of shards that have been cut off while other processes have taken their shards over.

use knapweedwall_core::scheduler::{Answer, CallKey, Input};
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

const WORKERS: [(u32, f64); 3] = [(8_000, 1.0), (8_000, 1.2), (8_000, 0.8)];

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Time after which a shard of a process that is cut off has another owner.
const TAKEOVER_MS: u64 = 9_000;

/// Time after which a request that cannot be answered is refused.
const REFUSED_MS: u64 = 1_200;

/// Jobs; some of them are in shards that were those of the process that is cut off.
const JOBS: usize = 16;

/// A fleet whose first entry process has been cut off from the others and the store, and jobs that have
/// been accepted meanwhile. What it does depends on the time since its last heartbeat to the store.
fn cut_off_fleet(after_ms: u64) -> (Fleet, Vec<usize>) {
    let mut fleet = Fleet::new(3, &WORKERS, 1);
    fleet.run(CLAIM_MS + after_ms);
    fleet.cut_peers(0, 1, true);
    fleet.cut_peers(0, 2, true);
    fleet.store.cut.push(0);
    fleet.run(TAKEOVER_MS);
    let jobs = (0..JOBS).map(|_| {
        let job = Job::new(2, 200, 4_000).durable();
        let caller = fleet.submit(1, "checks", job);
        fleet.run(20);
        caller
    });
    let jobs = jobs.collect();
    fleet.run(300);
    (fleet, jobs)
}

/// Guards against an owner that has lost its lease and tells callers that jobs do not exist which the next
/// owner has accepted: a cancel would be acknowledged, and the job would run on.
#[rstest]
fn a_stale_owner_denies_no_job(
    #[values(0, 150, 300, 450, 600, 750, 900)] after_ms: u64,
    #[values(false, true)] cancels: bool,
) {
    let (mut fleet, jobs) = cut_off_fleet(after_ms);
    for caller in &jobs {
        assert_eq!(fleet.answer_to(*caller), Some(&Answer::Accepted));
        let answer = if cancels {
            fleet.cancel(0, *caller)
        } else {
            fleet.query(0, *caller)
        };
        assert_eq!(answer, None, "caller {caller}");
    }
    fleet.run(REFUSED_MS);
    let refused = |answer: &&Answer| matches!(answer, Answer::NotRun { .. });
    assert_eq!(fleet.replies.values().filter(refused).count(), JOBS);
    fleet.cut_peers(0, 1, false);
    fleet.cut_peers(0, 2, false);
    fleet.store.cut.clear();
    fleet.run(6_000);
    for caller in jobs {
        assert_eq!(fleet.query(0, caller), Some(Answer::Completed));
    }
    fleet.assert_rules();
}

/// Guards against the same between the return of the store and the answer to the write that shows who
/// owns the shard.
#[rstest]
fn a_returned_owner_denies_no_job(#[values(0, 150, 300, 450, 600, 750, 900)] after_ms: u64) {
    let (mut fleet, jobs) = cut_off_fleet(after_ms);
    fleet.store.cut.clear();
    for _ in 0..20 {
        for caller in &jobs {
            let id = fleet.callers[*caller].request.id.clone();
            let call = CallKey(fleet.key());
            let input = Input::Query { call, id };
            fleet.entry_input(0, input);
        }
        fleet.run(25);
    }
    fleet.run(REFUSED_MS);
    assert!(
        !fleet
            .replies
            .values()
            .any(|answer| *answer == Answer::NoJob)
    );
}

/// Guards against requests on unknown jobs that are no longer answered by an owner with a lease.
#[rstest]
fn an_owner_denies_unknown_jobs(#[values(false, true)] cancels: bool) {
    let mut fleet = Fleet::new(3, &WORKERS, 1);
    fleet.run(CLAIM_MS);
    for number in 0..JOBS {
        let id = format!("{number:016x}").into();
        let answer = fleet.ask(number % 3, |call| {
            if cancels {
                Input::Cancel { call, id }
            } else {
                Input::Query { call, id }
            }
        });
        assert_eq!(answer, Some(Answer::NoJob));
    }
}
