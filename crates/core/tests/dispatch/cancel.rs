//! Cancelled and removed jobs.

use rstest::rstest;

use crate::bench::{Bench, job, task};

/// Guards against a cancel that drops running tasks or leaves waiting ones.
#[rstest]
fn drops_exactly_the_waiting_tasks() {
    let mut bench = Bench::new();
    let key = bench.submit("a", "plain", "t", 4);
    bench.submit("b", "plain", "t", 1);
    bench.worker("w", 2);
    bench.start_all();
    assert_eq!(bench.dispatcher.cancel_job(key).as_slice(), [2, 3]);
    assert_eq!(bench.dispatcher.cancel_job(key).as_slice(), [0_u32; 0]);
    assert_eq!(
        (bench.dispatcher.waiting(), bench.dispatcher.running()),
        (1, 2)
    );
}

/// Guards against a task of a cancelled job that starts after all.
#[rstest]
fn requeue_after_cancel_starts_nothing() {
    let mut bench = Bench::new();
    let key = bench.submit("a", "plain", "t", 1);
    bench.worker("w", 1);
    let started = bench.start_all();
    bench.dispatcher.cancel_job(key);
    bench.dispatcher.requeue(bench.now, started[0].task);
    bench.dispatcher.add_credits(started[0].worker, 1);
    assert_eq!(bench.start_all(), []);
    assert_eq!(bench.dispatcher.running(), 0);
}

/// Guards against reports about a forgotten job changing any count.
#[rstest]
fn removed_job_is_forgotten() {
    let mut bench = Bench::new();
    let key = bench.submit("a", "plain", "t", 3);
    bench.worker("w", 1);
    let started = bench.start_all();
    bench.dispatcher.remove_job(key);
    assert_eq!(
        (bench.dispatcher.waiting(), bench.dispatcher.running()),
        (0, 0)
    );
    bench.done(started[0], 100);
    bench.dispatcher.requeue(bench.now, task("a", 0));
    assert_eq!(bench.start_all(), []);
    assert_eq!(bench.dispatcher.cancel_job(job("a")).len(), 0);
}
