//! Planned stop.

use std::io::Write;

use rstest::rstest;

use crate::fixture::{Caller, Node};

const HELD: &str = r#"{"id":"h1","class":"a","tasks":[{"payload":"x"}]}"#;

// Guards against answers that are cut off by a stop.
#[rstest]
fn held_call_is_answered_before_the_end() {
    let node = Node::open();
    let mut caller = Caller::connect(node.http());
    caller.request("POST", "/v1/jobs", "", HELD);
    node.sees("Submit");
    node.process.stopper().stop();
    let (status, answer) = caller.answer();
    assert_eq!((status, &answer["state"]), (200, &"stopped".into()));
    node.process.join().unwrap();
    caller.closed();
}

// Guards against an end that waits for connections that nobody uses.
#[rstest]
fn idle_connections_are_closed() {
    let node = Node::open();
    let mut idle = Caller::connect(node.http());
    idle.request("GET", "/v1/jobs/e1", "", "");
    assert_eq!(idle.answer().0, 202);
    let stopper = node.process.stopper();
    stopper.stop();
    stopper.stop();
    let start = std::time::Instant::now();
    node.process.join().unwrap();
    assert!(start.elapsed() < std::time::Duration::from_secs(5));
    idle.closed();
}

// Guards against a request that is accepted at the end and never answered.
#[rstest]
fn request_after_the_end_is_refused_or_closed() {
    let node = Node::open();
    let mut caller = Caller::connect(node.http());
    caller.request("GET", "/v1/jobs/e1", "", "");
    assert_eq!(caller.answer().0, 202);
    node.process.stopper().stop();
    node.process.join().unwrap();
    let head = b"GET /v1/jobs/e1 HTTP/1.1\r\nhost: e\r\n\r\n";
    // The connection may be closed before or after the bytes are taken.
    let _written = caller.socket.write_all(head);
    caller.closed();
}
