//! Jobs of which no task starts in time.

use knapweedwall_core::JobKey;
use knapweedwall_core::dispatch::TaskEnd;
use rstest::rstest;

use crate::bench::Bench;

fn expired(bench: &mut Bench) -> Vec<JobKey> {
    let mut out = Vec::new();
    bench.dispatcher.take_expired(bench.now, &mut out);
    out
}

/// Guards against a job that waits for ever, and against naming it again and again.
#[rstest]
fn a_job_that_never_starts_expires_once() {
    let mut bench = Bench::new();
    let key = bench.submit("a", "plain", "t", 1);
    bench.pass(29_999);
    assert_eq!(expired(&mut bench), []);
    bench.pass(1);
    assert_eq!(expired(&mut bench), [key]);
    assert_eq!(expired(&mut bench), []);
}

/// Guards against failing a job of which a task has started.
#[rstest]
fn a_started_job_does_not_expire() {
    let mut bench = Bench::new();
    bench.submit("a", "plain", "t", 2);
    bench.worker("w", 1);
    assert_eq!(bench.start_all().len(), 1);
    bench.pass(100_000);
    assert_eq!(expired(&mut bench), []);
}

/// Guards against calling a job never runnable of which one task ended and another was sent back.
#[rstest]
fn a_job_with_an_ended_task_does_not_expire() {
    let mut bench = Bench::new();
    bench.submit("a", "plain", "t", 2);
    bench.worker("w", 2);
    let started = bench.start_all();
    bench.done(started[0], 10);
    bench.end(started[1], TaskEnd::NotStarted);
    bench.dispatcher.requeue(bench.now, started[1].task);
    bench.pass(100_000);
    assert_eq!(expired(&mut bench), []);
}

/// Guards against a job that is sent out again and again without ever starting.
#[rstest]
#[case(TaskEnd::NotStarted)]
#[case(TaskEnd::Lost)]
fn a_job_that_never_really_starts_expires(#[case] ended: TaskEnd) {
    let mut bench = Bench::new();
    let key = bench.submit("a", "plain", "t", 1);
    bench.worker("w", 1);
    for _ in 0..3 {
        let started = bench.start_all();
        bench.end(started[0], ended);
        bench.dispatcher.requeue(bench.now, started[0].task);
        bench.pass(10_000);
    }
    assert_eq!(expired(&mut bench), [key]);
}

/// Guards against calling a job never runnable although a task of it may have run.
#[rstest]
fn a_job_in_doubt_does_not_expire() {
    let mut bench = Bench::new();
    bench.submit("a", "plain", "t", 1);
    bench.worker("w", 1);
    let started = bench.start_all();
    bench.end(started[0], TaskEnd::Lost);
    bench.pass(100_000);
    assert_eq!(expired(&mut bench), []);
}

/// Guards against failing bulk work that was admitted and waits its turn.
#[rstest]
fn bulk_work_may_wait_until_its_deadline() {
    let mut bench = Bench::new();
    let key = bench.submit("a", "bulk", "t", 1);
    bench.pass(239_999);
    assert_eq!(expired(&mut bench), []);
    bench.pass(1);
    assert_eq!(expired(&mut bench), [key]);
}
