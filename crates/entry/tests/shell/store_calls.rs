//! Store operations.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use rstest::rstest;

use crate::fake::Rows;
use crate::fixture::Node;

fn job(id: &str) -> String {
    format!(r#"{{"id":"{id}","class":"a","tasks":[{{"payload":"x"}}]}}"#)
}

// Guards against store operations that run one after the other.
#[rstest]
fn operations_run_at_the_same_time() {
    let started = Arc::new(AtomicUsize::new(0));
    let rows = Rows {
        gate: 8,
        started: Arc::clone(&started),
    };
    let node = Arc::new(Node::with("", rows));
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let node = Arc::clone(&node);
            thread::spawn(move || node.call("POST", "/v1/jobs", &job(&format!("s{number}"))))
        })
        .collect();
    for caller in callers {
        let (status, answer) = caller.join().unwrap();
        assert_eq!(status, 200);
        assert_eq!(answer["outcome"], "Ok(Row(None))");
    }
    assert_eq!(started.load(Ordering::SeqCst), 8);
    let (_, text) = node.admin("/metrics");
    assert!(text.contains("knapweedwall_store_calls_total{outcome=\"done\"} 8"));
    assert!(text.contains("knapweedwall_store_call_seconds_count 8"));
}

// Guards against an outcome that never comes because the adapter panicked.
#[rstest]
fn panic_of_the_adapter_is_an_unknown_outcome() {
    let node = Node::open();
    let (status, answer) = node.call("POST", "/v1/jobs", &job("s-panic"));
    assert_eq!(status, 200);
    let outcome = answer["outcome"].as_str().unwrap();
    assert!(outcome.starts_with("Err(Unknown("), "{outcome}");
}
