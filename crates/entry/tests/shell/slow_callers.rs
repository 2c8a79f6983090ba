//! Callers that send or read slowly, or not at all.

use std::io::Write;
use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::fake::Rows;
use crate::fixture::{Caller, Node};

const SHORT: &str = "  idle: 1s\n  body_time: 1s\n  connections: 4\n";

/// Sends `text` one byte a second until the connection is closed.
fn trickle(caller: &Caller, text: &'static str) -> thread::JoinHandle<()> {
    let mut socket = caller.socket.try_clone().unwrap();
    thread::spawn(move || {
        for byte in text.bytes().cycle() {
            if socket.write_all(&[byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    })
}

// Guards against connections that are held by sending nothing, or headers one byte a second.
#[rstest]
#[case(None)]
#[case(Some("GET /v1/status HTTP/1.1 with a long line "))]
#[case(Some("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))]
fn slow_headers_are_cut_off(#[case] text: Option<&'static str>) {
    let node = Node::with(SHORT, Rows::default());
    let mut caller = Caller::connect(node.http());
    let sender = text.map(|text| trickle(&caller, text));
    caller.closed();
    drop(caller);
    if let Some(sender) = sender {
        sender.join().unwrap();
    }
}

// Guards against a body that comes one byte a second.
#[rstest]
fn slow_body_is_refused() {
    let node = Node::with(SHORT, Rows::default());
    let mut caller = Caller::connect(node.http());
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: 50\r\n\r\n";
    caller.socket.write_all(head.as_bytes()).unwrap();
    let sender = trickle(&caller, " ");
    let (status, answer) = caller.answer();
    assert_eq!(status, 408);
    assert_eq!(answer["error"]["code"], "too_slow");
    assert_eq!(answer["error"]["ran"], "none");
    drop(caller);
    sender.join().unwrap();
}

// Guards against connections without a bound: more than 4 silent ones would hold the fifth up
// for ever if they were not closed.
#[rstest]
fn silent_connections_do_not_shut_others_out() {
    let node = Node::with(SHORT, Rows::default());
    let silent: Vec<_> = (0..8).map(|_| Caller::connect(node.http())).collect();
    assert_eq!(node.call("GET", "/v1/jobs/e1", "").0, 202);
    drop(silent);
}

// Guards against answers that are held for a caller that never reads.
#[rstest]
fn caller_that_never_reads_is_closed() {
    let node = Node::with(SHORT, Rows::default());
    let mut caller = Caller::connect(node.http());
    let task = format!(r#"{{"payload":"{}"}}"#, "x".repeat(16_000));
    let tasks = vec![task; 60].join(",");
    let body = format!(r#"{{"id":"e1","class":"a","tasks":[{tasks}]}}"#);
    // Requests follow one another without a read until the connection fails.
    let timeout = Some(Duration::from_secs(20));
    caller.socket.set_write_timeout(timeout).unwrap();
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut failed = None;
    while failed.is_none() {
        let written = caller.socket.write_all(head.as_bytes());
        failed = written
            .and_then(|()| caller.socket.write_all(body.as_bytes()))
            .err();
    }
    let kind = failed.unwrap().kind();
    let closed = [
        std::io::ErrorKind::ConnectionReset,
        std::io::ErrorKind::BrokenPipe,
    ];
    assert!(closed.contains(&kind), "{kind:?}");
}

// Guards against a waiting caller that is taken for an idle one.
#[rstest]
fn long_wait_is_not_idle() {
    let node = Node::with(SHORT, Rows::default());
    let mut caller = Caller::connect(node.http());
    let body = r#"{"id":"h1","class":"a","tasks":[{"payload":"x"}]}"#;
    caller.request("POST", "/v1/jobs", "", body);
    node.sees("Submit");
    thread::sleep(Duration::from_secs(4));
    node.process.stopper().stop();
    assert_eq!(caller.answer().0, 200);
}
