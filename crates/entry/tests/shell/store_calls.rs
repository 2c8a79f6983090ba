//! Execution of store operations.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use rstest::rstest;

use crate::fakes::FakePlatform;
use crate::fixture::TestProcess;

fn job(id: &str) -> String {
    format!(r#"{{"id":"{id}","class":"a","tasks":[{{"payload":"x"}}]}}"#)
}

// Guards against store operations that are executed sequentially.
#[rstest]
fn operations_run_concurrently() {
    let started = Arc::new(AtomicUsize::new(0));
    let platform = FakePlatform {
        min_reads: 8,
        started: Arc::clone(&started),
    };
    let entry = Arc::new(TestProcess::start_with("", platform));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let entry = Arc::clone(&entry);
            thread::spawn(move || entry.call("POST", "/v1/jobs", &job(&format!("s{number}"))))
        })
        .collect();
    for client in clients {
        let (status, response) = client.join().unwrap();
        assert_eq!(status, 200);
        assert_eq!(response["outcome"], "Ok(Row(None))");
    }
    assert_eq!(started.load(Ordering::SeqCst), 8);
    let (_, text) = entry.get_admin("/metrics");
    assert!(text.contains("knapweedwall_store_calls_total{outcome=\"done\"} 8"));
    assert!(text.contains("knapweedwall_store_call_seconds_count 8"));
}

// Guards against a store operation without an outcome after a panic of the platform adapter.
#[rstest]
fn adapter_panic_yields_unknown_outcome() {
    let entry = TestProcess::start();
    let (status, response) = entry.call("POST", "/v1/jobs", &job("s-panic"));
    assert_eq!(status, 200);
    let outcome = response["outcome"].as_str().unwrap();
    assert!(outcome.starts_with("Err(Unknown("), "{outcome}");
}
