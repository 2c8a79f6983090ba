//! Store, adapter and requests of the tests.

use std::time::{Duration, Instant};

use bytes::Bytes;
use knapweedwall_core::store::{Condition, Outcome, Reply, Request, Row, Transaction, Write};
use knapweedwall_lab::standin_store::{Controls, Settings, StandinStore};
use knapweedwall_platform::{HttpPlatform, Platform};

/// Longer than any delay of a busy machine; only failing tests wait for it.
pub const PATIENT: Duration = Duration::from_secs(60);

/// Time-out of calls that are never answered; long enough to send a request on a busy machine.
pub const BRIEF: Duration = Duration::from_secs(1);

/// Waits until the condition holds; fails after [`PATIENT`].
pub async fn until(mut condition: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(
            begun.elapsed() < PATIENT,
            "the condition does not come true"
        );
        tokio::task::yield_now().await;
    }
}

/// A store whose rates and times do not matter to the test.
pub async fn store() -> (StandinStore, HttpPlatform) {
    store_with(Controls {
        write_time: Duration::from_millis(1),
        read_time: Duration::ZERO,
        write_rate: 1_000_000,
        read_rate: 1_000_000,
        ..Controls::default()
    })
    .await
}

/// A store with this behaviour.
pub async fn store_with(controls: Controls) -> (StandinStore, HttpPlatform) {
    let settings = Settings {
        controls,
        ..Settings::default()
    };
    let store = StandinStore::open(&settings).await.unwrap();
    let platform = HttpPlatform::new(store.address(), PATIENT);
    (store, platform)
}

/// A write on condition that the key is absent.
pub fn put_absent(key: &str, value: &'static [u8]) -> Request {
    transact(
        vec![Condition::Absent(key.into())],
        vec![Write::Put(key.into(), Bytes::from_static(value))],
    )
}

/// A transaction.
pub fn transact(conditions: Vec<Condition>, writes: Vec<Write>) -> Request {
    Request::Transact(Transaction { conditions, writes })
}

/// Reads a row.
pub async fn row(platform: &dyn Platform, key: &str) -> Option<Row> {
    match platform.call(Request::Get(key.into())).await {
        Ok(Reply::Row(row)) => row,
        other => panic!("unexpected {other:?}"),
    }
}

/// Version of a transaction that took effect.
pub fn committed(outcome: Outcome) -> u64 {
    match outcome {
        Ok(Reply::Committed(version)) => version,
        other => panic!("unexpected {other:?}"),
    }
}
