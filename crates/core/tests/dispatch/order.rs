//! Order in which waiting tasks start.

use rstest::rstest;

use crate::bench::{Bench, task};

/// Guards against bulk work that arrived first delaying short work.
#[rstest]
fn earliest_deadline_first() {
    let mut bench = Bench::new();
    bench.submit("b", "bulk", "t", 2);
    bench.pass(100);
    bench.submit("p", "plain", "t", 1);
    bench.submit("s", "short", "t", 1);
    bench.worker("w", 4);
    let started: Vec<_> = bench.start_all().iter().map(|a| a.task).collect();
    assert_eq!(
        started,
        [task("s", 0), task("p", 0), task("b", 0), task("b", 1)]
    );
}

/// Guards against bulk work that never starts because newer short work keeps arriving.
#[rstest]
fn overdue_bulk_starts() {
    let mut bench = Bench::new();
    bench.submit("b", "bulk", "t", 1);
    bench.pass(4 * 60_000 - 100);
    bench.submit("s", "short", "t", 1);
    bench.worker("w", 1);
    assert_eq!(bench.start_all()[0].task, task("b", 0));
}

/// Guards against interleaved jobs, which would delay the end of the first.
#[rstest]
fn tasks_of_a_job_follow() {
    let mut bench = Bench::new();
    bench.submit("a", "plain", "t", 3);
    bench.submit("b", "plain", "u", 3);
    bench.worker("w", 6);
    let started: Vec<_> = bench.start_all().iter().map(|a| a.task).collect();
    let expected: Vec<_> = ["a", "b"]
        .iter()
        .flat_map(|j| (0..3).map(move |i| task(j, i)))
        .collect();
    assert_eq!(started, expected);
}

/// Guards against a task that did not start going to the end of the queue.
#[rstest]
fn requeued_task_keeps_its_place() {
    let mut bench = Bench::new();
    bench.submit("a", "plain", "t", 2);
    bench.submit("b", "plain", "t", 1);
    bench.worker("w", 2);
    let started = bench.start_all();
    let worker = started[0].worker;
    let ended = knapweedwall_core::dispatch::TaskEnd::NotStarted;
    bench
        .dispatcher
        .task_ended(bench.now, started[0].task, worker, ended);
    bench.dispatcher.requeue(bench.now, started[0].task);
    bench.dispatcher.add_credits(worker, 2);
    let again: Vec<_> = bench.start_all().iter().map(|a| a.task).collect();
    assert_eq!(again, [task("a", 0), task("b", 0)]);
}

/// Guards against a large job that delays single tasks of its class arriving just after it, and
/// against one that starves behind them.
#[rstest]
#[case(10, "s")]
#[case(3_000, "l")]
fn large_job_lets_small_ones_pass(#[case] later_ms: u64, #[case] first: &str) {
    let mut bench = Bench::new();
    bench.submit("known", "plain", "t", 1);
    let worker = bench.worker("w", 1);
    let started = bench.start_all();
    bench.pass(100);
    bench.done(started[0], 100);
    bench.dispatcher.recall_credits(worker, 1);
    bench.submit("l", "plain", "t", 500);
    bench.pass(later_ms);
    bench.submit("s", "plain", "t", 1);
    bench.dispatcher.add_credits(worker, 1);
    assert_eq!(bench.start_all()[0].task, task(first, 0));
}
