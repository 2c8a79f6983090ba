//! Workers that come back as another kind.
//!
//! Invariant: no task starts on a worker without the label that its job requires.

use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against tasks that start on a worker without their label: their entry process does not know yet
/// that the worker has come back as another kind (review/wrong-kind).
#[rstest]
fn labels_are_those_of_the_present_lifetime(
    #[values(false, true)] durable: bool,
    #[values(1, 3)] zones: usize,
    #[values(0, 1, 2)] entry: usize,
) {
    for after_ms in (0..420).step_by(3) {
        let mut fleet = Fleet::in_zones(zones, 3, &[(16_000, 2.0), (16_000, 0.5)], 1);
        fleet.run(3_000);
        let now_ms = fleet.now_ms;
        fleet.worker(0).crash(now_ms);
        fleet.hosts[0].labels = vec!["b".into()];
        let beats = fleet.hosts[0].beats;
        while fleet.hosts[0].beats == beats {
            fleet.run(1);
        }
        fleet.run(after_ms);
        for _ in 0..4 {
            let mut job = Job::new(1, 1_600, 40).label("a");
            job.durable = durable;
            fleet.submit(entry, "patient", job);
        }
        fleet.run(600);
        let started = &fleet.hosts[0].worker.started;
        assert!(started.is_empty(), "{after_ms} ms: {started:?}");
        assert_eq!(fleet.starts(), 4, "{after_ms} ms");
        fleet.assert_rules();
    }
}

/// Guards against the same on a worker that has crashed while it was idle and is back under its id: its agent
/// still calls it by the description of the lifetime before.
#[rstest]
fn labels_do_not_outlive_a_kept_id(
    #[values(false, true)] durable: bool,
    #[values(300, 3_200)] down_ms: u64,
) {
    for before_ms in [400, 200, 50, 5] {
        let mut fleet = Fleet::new(2, &[(16_000, 1.0)], 1);
        fleet.run(3_000);
        let now_ms = fleet.now_ms;
        fleet.worker(0).crash_with_id(now_ms, down_ms);
        fleet.hosts[0].labels = vec!["b".into()];
        fleet.hosts[0].next_beat_ms = now_ms + down_ms + before_ms + 2;
        fleet.run(down_ms + 2);
        for _ in 0..4 {
            let mut job = Job::new(1, 1_600, 40).label("a");
            job.durable = durable;
            fleet.submit(0, "patient", job);
        }
        fleet.run(1_000);
        let started = &fleet.hosts[0].worker.started;
        assert!(started.is_empty(), "{before_ms} ms: {started:?}");
        fleet.assert_rules();
    }
}
