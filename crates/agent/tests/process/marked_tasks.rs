//! At most one start of a task, with an endpoint that closes connections at the worst moment.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use knapweedwall_wire::Outcome;
use rstest::rstest;

use crate::bench::{Bench, Entry, settings, task};

/// Reads a whole request; `None` when the connection ends before its head is complete.
fn read_request(stream: &mut TcpStream) -> Option<String> {
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

/// An endpoint that answers the first request of each connection and closes the connection when
/// the second has arrived, so that the second certainly was sent.
fn closing_endpoint(requests: Arc<AtomicUsize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let requests = Arc::clone(&requests);
            std::thread::spawn(move || {
                if read_request(&mut stream).is_none() {
                    return;
                }
                requests.fetch_add(1, Ordering::SeqCst);
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                if stream.write_all(answer).is_ok() && read_request(&mut stream).is_some() {
                    requests.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    address
}

/// Guards against an automatic repeat of a request that was sent, marked or not.
#[rstest]
#[case::marked(true)]
#[case::unmarked(false)]
fn sent_request_is_never_repeated(#[case] marked: bool) {
    let requests = Arc::new(AtomicUsize::new(0));
    let endpoint = closing_endpoint(Arc::clone(&requests));
    let mut entry = Entry::open("entry-1", 11, "127.0.0.1:0");
    let settings = settings(1, endpoint, &[entry.address()]);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let _agent = knapweedwall_agent::Process::open(&settings, log).unwrap();
    let mut lost = 0;
    for index in 0..10 {
        let mut start = task(1, index, "");
        start.non_idempotent = marked;
        let report = entry.run(start);
        match report.outcome() {
            Outcome::Done => {}
            Outcome::Failed if report.code == "endpoint_lost" => lost += 1,
            other => panic!("unexpected outcome {other:?}"),
        }
    }
    assert_eq!(lost, 5, "every second request meets the close");
    assert_eq!(
        requests.load(Ordering::SeqCst),
        10,
        "one request for each task"
    );
}

/// Guards against the mark not reaching the endpoint, and against marks on other tasks.
#[rstest]
fn mark_is_passed_on() {
    let mut bench = Bench::open(1);
    let mut marked = task(1, 0, r#"{"ms":0}"#);
    marked.non_idempotent = true;
    assert_eq!(bench.entry.run(marked).outcome(), Outcome::Done);
    assert_eq!(
        bench.entry.run(task(1, 1, r#"{"ms":0}"#)).outcome(),
        Outcome::Done
    );
    let ledger = bench.endpoint.ledger();
    let marks = ledger.iter().map(|start| start.marked).collect::<Vec<_>>();
    assert_eq!(marks, [true, false]);
    assert_eq!(ledger[0].class, "short");
}
