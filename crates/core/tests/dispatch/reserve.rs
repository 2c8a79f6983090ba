//! Slots kept for short classes.

use rstest::rstest;

use crate::bench::{Bench, job};

/// Sixteen slots and a class `bulk` whose tasks are known to take 5 s.
fn bench_with_long_class() -> Bench {
    let mut bench = Bench::new();
    bench.worker("w", 16);
    bench.submit("known", "bulk", "t", 1);
    let started = bench.start_all();
    bench.pass(5_000);
    bench.done(started[0], 5_000);
    bench
}

/// Guards against long work that holds every slot when short work arrives.
#[rstest]
fn long_work_leaves_slots_for_short_work() {
    let mut bench = bench_with_long_class();
    bench.submit("s", "short", "t", 1);
    assert_eq!(bench.start_all().len(), 1);
    bench.submit("l", "bulk", "t", 50);
    assert_eq!(bench.start_all().len(), 14);
    bench.submit("s2", "short", "t", 1);
    let started = bench.start_all();
    assert_eq!(started[0].task.job, job("s2"));
}

/// Guards against slots that stay idle when no short work arrives.
#[rstest]
fn the_reserve_ends_without_short_arrivals() {
    let mut bench = bench_with_long_class();
    bench.submit("s", "short", "t", 1);
    bench.start_all();
    bench.submit("l", "bulk", "t", 50);
    bench.start_all();
    bench.pass(10_000);
    assert_eq!(bench.start_all().len(), 1);
    assert_eq!(bench.dispatcher.running(), 16);
}

/// Guards against slots kept for credits that went with their worker.
#[rstest]
fn credits_of_a_gone_worker_do_not_count() {
    let mut bench = bench_with_long_class();
    let gone = bench.worker("gone", 48);
    bench.dispatcher.remove_worker(gone);
    bench.submit("s", "short", "t", 1);
    bench.start_all();
    bench.submit("l", "bulk", "t", 50);
    assert_eq!(bench.start_all().len(), 14);
}
