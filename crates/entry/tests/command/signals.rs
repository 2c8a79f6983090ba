//! Start failures and graceful stop by signal.

use std::os::unix::process::ExitStatusExt;
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::fixture::{
    EntryProcess, request, settings_file, settings_with_store, settings_without_store, start_store,
};

// Guards against signals that kill the process or are ignored.
#[rstest]
#[case("TERM")]
#[case("INT")]
fn first_signal_stops_gracefully(#[case] signal: &str) {
    let path = settings_file(&format!("stop-{signal}"), &settings_without_store());
    let mut process = EntryProcess::start(&path);
    let started = process.wait_for_event(160);
    assert!(started.contains("\"http\":\"127.0.0.1:"), "{started}");
    process.signal(signal);
    process.wait_for_event(161);
    process.wait_for_event(162);
    let status = process.child.wait().unwrap();
    assert_eq!((status.code(), status.signal()), (Some(0), None));
}

/// Returns the value of a field of a JSON log record.
fn field(record: &str, name: &str) -> String {
    let record: serde_json::Value = serde_json::from_str(record).unwrap();
    record[name].as_str().unwrap().to_owned()
}

/// Starts a process that has accepted a job for which there is no agent, and asks it to stop.
fn stopping_with_a_job(name: &str, signal: &str) -> EntryProcess {
    let path = settings_file(name, &settings_with_store(start_store()));
    let mut process = EntryProcess::start(&path);
    let started = process.wait_for_event(160);
    let (http, admin) = (field(&started, "http"), field(&started, "admin"));
    let deadline = Instant::now() + Duration::from_secs(60);
    while request(&admin, "GET", "/readyz", "").0 != 200 {
        assert!(Instant::now() < deadline, "not ready");
        thread::sleep(Duration::from_millis(20));
    }
    let class = request(&http, "PUT", "/v1/classes/short", r#"{"target":"10s"}"#);
    assert_eq!(class.0, 200, "{}", class.1);
    let job = r#"{"id":"j1","class":"short","tasks":[{"payload":"x"}]}"#;
    let job = request(&http, "POST", "/v1/jobs?wait=0s", job);
    assert_eq!(job.0, 202, "{}", job.1);
    process.signal(signal);
    process.wait_for_event(103);
    process
}

/// Asserts that the process runs on for a while.
fn assert_runs_on(process: &mut EntryProcess) {
    thread::sleep(Duration::from_millis(300));
    let ended = process.child.try_wait().unwrap();
    assert!(ended.is_none(), "{ended:?}");
}

// Guards against a process that cannot be ended while a graceful stop waits for its jobs.
#[rstest]
#[case("TERM")]
#[case("INT")]
fn second_interrupt_ends_at_once(#[case] first: &str) {
    let mut process = stopping_with_a_job(&format!("interrupts-{first}"), first);
    if first == "TERM" {
        process.signal("INT");
        assert_runs_on(&mut process);
    }
    process.signal("INT");
    assert_eq!(process.child.wait().unwrap().code(), Some(1));
}

// Guards against accepted requests that are cut off because a stop is asked for several times.
#[rstest]
#[case("TERM")]
#[case("INT")]
fn repeated_stops_cut_nothing(#[case] first: &str) {
    let mut process = stopping_with_a_job(&format!("repeated-{first}"), first);
    for _ in 0..3 {
        process.signal("TERM");
        assert_runs_on(&mut process);
    }
}

// Guards against an error for an address in use that does not name the listener.
#[rstest]
fn address_in_use_is_reported() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let settings = settings_without_store().replacen("127.0.0.1:0", &address, 1);
    let path = settings_file("in-use", &settings);
    let output = assert_cmd::Command::cargo_bin("knapweedwall-entry")
        .unwrap()
        .args(["run", "--settings", path.to_str().unwrap()])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        text.contains(&format!("http listener on {address}")),
        "{text}"
    );
}
