//! The planned stop and the admin listener.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use knapweedwall_wire::{Outcome, Settled, frame::Body};
use rstest::rstest;

use crate::bench::{Bench, WAIT, key, task};

fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn until_ready(address: SocketAddr, status: &str) {
    let end = Instant::now() + WAIT;
    while !get(address, "/readyz").starts_with(&format!("HTTP/1.1 {status}")) {
        assert!(Instant::now() < end, "readiness stays other than {status}");
    }
}

/// Guards against a stop that interrupts a task, loses its result or exits before it is settled.
#[rstest]
fn stop_finishes_running_tasks() {
    let mut bench = Bench::open(1);
    until_ready(bench.agent.admin(), "200");
    bench
        .entry
        .start(vec![task(1, 0, r#"{"ms":300,"result":"end"}"#)]);
    bench.endpoint.until("the start", |s| s.running == 1);
    bench.agent.stopper().stop();
    bench.entry.until("leaving", |entry| entry.left);
    until_ready(bench.agent.admin(), "503");
    bench.entry.credits = 1;
    let refused = bench.entry.run(task(2, 0, ""));
    assert_eq!(refused.outcome(), Outcome::Leaving);
    let report = bench.entry.report();
    assert_eq!(
        (report.outcome(), report.payload),
        (Outcome::Done, "end".into())
    );
    let jobs = vec![key(1).to_bytes()];
    bench.entry.send(Body::Settled(Settled { jobs }));
    bench.agent.join().unwrap();
    bench
        .entry
        .until("the end of the link", |entry| entry.downs == 1);
    assert_eq!(bench.endpoint.summary().starts, 1);
}

#[rstest]
fn metrics_count_tasks() {
    let mut bench = Bench::open(1);
    bench.entry.run(task(1, 0, r#"{"ms":0}"#));
    let metrics = get(bench.agent.admin(), "/metrics");
    assert!(
        metrics.contains("knapweedwall_agent_started_total 1"),
        "{metrics}"
    );
    assert!(metrics.contains("knapweedwall_agent_done_total 1"));
    assert!(metrics.contains("knapweedwall_agent_ledger_entries 1"));
}
