//! Which starts are accepted.

use std::time::Duration;

use knapweedwall_core::agent::{Input, LedgerLimits, RunEnd};
use knapweedwall_wire::{Heartbeat, Outcome, ShardEpoch, frame::Body};
use rstest::rstest;

use crate::bench::{Bench, done, task};

#[rstest]
fn start_with_a_credit_runs() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let turn = bench.start(link, vec![task(1, 0, 1)]);
    assert_eq!(turn.runs.len(), 1);
    assert_eq!(turn.outcomes(link), []);
}

/// Guards against a second start of a task that runs, has ended or was settled, at its own epoch
/// and at a higher one.
#[rstest]
#[case::running(false, false, 1)]
#[case::running_and_fenced(false, false, 2)]
#[case::ended(true, false, 1)]
#[case::ended_and_fenced(true, false, 2)]
#[case::settled(true, true, 1)]
#[case::settled_and_fenced(true, true, 2)]
#[case::settled_while_running(false, true, 1)]
fn known_task_is_a_duplicate(#[case] end: bool, #[case] settle: bool, #[case] epoch: u64) {
    let mut bench = Bench::new(4);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    if end {
        bench.end(run, done("ok"));
    }
    if settle {
        bench.settle(link, 1);
    }
    let turn = bench.start(link, vec![task(1, 0, epoch)]);
    assert_eq!(turn.runs, []);
    assert_eq!(turn.outcomes(link), [Outcome::Duplicate]);
}

#[rstest]
fn settled_key_is_dropped_after_a_minute() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    bench.end(run, done("ok"));
    bench.settle(link, 1);
    bench.pass(Duration::from_secs(58), &[link]);
    let turn = bench.start(link, vec![task(1, 0, 1)]);
    assert_eq!(turn.outcomes(link), [Outcome::Duplicate]);
    bench.pass(Duration::from_secs(4), &[link]);
    let turn = bench.start(link, vec![task(1, 0, 1)]);
    assert_eq!(turn.runs.len(), 1);
}

/// Guards against a start by an owner that was replaced, whichever message raised the epoch.
#[rstest]
#[case::by_start(0)]
#[case::by_fence(1)]
#[case::by_heartbeat(2)]
fn superseded_epoch_is_refused(#[case] raised_by: u32) {
    let mut bench = Bench::new(4);
    let (old, new) = (bench.link(1), bench.link(2));
    match raised_by {
        0 => {
            let turn = bench.start(new, vec![task(7, 0, 5)]);
            assert_eq!(
                turn.outcomes(new),
                [Outcome::NoSlot],
                "refused, yet it raises the epoch"
            );
        }
        1 => {
            bench.fence(new, 0, 5);
        }
        _ => {
            let owned = vec![ShardEpoch { shard: 0, epoch: 5 }];
            let beat = Heartbeat {
                owned,
                ..Heartbeat::default()
            };
            bench.frame(new, Body::Heartbeat(beat));
        }
    }
    let turn = bench.start(old, vec![task(1, 0, 4)]);
    assert_eq!(turn.runs, []);
    assert_eq!(turn.outcomes(old), [Outcome::Superseded]);
    let other_shard = bench.start(old, vec![task(101, 0, 4)]);
    assert_eq!(other_shard.runs.len(), 1);
}

/// Guards against more running tasks than slots.
#[rstest]
fn start_without_a_credit_is_refused() {
    let mut bench = Bench::new(2);
    let link = bench.link(1);
    let turn = bench.start(link, vec![task(1, 0, 1), task(1, 1, 1), task(1, 2, 1)]);
    assert_eq!(turn.runs.len(), 2);
    assert_eq!(turn.outcomes(link), [Outcome::NoSlot]);
}

#[rstest]
#[case::entries(2, usize::MAX)]
#[case::bytes(usize::MAX, 2 * (1024 + 256))]
fn full_ledger_refuses(#[case] entries: usize, #[case] bytes: usize) {
    let limits = LedgerLimits {
        entries,
        bytes,
        settled: 10,
    };
    let mut bench = Bench::with_ledger(8, limits);
    let link = bench.link(1);
    let tasks = (0..3).map(|i| task(1, i, 1)).collect();
    let turn = bench.start(link, tasks);
    assert_eq!(turn.runs.len(), 2);
    assert_eq!(turn.outcomes(link), [Outcome::LedgerFull]);
    for run in turn.runs {
        bench.end(run, done(""));
    }
    bench.settle(link, 1);
    let turn = bench.start(link, vec![task(2, 0, 1)]);
    assert_eq!(turn.runs.len(), 1, "settling makes room");
}

/// Guards against a refused start that costs its credit for good.
#[rstest]
fn credit_of_a_refused_start_is_granted_again() {
    let mut bench = Bench::new(2);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    let turn = bench.start(link, vec![task(1, 0, 1)]);
    assert_eq!(turn.outcomes(link), [Outcome::Duplicate]);
    assert_eq!(turn.credits(link), 1);
    bench.end(run, done(""));
    assert_eq!(bench.agent.credits().granted(), 2);
}

/// Guards against an entry for a task that never left this process: its owner may start it again.
#[rstest]
fn task_that_never_left_can_start_again() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    let turn = bench.end(run, RunEnd::NotStarted("refused".into()));
    assert_eq!(turn.outcomes(link), [Outcome::Unreachable]);
    assert_eq!(bench.fence(link, 0, 1)[0].tasks, []);
    let turn = bench.start(link, vec![task(1, 0, 1)]);
    assert_eq!(turn.runs.len(), 1);
}

#[rstest]
fn unreachable_endpoint_takes_no_starts() {
    let mut bench = Bench::new(2);
    let link = bench.link(1);
    let turn = bench.turn(vec![Input::EndpointReachable(false)]);
    assert_eq!(turn.ready, Some(false));
    let turn = bench.start(link, vec![task(1, 0, 1)]);
    assert_eq!(turn.outcomes(link), [Outcome::Unreachable]);
    assert_eq!(turn.credits(link), 0);
}

#[rstest]
fn invalid_job_key_closes_the_link() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let mut start = task(1, 0, 1);
    start.job = bytes::Bytes::from_static(b"short");
    let turn = bench.start(link, vec![start]);
    assert_eq!(turn.closed, [(link, "invalid_frame")]);
}
