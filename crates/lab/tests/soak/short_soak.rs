//! A short soak of the real processes.

use std::time::Duration;

use knapweedwall_lab::soak::{Sizes, soak};
use rstest::rstest;

const SIZES: Sizes = Sizes {
    entries: 3,
    workers: 6,
    callers: 16,
    length: Duration::from_secs(4),
};

/// Guards against promises that break under random faults of processes, links, store and workers.
#[rstest]
#[case(1)]
#[case(2)]
fn promises_hold(#[case] seed: u64) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let outcome = runtime.block_on(soak(seed, SIZES)).unwrap();
    assert!(outcome.violations.is_empty(), "{outcome}");
    assert!(outcome.answers.0 > 0, "no job was completed: {outcome}");
}
