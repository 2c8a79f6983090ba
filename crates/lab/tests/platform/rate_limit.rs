//! Limits of writes and reads per second.

use std::sync::Arc;
use std::time::Instant;

use knapweedwall_core::store::{Failure, Reply, Request};
use knapweedwall_lab::standin_store::Controls;
use knapweedwall_platform::Platform;
use rstest::rstest;

use crate::fixture::{put_absent, store, store_with};

/// Guards against a declined request that counts as unknown or takes effect.
#[rstest]
#[case::write(put_absent("a", b"one"))]
#[case::object(Request::PutObject("a".into(), "one".into()))]
#[case::deletion(Request::DeleteObject("a".into()))]
#[case::row(Request::Get("a".into()))]
#[case::rows(Request::Scan { prefix: "".into(), after: "".into(), limit: 1 })]
#[case::content(Request::GetObject("a".into()))]
#[tokio::test]
async fn excess_is_not_applied(#[case] request: Request) {
    let (store, platform) = store().await;
    store.change(|c| (c.write_rate, c.read_rate) = (0, 0)).await;
    let outcome = platform.call(request).await;
    assert!(
        matches!(outcome, Err(Failure::NotApplied(_))),
        "{outcome:?}"
    );
    let stats = store.stats();
    assert_eq!((stats.writes, stats.reads, stats.rejected), (0, 0, 1));
    store.change(|c| c.read_rate = 1_000).await;
    // The bucket fills at the new rate.
    let found = loop {
        if let Ok(reply) = platform.call(Request::Get("a".into())).await {
            break reply;
        }
    };
    assert_eq!(found, Reply::Row(None));
}

/// Guards against a limit that admits more than its rate and its burst.
#[rstest]
#[tokio::test]
async fn writes_keep_to_the_rate() {
    let (store, platform) = store_with(Controls::default()).await;
    let platform = Arc::new(platform);
    let begun = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..400 {
        let platform = Arc::clone(&platform);
        calls.spawn(async move { platform.call(put_absent(&format!("{number}"), b"")).await });
    }
    let outcomes = calls.join_all().await;
    let seconds = begun.elapsed().as_secs_f64();
    let applied = outcomes.iter().filter(|o| o.is_ok()).count();
    let declined = outcomes
        .iter()
        .filter(|o| matches!(o, Err(Failure::NotApplied(_))));
    assert_eq!(
        applied + declined.count(),
        400,
        "each is applied or declined"
    );
    let allowed = 30.0 + 300.0 * seconds;
    assert!(
        applied as f64 <= allowed,
        "{applied} applied in {seconds} s"
    );
    assert!(applied >= 30);
    assert_eq!(store.stats().rejected, 400 - applied as u64);
}
