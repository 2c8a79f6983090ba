//! Changes of the behaviour at run time.

use knapweedwall_lab::standin_endpoint::Controls;
use rstest::rstest;

use crate::client::{Client, call, endpoint};

/// Guards against a change that resets the fields it does not name.
#[rstest]
#[tokio::test]
async fn change_keeps_other_fields() {
    let endpoint = endpoint(1, Controls::default()).await;
    let address = endpoint.control_address();
    call(
        address,
        "POST /control",
        r#"{"speed": 2, "run_time": "0s"}"#,
    )
    .await;
    let change = r#"{"fail": {"next": 1}}"#;
    let (status, text) = call(address, "POST /control", change).await;
    assert_eq!(status, 200);
    assert_eq!(call(address, "GET /control", "").await.1, text);
    let controls: Controls = serde_json::from_str(&text).unwrap();
    assert_eq!((f64::from(controls.speed), controls.fail.next), (2.0, 1));
    let mut client = Client::open(endpoint.address()).await;
    assert_eq!(client.run(1, 0, "{}").await.0, 500);
    assert_eq!(client.run(1, 1, "{}").await.0, 200);
}

/// Guards against a malformed change that is ignored or applied in part.
#[rstest]
#[case::no_json("speed: 2")]
#[case::no_object("[]")]
#[case::unknown_field(r#"{"run_time": "1s", "sped": 2}"#)]
#[case::negative_speed(r#"{"run_time": "1s", "speed": -1}"#)]
#[case::share_above_one(r#"{"run_time": "1s", "fail": {"share": 1.5}}"#)]
#[case::number_as_time(r#"{"run_time": 5}"#)]
#[tokio::test]
async fn malformed_change_is_refused(#[case] change: &str) {
    let endpoint = endpoint(1, Controls::default()).await;
    let address = endpoint.address();
    let before = call(address, "GET /control", "").await;
    assert_eq!(call(address, "POST /control", change).await.0, 400);
    assert_eq!(call(address, "GET /control", "").await, before);
}

/// Guards against an answer that is lost because its own connection is closed.
#[rstest]
#[tokio::test]
async fn main_address_cannot_refuse_itself() {
    let endpoint = endpoint(1, Controls::default()).await;
    let change = r#"{"refuse": true}"#;
    let (status, _) = call(endpoint.address(), "POST /control", change).await;
    assert_eq!(status, 400);
    let control = endpoint.control_address();
    assert_eq!(call(control, "POST /control", change).await.0, 200);
    assert!(
        tokio::net::TcpStream::connect(endpoint.address())
            .await
            .is_err()
    );
    assert_eq!(call(control, "GET /ledger", "").await.1, "[]");
}
