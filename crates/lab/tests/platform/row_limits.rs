//! Limits of rows and keys.

use knapweedwall_core::store::{Failure, MAX_ROW_BYTES, Request, Write};
use knapweedwall_platform::Platform;
use rstest::rstest;

use crate::fixture::{committed, row, store, transact};

/// Guards against an oversized row that takes effect in part.
#[rstest]
#[tokio::test]
async fn oversized_row_is_not_applied() {
    let (_store, platform) = store().await;
    let put = |key: &str, bytes| Write::Put(key.into(), vec![7; bytes].into());
    let largest = transact(vec![], vec![put("a", MAX_ROW_BYTES)]);
    committed(platform.call(largest).await);
    let larger = transact(vec![], vec![put("b", 1), put("c", MAX_ROW_BYTES + 1)]);
    let outcome = platform.call(larger).await;
    assert!(
        matches!(outcome, Err(Failure::NotApplied(_))),
        "{outcome:?}"
    );
    assert_eq!(
        row(&platform, "a").await.unwrap().value.len(),
        MAX_ROW_BYTES
    );
    assert_eq!(row(&platform, "b").await, None);
}

/// Guards against keys that reach another path or are cut at a reserved character.
#[rstest]
#[case("")]
#[case("a?b")]
#[case("a#b")]
#[case("a%2Fb")]
#[case("a b")]
#[case("ä")]
#[tokio::test]
async fn foreign_object_keys_are_not_sent(#[case] key: &str) {
    let (store, platform) = store().await;
    let outcome = platform
        .call(Request::PutObject(key.into(), "x".into()))
        .await;
    assert!(
        matches!(outcome, Err(Failure::NotApplied(_))),
        "{outcome:?}"
    );
    let stats = store.stats();
    assert_eq!((stats.writes, stats.invalid), (0, 0));
}
