//! Faults of the endpoint.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

use knapweedwall_lab::Chance;
use knapweedwall_lab::standin_endpoint::{Controls, Outcome};
use rstest::rstest;
use tokio::net::TcpStream;

use crate::client::{Client, call, endpoint, until, until_running};

/// Guards against a failure that is not recorded as a start, or that takes its run time.
#[rstest]
#[tokio::test]
async fn failing_endpoint_fails_at_once() {
    let controls = Controls {
        fail: Chance::always(),
        ..Controls::default()
    };
    let endpoint = endpoint(1, controls).await;
    let mut client = Client::open(endpoint.address()).await;
    // The run time is longer than any test may take.
    let (status, body) = client.run(1, 0, r#"{"ms": 3600000}"#).await;
    assert_eq!((status, &body[..]), (500, &b"ok"[..]));
    let starts = endpoint.ledger();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].outcome, Outcome::Failed);
}

/// Guards against a fault that answers like a healthy endpoint.
#[rstest]
#[tokio::test]
async fn reset_gives_no_answer() {
    let endpoint = endpoint(1, Controls::default()).await;
    endpoint.change(|c| c.reset = Chance::next(1)).await;
    let mut client = Client::open(endpoint.address()).await;
    client.send(1, 0, "{}").await;
    let error = client.response().await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert_eq!(endpoint.ledger()[0].outcome, Outcome::Reset);
    let mut client = Client::open(endpoint.address()).await;
    assert_eq!(client.run(1, 1, "{}").await.0, 200);
}

/// Guards against an ignored request that is answered or recorded as a start.
#[rstest]
#[tokio::test]
async fn ignored_request_does_not_start() {
    let endpoint = endpoint(1, Controls::default()).await;
    endpoint.change(|c| c.ignore = Chance::next(1)).await;
    let mut ignored = Client::open(endpoint.address()).await;
    ignored.send(1, 0, "{}").await;
    // The fault is used up once the request has arrived.
    while call(endpoint.control_address(), "GET /control", "")
        .await
        .1
        .contains(r#""ignore":{"next":1"#)
    {
        tokio::task::yield_now().await;
    }
    let mut other = Client::open(endpoint.address()).await;
    assert_eq!(other.run(1, 1, "{}").await.0, 200);
    drop(ignored);
    let starts = endpoint.ledger();
    assert_eq!(starts.iter().map(|s| s.index).collect::<Vec<_>>(), [1]);
}

/// Guards against garbage that a client could take for an answer.
#[rstest]
#[tokio::test]
async fn garbage_is_no_response() {
    let endpoint = endpoint(1, Controls::default()).await;
    endpoint.change(|c| c.garbage = Chance::next(1)).await;
    let mut client = Client::open(endpoint.address()).await;
    client.send(1, 0, "{}").await;
    let bytes = client.rest().await.unwrap();
    assert!(!bytes.is_empty() && !bytes.starts_with(b"HTTP"));
    assert_eq!(endpoint.ledger()[0].outcome, Outcome::Garbage);
}

/// Guards against a mangled result that is valid text.
#[rstest]
#[tokio::test]
async fn mangled_result_is_not_text() {
    let endpoint = endpoint(1, Controls::default()).await;
    endpoint.change(|c| c.mangled = Chance::next(1)).await;
    let mut client = Client::open(endpoint.address()).await;
    let (status, body) = client.run(1, 0, "{}").await;
    assert_eq!(status, 200);
    assert!(std::str::from_utf8(&body).is_err());
}

/// Guards against a second answer that never reaches the client, which would leave mistaken
/// answers untested.
#[rstest]
#[tokio::test]
async fn second_answer_precedes_the_next() {
    let endpoint = endpoint(1, Controls::default()).await;
    endpoint.change(|c| c.twice = Chance::next(1)).await;
    let mut client = Client::open(endpoint.address()).await;
    client.send(1, 0, r#"{"result": "first"}"#).await;
    assert_eq!(client.response().await.unwrap().1, b"first");
    client.send(1, 1, r#"{"result": "second"}"#).await;
    assert_eq!(client.response().await.unwrap().1, b"first");
    assert_eq!(client.response().await.unwrap().1, b"second");
    let outcomes = endpoint
        .ledger()
        .iter()
        .map(|s| s.outcome)
        .collect::<Vec<_>>();
    assert_eq!(outcomes, [Outcome::Twice, Outcome::Ok]);
}

/// Guards against a late answer that holds its slot.
#[rstest]
#[tokio::test]
async fn late_answer_holds_no_slot() {
    let controls = Controls {
        late: Chance::next(1),
        late_by: Duration::from_secs(3_600),
        ..Controls::default()
    };
    let endpoint = endpoint(1, controls).await;
    let mut late = Client::open(endpoint.address()).await;
    late.send(1, 0, r#"{"ms": 1}"#).await;
    until(|| endpoint.ledger().first().is_some_and(|s| s.ended.is_some())).await;
    let mut other = Client::open(endpoint.address()).await;
    assert_eq!(other.run(1, 1, r#"{"ms": 1}"#).await.0, 200);
    assert_eq!(endpoint.summary().violations, 0);
    assert_eq!(endpoint.ledger()[0].outcome, Outcome::Late);
}

/// Guards against a late answer that comes early or never.
#[rstest]
#[tokio::test]
async fn late_answer_comes_late() {
    let controls = Controls {
        late: Chance::next(1),
        late_by: Duration::from_millis(300),
        ..Controls::default()
    };
    let endpoint = endpoint(1, controls).await;
    let mut client = Client::open(endpoint.address()).await;
    let begun = Instant::now();
    assert_eq!(
        client.run(1, 0, r#"{"ms": 1}"#).await,
        (200, b"ok".to_vec())
    );
    assert!(begun.elapsed() >= Duration::from_millis(300));
}

/// Guards against a refusal that accepts the connection first, and against a port that is lost.
#[rstest]
#[tokio::test]
async fn refusing_endpoint_returns_on_its_port() {
    let endpoint = endpoint(1, Controls::default()).await;
    let address = endpoint.address();
    let mut client = Client::open(address).await;
    client.send(1, 0, r#"{"ms": 3600000}"#).await;
    until_running(&endpoint, 1).await;
    for _ in 0..20 {
        endpoint.change(|c| c.refuse = true).await;
        let error = TcpStream::connect(address).await.unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
        endpoint.change(|c| c.refuse = false).await;
        let mut client = Client::open(address).await;
        assert_eq!(client.run(1, 1, r#"{"ms": 0}"#).await.0, 200);
    }
    assert!(client.response().await.is_err());
    assert_eq!(endpoint.ledger()[0].outcome, Outcome::Dropped);
}

/// Guards against shares that are not kept, or that differ between runs with the same seed.
#[rstest]
#[tokio::test]
async fn share_is_kept_and_repeatable() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let endpoint = endpoint(1, Controls::default()).await;
        let share = 0.25.try_into().unwrap();
        endpoint.change(|c| c.fail.share = share).await;
        let mut client = Client::open(endpoint.address()).await;
        let mut statuses = Vec::new();
        for index in 0..400 {
            statuses.push(client.run(1, index, r#"{"ms": 0}"#).await.0);
        }
        runs.push(statuses);
        let expected: BTreeMap<_, _> = endpoint.summary().outcomes;
        let failed = expected[&Outcome::Failed];
        assert!((60..=140).contains(&failed), "{failed} of 400");
    }
    assert_eq!(runs[0], runs[1]);
}
