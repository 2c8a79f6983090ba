//! Slots and their violations.

use knapweedwall_lab::Chance;
use knapweedwall_lab::standin_endpoint::{Controls, Outcome};
use rstest::rstest;

use crate::client::{Client, endpoint, until_running};

/// Guards against requests beyond the slots that are refused, queued or not counted.
#[rstest]
#[tokio::test]
async fn excess_requests_are_counted_and_served() {
    let endpoint = endpoint(2, Controls::default()).await;
    endpoint.change(|c| c.hang = Chance::next(3)).await;
    let mut clients = Vec::new();
    for index in 0..3 {
        let mut client = Client::open(endpoint.address()).await;
        client.send(1, index, "{}").await;
        until_running(&endpoint, index + 1).await;
        clients.push(client);
    }
    let mut client = Client::open(endpoint.address()).await;
    assert_eq!(client.run(1, 3, "{}").await.0, 200);
    let summary = endpoint.summary();
    assert_eq!((summary.violations, summary.peak), (2, 4));
    drop(clients);
    until_running(&endpoint, 0).await;
    assert_eq!(endpoint.summary().outcomes[&Outcome::Dropped], 3);
}

/// Guards against a false violation when a client abandons a task and uses its slot again.
#[rstest]
#[tokio::test]
async fn abandoned_slot_is_free() {
    let endpoint = endpoint(1, Controls::default()).await;
    for index in 0..200 {
        let mut client = Client::open(endpoint.address()).await;
        client.send(1, index, r#"{"ms": 3600000}"#).await;
        until_running(&endpoint, 1).await;
        drop(client);
        let mut client = Client::open(endpoint.address()).await;
        assert_eq!(client.run(2, index, r#"{"ms": 0}"#).await.0, 200);
    }
    let summary = endpoint.summary();
    assert_eq!((summary.starts, summary.violations), (400, 0));
}

/// Guards against a slot that is still taken when the answer is out.
#[rstest]
#[tokio::test]
async fn answer_frees_the_slot_first() {
    let endpoint = endpoint(1, Controls::default()).await;
    let mut clients = Vec::new();
    for _ in 0..8 {
        clients.push(Client::open(endpoint.address()).await);
    }
    for index in 0..400 {
        let client = &mut clients[index as usize % 8];
        client.run(1, index, r#"{"ms": 0}"#).await;
    }
    let summary = endpoint.summary();
    assert_eq!((summary.violations, summary.peak), (0, 1));
}
