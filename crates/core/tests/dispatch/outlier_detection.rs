//! Outlier detection: workers that fail far more tasks than the fleet are held back.

use std::time::Duration;

use knapweedwall_core::dispatch::{TaskEnd, WorkerKey};
use rstest::rstest;

use crate::harness::Harness;

const FAILED: TaskEnd = TaskEnd::Failed {
    run: Duration::from_millis(1),
};

/// In each millisecond of `duration_ms`, submits a job of 8 tasks, then starts all tasks that may
/// start and ends them. Tasks on the workers in `failing` fail. Returns the number of failed tasks.
fn run_load(harness: &mut Harness, duration_ms: u64, failing: &[WorkerKey]) -> usize {
    let mut failed = 0;
    for _ in 0..duration_ms {
        harness.advance(1);
        let id = format!("j{}", harness.now.mono.as_micros());
        harness.submit(&id, "plain", "t", 8);
        for assignment in harness.start_all() {
            if failing.contains(&assignment.worker) {
                failed += 1;
                harness.end_task(assignment, FAILED);
            } else {
                harness.complete_task(assignment, 10);
            }
        }
    }
    failed
}

fn held_back_workers(harness: &Harness) -> Vec<String> {
    let status = harness.dispatcher.status(harness.now);
    let held_back = status.workers.into_iter().filter(|w| w.held_back);
    held_back.map(|w| w.name.to_string()).collect()
}

/// Guards against a worker that gets most of the tasks because it fails each of them at once.
#[rstest]
fn failing_worker_gets_only_trial_tasks() {
    let mut harness = Harness::new();
    let failing = harness.connect_worker("failing", 2);
    harness.connect_worker("healthy", 2);
    harness.connect_worker("healthy2", 2);
    run_load(&mut harness, 100, &[failing]);
    assert_eq!(held_back_workers(&harness), ["failing"]);
    let trials = run_load(&mut harness, 31_000, &[failing]);
    // Trial tasks start after 1, 3, 7, 15 and 23 s; the next one is due at 31 s.
    assert!((5..=6).contains(&trials), "{trials} trial tasks in 31 s");
}

/// Guards against holding back a repaired worker for ever.
#[rstest]
#[case::before_first_trial(100, 3_000)]
#[case::after_failed_trials(60_000, 11_000)]
fn repaired_worker_is_released(#[case] failing_ms: u64, #[case] release_ms: u64) {
    let mut harness = Harness::new();
    let failing = harness.connect_worker("failing", 2);
    harness.connect_worker("healthy", 2);
    run_load(&mut harness, failing_ms, &[failing]);
    assert_eq!(held_back_workers(&harness), ["failing"]);
    run_load(&mut harness, release_ms, &[]);
    assert_eq!(held_back_workers(&harness), [""; 0]);
}

/// Guards against holding back most of the fleet when the failures are caused by the tasks.
#[rstest]
fn at_most_half_of_the_workers_are_held_back() {
    let mut harness = Harness::new();
    let workers: Vec<_> = (0..5)
        .map(|w| harness.connect_worker(&format!("w{w}"), 2))
        .collect();
    run_load(&mut harness, 1_000, &workers[..4]);
    let names = held_back_workers(&harness);
    assert_eq!(names.len(), 2);
    let held_back: Vec<usize> = (0..5)
        .filter(|w| names.contains(&format!("w{w}")))
        .collect();
    for (index, worker) in workers.iter().enumerate() {
        if !held_back.contains(&index) {
            harness.dispatcher.remove_worker(*worker);
        }
    }
    assert_eq!(held_back_workers(&harness).len(), 1);
}

/// Guards against holding back workers when tasks fail at the same rate on all of them, as the
/// tasks of a faulty class do.
#[rstest]
fn uniform_failures_hold_back_no_worker() {
    let mut harness = Harness::new();
    for worker in 0..4 {
        harness.connect_worker(&format!("w{worker}"), 2);
    }
    for round in 0..2_000 {
        harness.advance(1);
        harness.submit(&format!("b{round}"), "bulk", "t", 4);
        harness.submit(&format!("p{round}"), "plain", "t", 4);
        for (index, assignment) in harness.start_all().into_iter().enumerate() {
            // Half of the tasks fail, at positions that vary between rounds.
            let fails = (index + round * round / 3) % 2 == 0;
            let done = TaskEnd::Done {
                run: Duration::from_millis(9),
            };
            harness.end_task(assignment, if fails { FAILED } else { done });
        }
    }
    assert_eq!(held_back_workers(&harness), [""; 0]);
}

/// Guards against credits that a process neither uses nor returns.
#[rstest]
fn credits_of_a_held_back_worker_can_be_recalled() {
    let mut harness = Harness::new();
    let failing = harness.connect_worker("failing", 2);
    harness.connect_worker("healthy", 2);
    run_load(&mut harness, 100, &[failing]);
    assert_eq!(harness.dispatcher.return_unused_credits(failing, 8), 2);
}

/// Guards against a failing worker that is released because it reconnects.
#[rstest]
fn worker_stays_held_back_after_reconnect() {
    let mut harness = Harness::new();
    let failing = harness.connect_worker("failing", 2);
    harness.connect_worker("healthy", 2);
    run_load(&mut harness, 100, &[failing]);
    harness.dispatcher.remove_worker(failing);
    harness.connect_worker("failing", 2);
    assert_eq!(held_back_workers(&harness), ["failing"]);
}
