//! Transactions and their conditions.

use knapweedwall_core::store::{Condition, Reply, Row, Write};
use knapweedwall_platform::Platform;
use rstest::rstest;

use crate::fixture::{committed, put_absent, row, store, transact};

/// Guards against a conflict that names only the first failed condition or hides present rows.
#[rstest]
#[tokio::test]
async fn conflict_shows_every_present_row() {
    let (_store, platform) = store().await;
    let version = committed(platform.call(put_absent("a", b"one")).await);
    let conditions = vec![
        Condition::Absent("a".into()),
        Condition::Absent("free".into()),
        Condition::Version("a".into(), version + 1),
        Condition::Version("missing".into(), 1),
        Condition::Version("a".into(), version),
    ];
    let writes = vec![Write::Put("b".into(), "two".into())];
    let present = Some(Row {
        key: "a".into(),
        version,
        value: "one".into(),
    });
    let expected = vec![
        ("a".into(), present.clone()),
        ("a".into(), present),
        ("missing".into(), None),
    ];
    let outcome = platform.call(transact(conditions, writes)).await;
    assert_eq!(outcome, Ok(Reply::Conflict(expected)));
    assert_eq!(row(&platform, "b").await, None);
}

/// Guards against rows of one transaction that have different versions, or versions used again.
#[rstest]
#[tokio::test]
async fn rows_share_a_new_version() {
    let (store, platform) = store().await;
    let first = committed(platform.call(put_absent("a", b"one")).await);
    let writes = vec![
        Write::Put("a".into(), "two".into()),
        Write::Put("b".into(), "two".into()),
    ];
    let conditions = vec![Condition::Version("a".into(), first)];
    let second = committed(platform.call(transact(conditions, writes)).await);
    assert!(second > first);
    for key in ["a", "b"] {
        assert_eq!(row(&platform, key).await.unwrap().version, second);
    }
    let delete = transact(vec![], vec![Write::Delete("a".into())]);
    let third = committed(platform.call(delete).await);
    let again = committed(platform.call(put_absent("a", b"three")).await);
    assert!(third > second && again > third);
    assert_eq!(store.stats().writes, 4, "one transaction is one write");
}

/// Guards against a repeated write that takes effect twice.
#[rstest]
#[tokio::test]
async fn repeated_put_if_absent_finds_itself() {
    let (_store, platform) = store().await;
    let version = committed(platform.call(put_absent("journal/1", b"mine")).await);
    let outcome = platform.call(put_absent("journal/1", b"mine")).await;
    let Ok(Reply::Conflict(failed)) = outcome else {
        panic!("unexpected {outcome:?}");
    };
    let found = failed[0].1.as_ref().unwrap();
    assert_eq!((found.version, &found.value[..]), (version, &b"mine"[..]));
}
