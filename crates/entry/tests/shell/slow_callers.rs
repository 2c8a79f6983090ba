//! Clients that send or read slowly, or not at all.

use std::io::Write;
use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::fakes::FakePlatform;
use crate::fixture::{HttpClient, TestProcess};

const SHORT_LIMITS: &str = "  idle: 1s\n  body_time: 1s\n  connections: 4\n";

/// Sends `text` repeatedly, one byte per second, until the connection is closed.
fn send_slowly(client: &HttpClient, text: &'static str) -> thread::JoinHandle<()> {
    let mut socket = client.socket.try_clone().unwrap();
    thread::spawn(move || {
        for byte in text.bytes().cycle() {
            if socket.write_all(&[byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    })
}

// Guards against connections kept open by sending nothing, or headers at one byte per second.
#[rstest]
#[case(None)]
#[case(Some("GET /v1/status HTTP/1.1 with a long line "))]
#[case(Some("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))]
fn slow_headers_close_the_connection(#[case] text: Option<&'static str>) {
    let entry = TestProcess::start_with(SHORT_LIMITS, FakePlatform::default());
    let mut client = HttpClient::connect(entry.http_address());
    let sender = text.map(|text| send_slowly(&client, text));
    client.wait_closed();
    drop(client);
    if let Some(sender) = sender {
        sender.join().unwrap();
    }
}

// Guards against a body sent at one byte per second that holds its request open.
#[rstest]
fn slow_body_is_refused() {
    let entry = TestProcess::start_with(SHORT_LIMITS, FakePlatform::default());
    let mut client = HttpClient::connect(entry.http_address());
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: 50\r\n\r\n";
    client.socket.write_all(head.as_bytes()).unwrap();
    let sender = send_slowly(&client, " ");
    let (status, response) = client.read_json();
    assert_eq!(status, 408);
    assert_eq!(response["error"]["code"], "too_slow");
    assert_eq!(response["error"]["ran"], "none");
    drop(client);
    sender.join().unwrap();
}

// Guards against silent connections that are never closed: with a limit of 4 connections, they
// would block all further clients.
#[rstest]
fn silent_connections_do_not_block_others() {
    let entry = TestProcess::start_with(SHORT_LIMITS, FakePlatform::default());
    let silent: Vec<_> = (0..8)
        .map(|_| HttpClient::connect(entry.http_address()))
        .collect();
    assert_eq!(entry.call("GET", "/v1/jobs/e1", "").0, 202);
    drop(silent);
}

// Guards against unbounded buffering of responses for a client that never reads.
#[rstest]
fn client_that_never_reads_is_disconnected() {
    let entry = TestProcess::start_with(SHORT_LIMITS, FakePlatform::default());
    let mut client = HttpClient::connect(entry.http_address());
    let task = format!(r#"{{"payload":"{}"}}"#, "x".repeat(16_000));
    let tasks = vec![task; 60].join(",");
    let body = format!(r#"{{"id":"e1","class":"a","tasks":[{tasks}]}}"#);
    // Sends requests without reading responses until the connection fails.
    let timeout = Some(Duration::from_secs(20));
    client.socket.set_write_timeout(timeout).unwrap();
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut failed = None;
    while failed.is_none() {
        let written = client.socket.write_all(head.as_bytes());
        failed = written
            .and_then(|()| client.socket.write_all(body.as_bytes()))
            .err();
    }
    let kind = failed.unwrap().kind();
    let closed = [
        std::io::ErrorKind::ConnectionReset,
        std::io::ErrorKind::BrokenPipe,
    ];
    assert!(closed.contains(&kind), "{kind:?}");
}

// Guards against the idle timeout closing a connection with a waiting call.
#[rstest]
fn long_wait_is_not_idle() {
    let entry = TestProcess::start_with(SHORT_LIMITS, FakePlatform::default());
    let mut client = HttpClient::connect(entry.http_address());
    let body = r#"{"id":"h1","class":"a","tasks":[{"payload":"x"}]}"#;
    client.request("POST", "/v1/jobs", "", body);
    entry.wait_for_input("Submit");
    thread::sleep(Duration::from_secs(4));
    entry.process.stopper().stop();
    assert_eq!(client.read_json().0, 200);
}
