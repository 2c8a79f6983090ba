//! Each task is sent at most once, even if the endpoint closes connections during requests.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use knapweedwall_wire::Outcome;
use rstest::rstest;

use crate::harness::{FakeEntry, Harness, agent_settings, task_start};

/// Reads until the head of a request is complete; `None` if the connection ends before.
fn read_request_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1024];
    while !bytes.windows(4).any(|w| w == b"\r\n\r\n") {
        let read = stream.read(&mut chunk).ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..read]);
    }
    Some(String::from_utf8_lossy(&bytes).to_lowercase())
}

/// Starts an endpoint that responds to the first request of each connection and closes the
/// connection after receiving the second, so that the second request was certainly sent.
fn start_closing_endpoint(requests: Arc<AtomicUsize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let requests = Arc::clone(&requests);
            std::thread::spawn(move || {
                if read_request_head(&mut stream).is_none() {
                    return;
                }
                requests.fetch_add(1, Ordering::SeqCst);
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                if stream.write_all(response).is_ok() && read_request_head(&mut stream).is_some() {
                    requests.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    address
}

/// Guards against an automatic retry of a request that was sent, whether the task is idempotent or
/// not.
#[rstest]
#[case::non_idempotent(true)]
#[case::idempotent(false)]
fn sent_request_is_not_retried(#[case] non_idempotent: bool) {
    let requests = Arc::new(AtomicUsize::new(0));
    let endpoint = start_closing_endpoint(Arc::clone(&requests));
    let mut entry = FakeEntry::start("entry-1", 11, "127.0.0.1:0");
    let settings = agent_settings(1, endpoint, &[entry.address()]);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let _agent = knapweedwall_agent::Process::start(&settings, log).unwrap();
    let mut lost = 0;
    for index in 0..10 {
        let mut start = task_start(1, index, "");
        start.non_idempotent = non_idempotent;
        let report = entry.run_task(start);
        match report.outcome() {
            Outcome::Done => {}
            Outcome::Failed if report.code == "endpoint_lost" => lost += 1,
            other => panic!("unexpected outcome {other:?}"),
        }
    }
    assert_eq!(
        lost, 5,
        "the endpoint closes the connection on every second request"
    );
    assert_eq!(
        requests.load(Ordering::SeqCst),
        10,
        "one request for each task"
    );
}

/// Guards against the `non-idempotent` header missing on non-idempotent tasks, or being present on
/// others.
#[rstest]
fn non_idempotent_header_is_sent() {
    let mut harness = Harness::start(1);
    let mut start = task_start(1, 0, r#"{"ms":0}"#);
    start.non_idempotent = true;
    assert_eq!(harness.entry.run_task(start).outcome(), Outcome::Done);
    assert_eq!(
        harness
            .entry
            .run_task(task_start(1, 1, r#"{"ms":0}"#))
            .outcome(),
        Outcome::Done
    );
    let ledger = harness.endpoint.ledger();
    let non_idempotent = ledger.iter().map(|start| start.marked).collect::<Vec<_>>();
    assert_eq!(non_idempotent, [true, false]);
    assert_eq!(ledger[0].class, "short");
}
