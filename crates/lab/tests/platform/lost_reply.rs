//! Replies lost after the write took effect.

use knapweedwall_core::store::{Failure, Reply};
use knapweedwall_lab::Chance;
use knapweedwall_lab::standin_store::LostAs;
use knapweedwall_platform::{HttpPlatform, Platform};
use rstest::rstest;

use crate::fixture::{BRIEF, PATIENT, put_absent, row, store, until};

/// Guards against reporting a write as not applied although it is there, and against an adapter
/// that repeats it.
#[rstest]
#[case::reset(LostAs::Reset)]
#[case::silent(LostAs::Silent)]
#[tokio::test]
async fn lost_reply_is_unknown_and_applied(#[case] lost_as: LostAs) {
    let (store, platform) = store().await;
    let lossy = HttpPlatform::new(
        store.address(),
        match lost_as {
            LostAs::Reset => PATIENT,
            LostAs::Silent => BRIEF,
        },
    );
    store
        .change(|c| (c.lost, c.lost_as) = (Chance::next(1), lost_as))
        .await;
    let outcome = lossy.call(put_absent("a", b"one")).await;
    assert!(matches!(outcome, Err(Failure::Unknown(_))), "{outcome:?}");
    // The write takes effect in its own time, even if the call's time-out came first.
    until(|| store.stats().writes > 0).await;
    assert_eq!(&row(&platform, "a").await.unwrap().value[..], b"one");
    let repeated = platform.call(put_absent("a", b"one")).await;
    assert!(matches!(repeated, Ok(Reply::Conflict(_))), "{repeated:?}");
    let stats = store.stats();
    assert_eq!((stats.writes, stats.conflicts, stats.lost), (2, 1, 1));
}

/// Guards against a share of lost replies that hits reads or misses writes.
#[rstest]
#[tokio::test]
async fn only_writes_lose_replies() {
    let (store, platform) = store().await;
    store.change(|c| c.lost = Chance::always()).await;
    for key in ["a", "b", "c"] {
        let outcome = platform.call(put_absent(key, b"one")).await;
        assert!(matches!(outcome, Err(Failure::Unknown(_))), "{outcome:?}");
        assert!(row(&platform, key).await.is_some());
    }
    assert_eq!(store.stats().lost, 3);
}
