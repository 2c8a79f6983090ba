//! Start order of waiting tasks.

use knapweedwall_core::dispatch::TaskEnd;
use rstest::rstest;

use crate::harness::{Harness, task_ref};

/// Guards against bulk tasks that delay short tasks because they arrived first.
#[rstest]
fn tasks_start_in_deadline_order() {
    let mut harness = Harness::new();
    harness.submit("b", "bulk", "t", 2);
    harness.advance(100);
    harness.submit("p", "plain", "t", 1);
    harness.submit("s", "short", "t", 1);
    harness.connect_worker("w", 4);
    let started: Vec<_> = harness.start_all().iter().map(|a| a.task).collect();
    assert_eq!(
        started,
        [
            task_ref("s", 0),
            task_ref("p", 0),
            task_ref("b", 0),
            task_ref("b", 1)
        ]
    );
}

/// Guards against starvation of bulk tasks by newer short tasks.
#[rstest]
fn bulk_task_near_its_deadline_precedes_short_task() {
    let mut harness = Harness::new();
    harness.submit("b", "bulk", "t", 1);
    harness.advance(4 * 60_000 - 100);
    harness.submit("s", "short", "t", 1);
    harness.connect_worker("w", 1);
    assert_eq!(harness.start_all()[0].task, task_ref("b", 0));
}

/// Guards against interleaving the tasks of two jobs, which delays the completion of the first.
#[rstest]
fn tasks_of_a_job_start_consecutively() {
    let mut harness = Harness::new();
    harness.submit("a", "plain", "t", 3);
    harness.submit("b", "plain", "u", 3);
    harness.connect_worker("w", 6);
    let started: Vec<_> = harness.start_all().iter().map(|a| a.task).collect();
    let expected: Vec<_> = ["a", "b"]
        .iter()
        .flat_map(|j| (0..3).map(move |i| task_ref(j, i)))
        .collect();
    assert_eq!(started, expected);
}

/// Guards against moving a requeued task to the end of the queue.
#[rstest]
fn requeued_task_keeps_its_position() {
    let mut harness = Harness::new();
    harness.submit("a", "plain", "t", 2);
    harness.submit("b", "plain", "t", 1);
    harness.connect_worker("w", 2);
    let started = harness.start_all();
    let worker = started[0].worker;
    harness
        .dispatcher
        .task_ended(harness.now, started[0].task, worker, TaskEnd::NotStarted);
    harness.dispatcher.requeue(harness.now, started[0].task);
    harness.dispatcher.add_credits(worker, 2);
    let restarted: Vec<_> = harness.start_all().iter().map(|a| a.task).collect();
    assert_eq!(restarted, [task_ref("a", 0), task_ref("b", 0)]);
}

/// Guards against a large job that delays a single-task job of its class arriving shortly after it,
/// and against starvation of the large job by later ones.
#[rstest]
#[case::small_job_shortly_after(10, "s")]
#[case::small_job_much_later(3_000, "l")]
fn small_job_may_precede_large_job(#[case] delay_ms: u64, #[case] expected_first: &str) {
    let mut harness = Harness::new();
    harness.submit("warmup", "plain", "t", 1);
    let worker = harness.connect_worker("w", 1);
    let started = harness.start_all();
    harness.advance(100);
    harness.complete_task(started[0], 100);
    harness.dispatcher.return_unused_credits(worker, 1);
    harness.submit("l", "plain", "t", 500);
    harness.advance(delay_ms);
    harness.submit("s", "plain", "t", 1);
    harness.dispatcher.add_credits(worker, 1);
    assert_eq!(harness.start_all()[0].task, task_ref(expected_first, 0));
}
