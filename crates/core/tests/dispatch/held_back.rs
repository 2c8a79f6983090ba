//! Workers that fail what they start.

use std::time::Duration;

use knapweedwall_core::dispatch::{TaskEnd, WorkerKey};
use rstest::rstest;

use crate::bench::Bench;

const FAILED: TaskEnd = TaskEnd::Failed {
    run: Duration::from_millis(1),
};

/// Starts and ends single tasks for `ms`, one each millisecond and free slot; tasks on the workers
/// in `bad` fail. Returns how many tasks those workers got.
fn serve(bench: &mut Bench, ms: u64, bad: &[WorkerKey]) -> usize {
    let mut got = 0;
    for _ in 0..ms {
        bench.pass(1);
        let id = format!("j{}", bench.now.mono.as_micros());
        bench.submit(&id, "plain", "t", 8);
        for assignment in bench.start_all() {
            if bad.contains(&assignment.worker) {
                got += 1;
                bench.end(assignment, FAILED);
            } else {
                bench.done(assignment, 10);
            }
        }
    }
    got
}

fn held(bench: &Bench) -> Vec<String> {
    let status = bench.dispatcher.status(bench.now);
    let held = status.workers.into_iter().filter(|w| w.held_back);
    held.map(|w| w.name.to_string()).collect()
}

/// Guards against a worker that fails at once drawing most of the work.
#[rstest]
fn a_failing_worker_gets_only_trials() {
    let mut bench = Bench::new();
    let bad = bench.worker("bad", 2);
    bench.worker("good", 2);
    bench.worker("fine", 2);
    serve(&mut bench, 100, &[bad]);
    assert_eq!(held(&bench), ["bad"]);
    let trials = serve(&mut bench, 31_000, &[bad]);
    // After 1, 3, 7, 15 and 23 s; the next one follows at 31 s.
    assert!((5..=6).contains(&trials), "{trials} trials in 31 s");
}

/// Guards against a repaired worker that never gets work again.
#[rstest]
#[case::soon(100, 3_000)]
#[case::after_failed_trials(60_000, 11_000)]
fn a_repaired_worker_returns(#[case] broken_ms: u64, #[case] back_ms: u64) {
    let mut bench = Bench::new();
    let bad = bench.worker("bad", 2);
    bench.worker("good", 2);
    serve(&mut bench, broken_ms, &[bad]);
    assert_eq!(held(&bench), ["bad"]);
    serve(&mut bench, back_ms, &[]);
    assert_eq!(held(&bench), [""; 0]);
}

/// Guards against losing most of the fleet to evidence that speaks against the tasks.
#[rstest]
fn at_most_half_are_held_back() {
    let mut bench = Bench::new();
    let workers: Vec<_> = (0..5).map(|w| bench.worker(&format!("w{w}"), 2)).collect();
    serve(&mut bench, 1_000, &workers[..4]);
    assert_eq!(held(&bench).len(), 2);
    let names: Vec<String> = held(&bench);
    let kept: Vec<usize> = (0..5)
        .filter(|w| names.contains(&format!("w{w}")))
        .collect();
    for (place, worker) in workers.iter().enumerate() {
        if !kept.contains(&place) {
            bench.dispatcher.remove_worker(*worker);
        }
    }
    assert_eq!(held(&bench).len(), 1);
}

/// Guards against holding workers back when a class of tasks fails everywhere.
#[rstest]
fn a_failing_class_holds_nobody_back() {
    let mut bench = Bench::new();
    for worker in 0..4 {
        bench.worker(&format!("w{worker}"), 2);
    }
    for round in 0..2_000 {
        bench.pass(1);
        bench.submit(&format!("b{round}"), "bulk", "t", 4);
        bench.submit(&format!("p{round}"), "plain", "t", 4);
        for (place, assignment) in bench.start_all().into_iter().enumerate() {
            // Half of the tasks fail, in an order that differs from round to round.
            let fails = (place + round * round / 3) % 2 == 0;
            let done = TaskEnd::Done {
                run: Duration::from_millis(9),
            };
            bench.end(assignment, if fails { FAILED } else { done });
        }
    }
    assert_eq!(held(&bench), [""; 0]);
}

/// Guards against credits that are stuck at a process that does not use them.
#[rstest]
fn credits_of_a_held_back_worker_can_be_recalled() {
    let mut bench = Bench::new();
    let bad = bench.worker("bad", 2);
    bench.worker("good", 2);
    serve(&mut bench, 100, &[bad]);
    assert_eq!(bench.dispatcher.recall_credits(bad, 8), 2);
}

/// Guards against a failing worker that gets a fresh start by reconnecting.
#[rstest]
fn evidence_survives_a_reconnect() {
    let mut bench = Bench::new();
    let bad = bench.worker("bad", 2);
    bench.worker("good", 2);
    serve(&mut bench, 100, &[bad]);
    bench.dispatcher.remove_worker(bad);
    bench.worker("bad", 2);
    assert_eq!(held(&bench), ["bad"]);
}
