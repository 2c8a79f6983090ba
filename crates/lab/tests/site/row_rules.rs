//! Rows: conditions, ranges, history.

use knapweedwall_lab::site::{Change, Condition, HistoryGone, RowKey, Rows};
use rstest::rstest;

fn id(key: &str) -> RowKey {
    RowKey {
        table: "jobs".to_owned(),
        part: "p1".to_owned(),
        key: key.to_owned(),
    }
}

fn set(key: &str, value: &str) -> Change {
    Change {
        id: id(key),
        value: Some(value.to_owned()),
    }
}

/// Guards against a transaction that takes effect although a row has changed.
#[rstest]
fn conditions_guard_all_changes() {
    let mut rows = Rows::default();
    let absent = Condition {
        id: id("a"),
        version: 0,
    };
    let first = rows.transact(std::slice::from_ref(&absent), vec![set("a", "1")]);
    let first = first.unwrap();
    let again = rows.transact(&[absent], vec![set("a", "2"), set("b", "2")]);
    assert_eq!(again.unwrap_err().0[0].version, first);
    let (found, more) = rows.read("jobs", "p1", ("", None), 10);
    assert_eq!((found.len(), more), (1, false));
    assert_eq!(found[0].value.as_deref(), Some("1"));
}

/// Guards against rows of other parts, or beyond the range, in an answer.
#[rstest]
fn a_range_ends_before_its_target() {
    let mut rows = Rows::default();
    for key in ["a", "b", "c", "d"] {
        rows.transact(&[], vec![set(key, key)]).unwrap();
    }
    let keys = |range, limit| {
        let (found, more) = rows.read("jobs", "p1", range, limit);
        let keys: Vec<String> = found.into_iter().map(|row| row.id.key).collect();
        (keys.join(""), more)
    };
    assert_eq!(keys(("b", Some("d")), 10), ("bc".to_owned(), false));
    assert_eq!(keys(("", None), 3), ("abc".to_owned(), true));
    assert!(rows.read("jobs", "p2", ("", None), 10).0.is_empty());
    assert_eq!(rows.parts("jobs", ""), ["p1"]);
}

/// Guards against a reader of the feed that misses a change without being told.
#[rstest]
fn a_dropped_history_is_reported() {
    let mut rows = Rows::default();
    let first = rows.transact(&[], vec![set("a", "1")]).unwrap();
    let removed = Change {
        id: id("a"),
        value: None,
    };
    rows.transact(&[], vec![removed]).unwrap();
    let changed = rows.changes("jobs", first).unwrap();
    assert_eq!((changed.len(), changed[0].value.as_deref()), (1, None));
    rows.drop_history();
    assert_eq!(rows.changes("jobs", first), Err(HistoryGone));
    assert!(rows.changes("jobs", rows.version()).unwrap().is_empty());
}
