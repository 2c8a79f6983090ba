//! Graceful stop and admin listener.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use knapweedwall_wire::{Outcome, Settled, frame::Body};
use rstest::rstest;

use crate::harness::{Harness, TIMEOUT, job_key, task_start};

fn http_get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

fn wait_for_readiness(address: SocketAddr, status: &str) {
    let deadline = Instant::now() + TIMEOUT;
    while !http_get(address, "/readyz").starts_with(&format!("HTTP/1.1 {status}")) {
        assert!(
            Instant::now() < deadline,
            "timed out waiting for /readyz to return {status}"
        );
    }
}

/// Guards against a graceful stop that interrupts a running task, loses its result, or exits before
/// the job is settled.
#[rstest]
fn stop_finishes_running_tasks() {
    let mut harness = Harness::start(1);
    wait_for_readiness(harness.agent.admin_address(), "200");
    harness
        .entry
        .start_tasks(vec![task_start(1, 0, r#"{"ms":300,"result":"end"}"#)]);
    harness.endpoint.wait_until("the start", |s| s.running == 1);
    harness.agent.stop_handle().stop();
    harness
        .entry
        .wait_until("the `Leaving` frame", |entry| entry.leaving);
    wait_for_readiness(harness.agent.admin_address(), "503");
    harness.entry.credits = 1;
    let refused = harness.entry.run_task(task_start(2, 0, ""));
    assert_eq!(refused.outcome(), Outcome::Leaving);
    let report = harness.entry.next_report();
    assert_eq!(
        (report.outcome(), report.payload),
        (Outcome::Done, "end".into())
    );
    let jobs = vec![job_key(1).to_bytes()];
    harness.entry.send(Body::Settled(Settled { jobs }));
    harness.agent.join().unwrap();
    harness
        .entry
        .wait_until("the end of the link", |entry| entry.links_down == 1);
    assert_eq!(harness.endpoint.summary().starts, 1);
}

#[rstest]
fn metrics_count_tasks() {
    let mut harness = Harness::start(1);
    harness.entry.run_task(task_start(1, 0, r#"{"ms":0}"#));
    let metrics = http_get(harness.agent.admin_address(), "/metrics");
    assert!(
        metrics.contains("knapweedwall_agent_started_total 1"),
        "{metrics}"
    );
    assert!(metrics.contains("knapweedwall_agent_done_total 1"));
    assert!(metrics.contains("knapweedwall_agent_ledger_entries 1"));
}
