//! Expiry of jobs of which no task starts in time. An expired job fails as never runnable.

use knapweedwall_core::JobKey;
use knapweedwall_core::dispatch::TaskEnd;
use rstest::rstest;

use crate::harness::Harness;

fn take_expired(harness: &mut Harness) -> Vec<JobKey> {
    let mut out = Vec::new();
    harness.dispatcher.take_expired(harness.now, &mut out);
    out
}

/// Guards against a job that waits for ever, and against reporting its expiry more than once.
#[rstest]
fn unstarted_job_expires_once() {
    let mut harness = Harness::new();
    let key = harness.submit("a", "plain", "t", 1);
    harness.advance(29_999);
    assert_eq!(take_expired(&mut harness), []);
    harness.advance(1);
    assert_eq!(take_expired(&mut harness), [key]);
    assert_eq!(take_expired(&mut harness), []);
}

/// Guards against expiring a job of which a task has started.
#[rstest]
fn started_job_does_not_expire() {
    let mut harness = Harness::new();
    harness.submit("a", "plain", "t", 2);
    harness.connect_worker("w", 1);
    assert_eq!(harness.start_all().len(), 1);
    harness.advance(100_000);
    assert_eq!(take_expired(&mut harness), []);
}

/// Guards against expiring a job of which one task has completed and another was requeued.
#[rstest]
fn job_with_a_completed_task_does_not_expire() {
    let mut harness = Harness::new();
    harness.submit("a", "plain", "t", 2);
    harness.connect_worker("w", 2);
    let started = harness.start_all();
    harness.complete_task(started[0], 10);
    harness.end_task(started[1], TaskEnd::NotStarted);
    harness.dispatcher.requeue(harness.now, started[1].task);
    harness.advance(100_000);
    assert_eq!(take_expired(&mut harness), []);
}

/// Guards against a job that is assigned and requeued for ever without starting.
#[rstest]
#[case::not_started(TaskEnd::NotStarted)]
#[case::lost(TaskEnd::Lost)]
fn repeatedly_requeued_job_expires(#[case] end: TaskEnd) {
    let mut harness = Harness::new();
    let key = harness.submit("a", "plain", "t", 1);
    harness.connect_worker("w", 1);
    for _ in 0..3 {
        let started = harness.start_all();
        harness.end_task(started[0], end);
        harness.dispatcher.requeue(harness.now, started[0].task);
        harness.advance(10_000);
    }
    assert_eq!(take_expired(&mut harness), [key]);
}

/// Guards against expiring a job of which a lost task may have run.
#[rstest]
fn job_with_a_lost_task_does_not_expire() {
    let mut harness = Harness::new();
    harness.submit("a", "plain", "t", 1);
    harness.connect_worker("w", 1);
    let started = harness.start_all();
    harness.end_task(started[0], TaskEnd::Lost);
    harness.advance(100_000);
    assert_eq!(take_expired(&mut harness), []);
}

/// Guards against expiring an admitted bulk job that waits until its deadline, which is later than
/// the start limit.
#[rstest]
fn bulk_job_expires_at_its_deadline() {
    let mut harness = Harness::new();
    let key = harness.submit("a", "bulk", "t", 1);
    harness.advance(239_999);
    assert_eq!(take_expired(&mut harness), []);
    harness.advance(1);
    assert_eq!(take_expired(&mut harness), [key]);
}
