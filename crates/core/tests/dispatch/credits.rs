//! Credits, each of which allows the start of one task on a worker.

use knapweedwall_core::dispatch::TaskEnd;
use rstest::rstest;

use crate::harness::Harness;

/// Guards against starts beyond the credits that a worker has granted.
#[rstest]
fn each_start_uses_a_credit() {
    let mut harness = Harness::new();
    harness.submit("a", "plain", "t", 5);
    harness.connect_worker("w", 2);
    assert_eq!(harness.start_all().len(), 2);
    assert_eq!(
        (harness.dispatcher.waiting(), harness.dispatcher.running()),
        (3, 2)
    );
}

/// Guards against starting tasks on a disconnected worker.
#[rstest]
fn disconnect_revokes_credits() {
    let mut harness = Harness::new();
    harness.submit("a", "plain", "t", 5);
    let worker = harness.connect_worker("w", 2);
    harness.dispatcher.remove_worker(worker);
    assert_eq!(harness.start_all(), []);
    assert_eq!(harness.dispatcher.return_unused_credits(worker, 2), 0);
}

/// Guards against returning credits that a start has used.
#[rstest]
#[case::fewer_than_available(1, 1)]
#[case::more_than_available(9, 3)]
fn recall_returns_unused_credits(#[case] requested: u32, #[case] returned: u32) {
    let mut harness = Harness::new();
    let worker = harness.connect_worker("w", 4);
    harness.submit("a", "plain", "t", 1);
    harness.start_all();
    assert_eq!(
        harness.dispatcher.return_unused_credits(worker, requested),
        returned
    );
    harness.submit("b", "plain", "t", 9);
    assert_eq!(harness.start_all().len() as u32, 3 - returned);
}

/// Guards against assigning an urgent task to a worker that is known to be slower than another.
#[rstest]
fn urgent_task_starts_on_the_fastest_worker() {
    let mut harness = Harness::new();
    let slow = harness.connect_worker("slow", 1);
    let fast = harness.connect_worker("fast", 1);
    for round in 0..50 {
        harness.submit(&format!("l{round}"), "plain", "t", 2);
        for assignment in harness.start_all() {
            harness.complete_task(
                assignment,
                if assignment.worker == slow { 400 } else { 100 },
            );
        }
    }
    harness.submit("s", "short", "t", 1);
    assert_eq!(harness.start_all()[0].worker, fast);
}

/// Guards against a late report from one worker that ends the run of the same task on another.
#[rstest]
fn late_report_does_not_end_the_run_on_another_worker() {
    let mut harness = Harness::new();
    harness.submit("a", "plain", "t", 1);
    let first_worker = harness.connect_worker("v", 1);
    let started = harness.start_all();
    harness.dispatcher.requeue(harness.now, started[0].task);
    harness.connect_worker("w", 1);
    assert_eq!(harness.start_all().len(), 1);
    harness.dispatcher.task_ended(
        harness.now,
        started[0].task,
        first_worker,
        TaskEnd::NotStarted,
    );
    assert_eq!(harness.dispatcher.running(), 1);
}

/// Guards against a task that counts as running for ever because its worker reconnected, and so has
/// another key, before it reported the end.
#[rstest]
fn report_after_reconnect_ends_the_run() {
    let mut harness = Harness::new();
    harness.submit("a", "plain", "t", 1);
    let worker = harness.connect_worker("w", 1);
    let started = harness.start_all();
    harness.dispatcher.remove_worker(worker);
    let reconnected = harness.connect_worker("w", 0);
    harness
        .dispatcher
        .task_ended(harness.now, started[0].task, reconnected, TaskEnd::Lost);
    assert_eq!(harness.dispatcher.running(), 0);
}
