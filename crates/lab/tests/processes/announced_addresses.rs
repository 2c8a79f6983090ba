//! Addresses that the processes print.

use std::time::Duration;

use assert_cmd::Command;
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use knapweedwall_core::store::{Reply, Request};
use knapweedwall_platform::{HttpPlatform, Platform};
use rstest::rstest;

use crate::child::{ENDPOINT, STORE, Standin};

/// Guards against a process that announces an address before it listens there.
#[rstest]
#[tokio::test]
async fn announced_store_answers() {
    let store = Standin::start(STORE, &[]);
    let platform = HttpPlatform::new(store.listening, Duration::from_secs(60));
    let outcome = platform.call(Request::Get("a".into())).await;
    assert_eq!(outcome, Ok(Reply::Row(None)));
}

/// Guards against a process that announces an address before it listens there.
#[rstest]
#[case(STORE, "/control/stats")]
#[case(ENDPOINT, "/ledger/summary")]
#[tokio::test]
async fn both_addresses_serve_the_control_api(#[case] binary: &str, #[case] path: &str) {
    let standin = Standin::start(binary, &[]);
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    for address in [standin.listening, standin.control] {
        let uri = format!("http://{address}{path}").parse().unwrap();
        assert_eq!(client.get(uri).await.unwrap().status(), 200);
    }
}

/// Guards against a process that goes on without its address.
#[rstest]
#[case(STORE)]
#[case(ENDPOINT)]
fn taken_address_is_an_error(#[case] binary: &str) {
    let first = Standin::start(binary, &[]);
    let address = first.listening.to_string();
    let output = Command::new(binary)
        .args(["--listen", &address])
        .output()
        .unwrap();
    assert!(!output.status.success() && output.stdout.is_empty());
    assert!(String::from_utf8_lossy(&output.stderr).contains(&address));
}
