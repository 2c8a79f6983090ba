//! Objects.

use bytes::Bytes;
use knapweedwall_core::store::{Reply, Request};
use knapweedwall_platform::Platform;
use rstest::rstest;

use crate::fixture::store;

/// Guards against contents that are changed on the way.
#[rstest]
#[case::empty(Bytes::new())]
#[case::bytes((0..=255).collect())]
#[case::large(vec![0xA5; 8 * 1024 * 1024].into())]
#[tokio::test]
async fn object_is_kept_until_deleted(#[case] content: Bytes) {
    let (_store, platform) = store().await;
    let key = "checkpoint/00ff/12";
    let get = || platform.call(Request::GetObject(key.into()));
    assert_eq!(get().await, Ok(Reply::Object(None)));
    let put = Request::PutObject(key.into(), content.clone());
    assert_eq!(platform.call(put).await, Ok(Reply::Done));
    assert_eq!(get().await, Ok(Reply::Object(Some(content))));
    for _ in 0..2 {
        let delete = Request::DeleteObject(key.into());
        assert_eq!(platform.call(delete).await, Ok(Reply::Done));
    }
    assert_eq!(get().await, Ok(Reply::Object(None)));
}
