//! The ledger as a witness.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use knapweedwall_lab::standin_endpoint::{Controls, Doubled, Outcome, Start, Summary};
use rstest::rstest;
use tokio::runtime::Builder;
use tokio::task::JoinSet;

use crate::client::{Client, call, endpoint};

/// Runs 50 tasks on each of ten connections, on a thread of its own.
fn ten_clients(address: SocketAddr, first: u32) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let mut clients = JoinSet::new();
    for number in first..first + 10 {
        let client = async move {
            let mut client = Client::open(address).await;
            for index in 0..50 {
                // Two clients share each job of the first twenty; the others have their own.
                let job = if number < 20 { number / 2 } else { number };
                let (status, _) = client.run(job, index, r#"{"ms": 1}"#).await;
                assert_eq!(status, 200);
            }
        };
        clients.spawn_on(client, runtime.handle());
    }
    runtime.block_on(clients.join_all());
}

/// Guards against starts or doubled starts that are missed when many connections are busy.
#[rstest]
#[tokio::test]
async fn doubled_starts_are_counted_under_load() {
    let endpoint = endpoint(64, Controls::default()).await;
    let address = endpoint.address();
    let mut threads = JoinSet::new();
    for first in [0, 10, 20, 30] {
        threads.spawn_blocking(move || ten_clients(address, first));
    }
    threads.join_all().await;
    let summary = endpoint.summary();
    assert_eq!((summary.starts, summary.doubled), (2_000, 500));
    assert_eq!((summary.running, summary.violations), (0, 0));
    assert!((1..=40).contains(&summary.peak));
    assert_eq!(summary.outcomes, BTreeMap::from([(Outcome::Ok, 2_000)]));
    assert_eq!(summary.classes, BTreeMap::from([("short".into(), 2_000)]));
    let first = Doubled {
        job: format!("{:032x}", 0).into(),
        index: 0,
        starts: 2,
    };
    assert_eq!(
        (summary.examples.len(), &summary.examples[0]),
        (100, &first)
    );
}

/// Guards against a ledger that reports something else over HTTP than it counted.
#[rstest]
#[tokio::test]
async fn ledger_is_reported() {
    let endpoint = endpoint(1, Controls::default()).await;
    let mut client = Client::open(endpoint.address()).await;
    client
        .write(
            "POST /run HTTP/1.1\r\nhost: x\r\njob: 00ff\r\nindex: 7\r\nclass: sms\r\n\
             non-idempotent: true\r\ncontent-length: 0\r\n\r\n",
        )
        .await;
    assert_eq!(client.response().await.unwrap(), (200, b"ok".to_vec()));
    client
        .run(2, 0, r#"{"ms": 1, "fail": true, "result": "no"}"#)
        .await;
    for address in [endpoint.address(), endpoint.control_address()] {
        let (_, text) = call(address, "GET /ledger", "").await;
        let starts: Vec<Start> = serde_json::from_str(&text).unwrap();
        assert_eq!(starts, endpoint.ledger());
        assert_eq!(&*starts[0].job, format!("{:032x}", 0xff));
        assert_eq!((starts[0].index, &*starts[0].class), (7, "sms"));
        assert!(starts[0].marked && !starts[1].marked);
        assert!(starts[0].ended.unwrap() >= starts[0].started);
        assert_eq!(starts[1].outcome, Outcome::Failed);
        let (_, text) = call(address, "GET /ledger/summary", "").await;
        let summary: Summary = serde_json::from_str(&text).unwrap();
        assert_eq!(summary, endpoint.summary());
        assert_eq!((summary.starts, summary.doubled), (2, 0));
    }
}

/// Guards against a cleared ledger that still counts, or that forgets a slot in use.
#[rstest]
#[tokio::test]
async fn cleared_ledger_keeps_slots() {
    let endpoint = endpoint(1, Controls::default()).await;
    let address = endpoint.address();
    let mut busy = Client::open(address).await;
    busy.send(1, 0, r#"{"ms": 3600000}"#).await;
    crate::client::until_running(&endpoint, 1).await;
    call(address, "POST /ledger/clear", "").await;
    let summary = endpoint.summary();
    assert_eq!((summary.starts, summary.running), (0, 1));
    let mut client = Client::open(address).await;
    client.run(1, 0, r#"{"ms": 0}"#).await;
    drop(busy);
    crate::client::until_running(&endpoint, 0).await;
    let summary = endpoint.summary();
    assert_eq!(
        (summary.starts, summary.doubled, summary.violations),
        (1, 0, 1)
    );
    assert_eq!(summary.outcomes, BTreeMap::from([(Outcome::Ok, 1)]));
}

/// Guards against requests without a task's identity that count as starts.
#[rstest]
#[case::no_job("index: 0\r\nclass: c")]
#[case::bad_job("job: xyz\r\nindex: 0\r\nclass: c")]
#[case::long_job("job: 1fffffffffffffffffffffffffffffffff\r\nindex: 0\r\nclass: c")]
#[case::no_index("job: 1\r\nclass: c")]
#[case::bad_index("job: 1\r\nindex: -1\r\nclass: c")]
#[case::no_class("job: 1\r\nindex: 0")]
#[tokio::test]
async fn anonymous_requests_are_not_started(#[case] headers: &str) {
    let endpoint = endpoint(1, Controls::default()).await;
    let mut client = Client::open(endpoint.address()).await;
    let request =
        format!("POST /run HTTP/1.1\r\nhost: x\r\n{headers}\r\ncontent-length: 2\r\n\r\n{{}}");
    client.write(&request).await;
    assert_eq!(client.response().await.unwrap().0, 400);
    let summary = endpoint.summary();
    assert_eq!((summary.starts, summary.invalid), (0, 1));
}
