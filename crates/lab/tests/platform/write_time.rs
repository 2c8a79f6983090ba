//! Time of writes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedwall_lab::standin_store::Controls;
use knapweedwall_platform::Platform;
use rstest::rstest;

use crate::fixture::{committed, put_absent, store_with};

/// Guards against writes that queue behind one another, and against statistics that report less
/// than the set time.
#[rstest]
#[tokio::test]
async fn writes_overlap() {
    let time = Duration::from_millis(300);
    let (store, platform) = store_with(Controls {
        write_time: time,
        write_rate: 10_000,
        ..Controls::default()
    })
    .await;
    let platform = Arc::new(platform);
    let begun = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..40 {
        let platform = Arc::clone(&platform);
        calls.spawn(async move { platform.call(put_absent(&format!("{number}"), b"")).await });
    }
    for outcome in calls.join_all().await {
        committed(outcome);
    }
    assert!(begun.elapsed() < time * 20, "{:?}", begun.elapsed());
    let latency = store.stats().latency;
    assert_eq!(latency.count, 40);
    // The histogram keeps three digits.
    assert!(latency.min >= 299_000, "{latency:?}");
    assert!(latency.min <= latency.p50 && latency.p50 <= latency.max);
}
