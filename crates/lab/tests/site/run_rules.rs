//! Runs on a worker: fences, attempts, leases, ends.

use knapweedwall_lab::site::{Refusal, Runs, Start};
use rstest::rstest;

const TASK: &str = "5c0e7a21d94b36f8.0.0.1";

fn start(attempt: u64, fence: u64, lease_ms: u64) -> Start {
    Start {
        run: (TASK.to_owned(), attempt),
        spec: "work".to_owned(),
        lease_ms,
        fence,
    }
}

/// Guards against an order that is carried out below a fence that the worker has seen.
#[rstest]
fn a_lower_fence_does_nothing() {
    let mut runs = Runs::default();
    runs.hold(0, 7, None, 0).unwrap();
    assert_eq!(
        runs.start(0, start(1, 6, 900), Some(50)),
        Err(Refusal::Fence)
    );
    assert_eq!(runs.stop(6, &(TASK.to_owned(), 1)), Err(Refusal::Fence));
    assert_eq!(runs.start(0, start(1, 7, 900), Some(50)), Ok(true));
    assert_eq!(runs.start(0, start(1, 7, 900), Some(50)), Ok(false));
}

/// Guards against a late order of a run that was stopped before it arrived, or has ended.
#[rstest]
fn a_barred_attempt_is_old() {
    let mut runs = Runs::default();
    assert_eq!(runs.stop(1, &(TASK.to_owned(), 2)), Ok(false));
    assert_eq!(runs.start(0, start(2, 1, 900), Some(50)), Err(Refusal::Old));
    assert_eq!(runs.start(0, start(3, 1, 900), Some(50)), Ok(true));
    assert!(runs.end(&(TASK.to_owned(), 3), "done").is_some());
    assert_eq!(runs.start(0, start(3, 1, 900), Some(50)), Err(Refusal::Old));
}

/// Guards against runs that outlive their lease, and ends that are listed after their
/// acknowledgement.
#[rstest]
fn leases_lapse_and_ends_are_kept() {
    let mut runs = Runs::default();
    assert_eq!(
        runs.start(1_000, start(1, 1, 900), None),
        Err(Refusal::Late)
    );
    runs.start(0, start(1, 1, 900), None).unwrap();
    assert!(runs.lapsed(899).is_empty());
    let lapsed = runs.lapsed(900);
    assert_eq!(lapsed, [(TASK.to_owned(), 1)]);
    runs.end(&lapsed[0], "lapsed");
    assert_eq!(runs.lists(900).ended[0].cause, "lapsed");
    runs.hold(900, 1, None, 0).unwrap();
    assert!(runs.has_ends());
    runs.hold(900, 1, None, 1).unwrap();
    assert!(!runs.has_ends());
}

/// Guards against an end that counts although the lease has lapsed before its acknowledgement.
#[rstest]
#[case(500, true)]
#[case(950, false)]
fn an_end_counts_within_the_lease(#[case] now_ms: u64, #[case] counts: bool) {
    let mut runs = Runs::default();
    runs.start(0, start(1, 1, 900), Some(50)).unwrap();
    runs.end(&(TASK.to_owned(), 1), "done");
    let noted = runs.hold(now_ms, 1, Some(2_000), 1).unwrap();
    assert_eq!(!noted.is_empty(), counts);
}
