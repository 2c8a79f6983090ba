//! Cancelled and removed jobs.

use rstest::rstest;

use crate::harness::{Harness, job_key, task_ref};

/// Guards against a cancellation that drops running tasks or keeps waiting ones.
#[rstest]
fn cancel_drops_only_waiting_tasks() {
    let mut harness = Harness::new();
    let key = harness.submit("a", "plain", "t", 4);
    harness.submit("b", "plain", "t", 1);
    harness.connect_worker("w", 2);
    harness.start_all();
    assert_eq!(harness.dispatcher.cancel_job(key).as_slice(), [2, 3]);
    assert_eq!(harness.dispatcher.cancel_job(key).as_slice(), [0_u32; 0]);
    assert_eq!(
        (harness.dispatcher.waiting(), harness.dispatcher.running()),
        (1, 2)
    );
}

/// Guards against restarting a requeued task of a cancelled job.
#[rstest]
fn requeue_after_cancel_is_ignored() {
    let mut harness = Harness::new();
    let key = harness.submit("a", "plain", "t", 1);
    harness.connect_worker("w", 1);
    let started = harness.start_all();
    harness.dispatcher.cancel_job(key);
    harness.dispatcher.requeue(harness.now, started[0].task);
    harness.dispatcher.add_credits(started[0].worker, 1);
    assert_eq!(harness.start_all(), []);
    assert_eq!(harness.dispatcher.running(), 0);
}

/// Guards against reports on a removed job that change the task counts.
#[rstest]
fn events_of_a_removed_job_are_ignored() {
    let mut harness = Harness::new();
    let key = harness.submit("a", "plain", "t", 3);
    harness.connect_worker("w", 1);
    let started = harness.start_all();
    harness.dispatcher.remove_job(key);
    assert_eq!(
        (harness.dispatcher.waiting(), harness.dispatcher.running()),
        (0, 0)
    );
    harness.complete_task(started[0], 100);
    harness.dispatcher.requeue(harness.now, task_ref("a", 0));
    assert_eq!(harness.start_all(), []);
    assert_eq!(harness.dispatcher.cancel_job(job_key("a")).len(), 0);
}
