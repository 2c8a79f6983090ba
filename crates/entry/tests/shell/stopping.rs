//! Graceful stop.

use std::io::Write;

use rstest::rstest;

use crate::fixture::{HttpClient, TestProcess};

const HELD_JOB: &str = r#"{"id":"h1","class":"a","tasks":[{"payload":"x"}]}"#;

// Guards against a stop that closes connections before open calls are answered.
#[rstest]
fn held_call_is_answered_before_the_process_ends() {
    let entry = TestProcess::start();
    let mut client = HttpClient::connect(entry.http_address());
    client.request("POST", "/v1/jobs", "", HELD_JOB);
    entry.wait_for_input("Submit");
    entry.process.stopper().stop();
    let (status, response) = client.read_json();
    assert_eq!((status, &response["state"]), (200, &"stopped".into()));
    entry.process.join().unwrap();
    client.wait_closed();
}

// Guards against a stop that waits for idle connections.
#[rstest]
fn idle_connections_are_closed() {
    let entry = TestProcess::start();
    let mut idle = HttpClient::connect(entry.http_address());
    idle.request("GET", "/v1/jobs/e1", "", "");
    assert_eq!(idle.read_json().0, 202);
    let stopper = entry.process.stopper();
    stopper.stop();
    stopper.stop();
    let start = std::time::Instant::now();
    entry.process.join().unwrap();
    assert!(start.elapsed() < std::time::Duration::from_secs(5));
    idle.wait_closed();
}

// Guards against a request that is accepted during shutdown and never answered.
#[rstest]
fn request_after_the_end_is_refused_or_closed() {
    let entry = TestProcess::start();
    let mut client = HttpClient::connect(entry.http_address());
    client.request("GET", "/v1/jobs/e1", "", "");
    assert_eq!(client.read_json().0, 202);
    entry.process.stopper().stop();
    entry.process.join().unwrap();
    let head = b"GET /v1/jobs/e1 HTTP/1.1\r\nhost: e\r\n\r\n";
    // The connection may be closed before or after the server reads the bytes.
    let _written = client.socket.write_all(head);
    client.wait_closed();
}
