//! Outages of the store.

use std::time::Duration;

use knapweedwall_core::store::Failure;
use knapweedwall_lab::standin_store::Outage;
use knapweedwall_platform::{HttpPlatform, Platform};
use rstest::rstest;

use crate::fixture::{BRIEF, committed, put_absent, row, store, until};

/// Guards against a refused or declined request that counts as unknown.
#[rstest]
#[case::refuse(Outage::Refuse)]
#[case::unavailable(Outage::Unavailable)]
#[tokio::test]
async fn outage_is_not_applied(#[case] outage: Outage) {
    let (store, platform) = store().await;
    store.change(|c| c.outage = outage).await;
    let outcome = platform.call(put_absent("a", b"one")).await;
    assert!(
        matches!(outcome, Err(Failure::NotApplied(_))),
        "{outcome:?}"
    );
    store.change(|c| c.outage = Outage::None).await;
    assert_eq!(row(&platform, "a").await, None);
    committed(platform.call(put_absent("a", b"two")).await);
}

/// Guards against a silent store that counts as proof of anything.
#[rstest]
#[tokio::test]
async fn silence_is_unknown() {
    let (store, platform) = store().await;
    let hasty = HttpPlatform::new(store.address(), BRIEF);
    store.change(|c| c.outage = Outage::Silent).await;
    let outcome = hasty.call(put_absent("a", b"one")).await;
    assert!(matches!(outcome, Err(Failure::Unknown(_))), "{outcome:?}");
    store.change(|c| c.outage = Outage::None).await;
    assert_eq!(row(&platform, "a").await, None);
}

/// Guards against a store that undoes a write in flight when its connections close, which would
/// hide that such writes take effect.
#[rstest]
#[case::refuse(Outage::Refuse)]
#[case::silent(Outage::Silent)]
#[tokio::test]
async fn write_in_flight_takes_effect(#[case] outage: Outage) {
    let (store, platform) = store().await;
    store.change(|c| c.slowness = Duration::from_secs(2)).await;
    let written = || store.stats().writes > 0;
    let call = platform.call(put_absent("a", b"one"));
    let cut = async {
        until(|| store.stats().accepted > 0).await;
        store.change(|c| c.outage = outage).await;
    };
    if outage == Outage::Refuse {
        let (outcome, ()) = tokio::join!(call, cut);
        assert!(matches!(outcome, Err(Failure::Unknown(_))), "{outcome:?}");
    } else {
        // The reply never comes; the call is given up once the write is counted.
        tokio::select! {
            outcome = call => panic!("unexpected {outcome:?}"),
            () = async { cut.await; until(written).await } => {}
        }
    }
    until(written).await;
    store
        .change(|c| (c.outage, c.slowness) = (Outage::None, Duration::ZERO))
        .await;
    assert!(row(&platform, "a").await.is_some());
    assert_eq!(store.stats().lost, 1);
}
