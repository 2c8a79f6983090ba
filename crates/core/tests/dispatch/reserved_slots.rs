//! Slots reserved for short classes.

use rstest::rstest;

use crate::harness::{Harness, job_key};

/// A worker with 16 credits, and one completed `bulk` task, which sets the run time estimate of the
/// class to 5 s.
fn harness_with_long_class() -> Harness {
    let mut harness = Harness::new();
    harness.connect_worker("w", 16);
    harness.submit("warmup", "bulk", "t", 1);
    let started = harness.start_all();
    harness.advance(5_000);
    harness.complete_task(started[0], 5_000);
    harness
}

/// Guards against tasks of a long class that use all slots when a short task arrives.
#[rstest]
fn long_class_leaves_reserved_slots_free() {
    let mut harness = harness_with_long_class();
    harness.submit("s", "short", "t", 1);
    assert_eq!(harness.start_all().len(), 1);
    harness.submit("l", "bulk", "t", 50);
    // One in eight of the 16 usable slots is reserved.
    assert_eq!(harness.start_all().len(), 14);
    harness.submit("s2", "short", "t", 1);
    let started = harness.start_all();
    assert_eq!(started[0].task.job, job_key("s2"));
}

/// Guards against reserved slots that stay idle when no short tasks arrive.
#[rstest]
fn reservation_ends_without_short_arrivals() {
    let mut harness = harness_with_long_class();
    harness.submit("s", "short", "t", 1);
    harness.start_all();
    harness.submit("l", "bulk", "t", 50);
    harness.start_all();
    harness.advance(10_000);
    assert_eq!(harness.start_all().len(), 1);
    assert_eq!(harness.dispatcher.running(), 16);
}

/// Guards against a reserve that still counts the credits of a disconnected worker.
#[rstest]
fn reserve_excludes_disconnected_workers() {
    let mut harness = harness_with_long_class();
    let disconnected = harness.connect_worker("disconnected", 48);
    harness.dispatcher.remove_worker(disconnected);
    harness.submit("s", "short", "t", 1);
    harness.start_all();
    harness.submit("l", "bulk", "t", 50);
    assert_eq!(harness.start_all().len(), 14);
}
