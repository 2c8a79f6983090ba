//! Run times, speed and stalls.

use std::time::{Duration, Instant};

use knapweedwall_lab::standin_endpoint::{Controls, Speed, Stall};
use rstest::rstest;

use crate::client::{Client, endpoint};

/// Guards against a speed or a default run time that is not applied.
#[rstest]
#[case::named(r#"{"ms": 100}"#, 1.0, 100)]
#[case::slow(r#"{"ms": 100}"#, 0.5, 200)]
#[case::default("no JSON", 0.5, 120)]
#[case::other_json("[1, 2]", 1.0, 60)]
#[tokio::test]
async fn task_takes_its_time(#[case] payload: &str, #[case] speed: f64, #[case] least: u64) {
    let controls = Controls {
        speed: Speed::try_from(speed).unwrap(),
        run_time: Duration::from_millis(60),
        ..Controls::default()
    };
    let endpoint = endpoint(1, controls).await;
    let mut client = Client::open(endpoint.address()).await;
    let begun = Instant::now();
    assert_eq!(client.run(1, 0, payload).await, (200, b"ok".to_vec()));
    assert!(begun.elapsed() >= Duration::from_millis(least));
    let start = &endpoint.ledger()[0];
    // The ledger's clock is not the timer's; a millisecond covers its rounding.
    assert!(start.ended.unwrap() - start.started >= least * 1_000 - 1_000);
}

/// Guards against a fast endpoint that runs at speed 1.
#[rstest]
#[tokio::test]
async fn fast_endpoint_ends_early() {
    let controls = Controls {
        speed: Speed::try_from(1e6).unwrap(),
        ..Controls::default()
    };
    let endpoint = endpoint(1, controls).await;
    let mut client = Client::open(endpoint.address()).await;
    // At speed 1 the test would not end.
    assert_eq!(client.run(1, 0, r#"{"ms": 36000000}"#).await.0, 200);
}

/// Guards against stalls at other times than the last part of each period.
#[rstest]
#[case(0, None)]
#[case(799, None)]
#[case(800, Some(200))]
#[case(950, Some(50))]
#[case(1_000, None)]
#[case(1_999, Some(1))]
fn stall_ends_each_period(#[case] elapsed: u64, #[case] left: Option<u64>) {
    let stall = Stall {
        every: Duration::from_secs(1),
        length: Duration::from_millis(200),
    };
    let remaining = stall.remaining(Duration::from_millis(elapsed));
    assert_eq!(remaining, left.map(Duration::from_millis));
    assert_eq!(
        Stall::default().remaining(Duration::from_millis(elapsed)),
        None
    );
}

/// Guards against a stall that lets tasks end.
#[rstest]
#[tokio::test]
async fn stalled_endpoint_ends_no_task() {
    let every = Duration::from_secs(3_600);
    let controls = Controls {
        stall: Stall {
            every,
            length: every,
        },
        ..Controls::default()
    };
    let endpoint = endpoint(1, controls).await;
    let mut client = Client::open(endpoint.address()).await;
    client.send(1, 0, r#"{"ms": 0}"#).await;
    let answer = tokio::time::timeout(Duration::from_millis(200), client.response());
    assert!(answer.await.is_err());
    assert_eq!(endpoint.summary().running, 1);
}
