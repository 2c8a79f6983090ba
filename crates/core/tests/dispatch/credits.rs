//! Slot credits.

use knapweedwall_core::dispatch::TaskEnd;
use rstest::rstest;

use crate::bench::Bench;

/// Guards against starts beyond the credits that a worker has granted.
#[rstest]
fn a_start_uses_a_credit() {
    let mut bench = Bench::new();
    bench.submit("a", "plain", "t", 5);
    bench.worker("w", 2);
    assert_eq!(bench.start_all().len(), 2);
    assert_eq!(
        (bench.dispatcher.waiting(), bench.dispatcher.running()),
        (3, 2)
    );
}

/// Guards against starts on a worker whose link is gone.
#[rstest]
fn credits_of_a_gone_worker_are_void() {
    let mut bench = Bench::new();
    bench.submit("a", "plain", "t", 5);
    let worker = bench.worker("w", 2);
    bench.dispatcher.remove_worker(worker);
    assert_eq!(bench.start_all(), []);
    assert_eq!(bench.dispatcher.recall_credits(worker, 2), 0);
}

/// Guards against giving back credits that a start has used.
#[rstest]
#[case(1, 1)]
#[case(9, 3)]
fn recall_gives_unused_credits(#[case] asked: u32, #[case] given: u32) {
    let mut bench = Bench::new();
    let worker = bench.worker("w", 4);
    bench.submit("a", "plain", "t", 1);
    bench.start_all();
    assert_eq!(bench.dispatcher.recall_credits(worker, asked), given);
    bench.submit("b", "plain", "t", 9);
    assert_eq!(bench.start_all().len() as u32, 3 - given);
}

/// Guards against a slow worker being asked first for urgent work once its speed is known.
#[rstest]
fn urgent_work_takes_the_faster_worker() {
    let mut bench = Bench::new();
    let slow = bench.worker("slow", 1);
    let fast = bench.worker("fast", 1);
    for round in 0..50 {
        bench.submit(&format!("l{round}"), "plain", "t", 2);
        for assignment in bench.start_all() {
            bench.done(
                assignment,
                if assignment.worker == slow { 400 } else { 100 },
            );
        }
    }
    bench.submit("s", "short", "t", 1);
    assert_eq!(bench.start_all()[0].worker, fast);
}

/// Guards against a late report of one worker ending the run of the same task on another.
#[rstest]
fn a_late_report_does_not_end_another_run() {
    let mut bench = Bench::new();
    bench.submit("a", "plain", "t", 1);
    let first = bench.worker("v", 1);
    let started = bench.start_all();
    bench.dispatcher.requeue(bench.now, started[0].task);
    bench.worker("w", 1);
    assert_eq!(bench.start_all().len(), 1);
    bench
        .dispatcher
        .task_ended(bench.now, started[0].task, first, TaskEnd::NotStarted);
    assert_eq!(bench.dispatcher.running(), 1);
}

/// Guards against a task that stays running because its worker has reconnected meanwhile.
#[rstest]
fn a_report_after_a_reconnect_ends_the_run() {
    let mut bench = Bench::new();
    bench.submit("a", "plain", "t", 1);
    let worker = bench.worker("w", 1);
    let started = bench.start_all();
    bench.dispatcher.remove_worker(worker);
    let again = bench.worker("w", 0);
    bench
        .dispatcher
        .task_ended(bench.now, started[0].task, again, TaskEnd::Lost);
    assert_eq!(bench.dispatcher.running(), 0);
}
