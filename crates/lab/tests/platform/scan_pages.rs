//! Scans in pages.

use bytes::Bytes;
use knapweedwall_core::store::{Reply, Request, Write};
use knapweedwall_platform::{HttpPlatform, Platform};
use rstest::rstest;
use smol_str::SmolStr;

use crate::fixture::{committed, store, transact};

/// Reads all keys with this prefix, `limit` at a time; returns the keys of each page.
async fn pages(platform: &HttpPlatform, prefix: &str, limit: u32) -> Vec<Vec<SmolStr>> {
    let mut pages = Vec::new();
    let mut after = SmolStr::default();
    loop {
        let request = Request::Scan {
            prefix: prefix.into(),
            after: after.clone(),
            limit,
        };
        let outcome = platform.call(request).await;
        let Ok(Reply::Rows(rows, more)) = outcome else {
            panic!("unexpected {outcome:?}");
        };
        pages.push(rows.iter().map(|r| r.key.clone()).collect());
        if !more {
            return pages;
        }
        after = rows.last().unwrap().key.clone();
    }
}

/// Guards against pages that skip, repeat or reorder rows, or leave the prefix.
#[rstest]
#[case(1, 5)]
#[case(2, 3)]
#[case(5, 1)]
#[case(100, 1)]
#[tokio::test]
async fn pages_cover_the_prefix(#[case] limit: u32, #[case] count: usize) {
    let (_store, platform) = store().await;
    let put = |key: &str| Write::Put(key.into(), Bytes::new());
    let keys = ["a", "b", "b/", "b/1", "b/10", "b/2", "b/é", "c"];
    committed(platform.call(transact(vec![], keys.map(put).into())).await);
    let pages = pages(&platform, "b/", limit).await;
    assert_eq!(pages.len(), count);
    assert_eq!(pages.concat(), ["b/", "b/1", "b/10", "b/2", "b/é"]);
}

/// Guards against a page of large rows that exceeds what a client accepts, or never ends.
#[rstest]
#[tokio::test]
async fn large_rows_are_split() {
    let (_store, platform) = store().await;
    for number in 0..6 {
        let value = vec![0_u8; 1024 * 1024].into();
        let write = Write::Put(format!("b/{number}").into(), value);
        committed(platform.call(transact(vec![], vec![write])).await);
    }
    let pages = pages(&platform, "b/", 100).await;
    assert_eq!(pages.iter().map(Vec::len).collect::<Vec<_>>(), [4, 2]);
}
