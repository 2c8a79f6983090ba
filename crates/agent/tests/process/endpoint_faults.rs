//! Task reports for failing and misbehaving endpoints.

use std::collections::BTreeSet;

use knapweedwall_lab::Chance;
use knapweedwall_lab::standin_endpoint::Controls;
use knapweedwall_wire::{Cancel, Outcome, TaskReport, frame::Body};
use rstest::rstest;

use crate::harness::{Harness, job_key, task_start};

fn outcome_and_code(report: &TaskReport) -> (Outcome, &str) {
    (report.outcome(), report.code.as_str())
}

#[rstest]
fn result_is_reported() {
    let mut harness = Harness::start(2);
    let report = harness
        .entry
        .run_task(task_start(1, 0, r#"{"ms":1,"result":"hello"}"#));
    assert_eq!(outcome_and_code(&report), (Outcome::Done, ""));
    assert_eq!(report.payload, "hello");
    assert!(report.run_us >= 1000);
}

/// Guards against an endpoint fault that is reported as a result, as not started, or not at all.
#[rstest]
#[case::failed(|c: &mut Controls| c.fail = Chance::always(), "endpoint_failed")]
#[case::reset(|c: &mut Controls| c.reset = Chance::always(), "endpoint_lost")]
#[case::garbage(|c: &mut Controls| c.garbage = Chance::always(), "bad_answer")]
#[case::not_utf8(|c: &mut Controls| c.mangled = Chance::always(), "bad_answer")]
#[case::second_answer(|c: &mut Controls| c.twice = Chance::always(), "bad_answer")]
fn fault_is_reported(#[case] fault: fn(&mut Controls), #[case] code: &str) {
    let mut harness = Harness::start(2);
    harness.endpoint.update_controls(fault);
    for index in 0..20 {
        let report = harness.entry.run_task(task_start(1, index, r#"{"ms":0}"#));
        assert_eq!(outcome_and_code(&report), (Outcome::Failed, code));
    }
    harness
        .endpoint
        .update_controls(|controls| *controls = Controls::default());
    let report = harness
        .entry
        .run_task(task_start(2, 0, r#"{"ms":0,"result":"well"}"#));
    assert_eq!(
        outcome_and_code(&report),
        (Outcome::Done, ""),
        "the endpoint works again"
    );
    assert_eq!(report.payload, "well");
    let summary = harness.endpoint.summary();
    assert_eq!(
        (summary.starts, summary.doubled),
        (21, 0),
        "each task started once"
    );
}

#[rstest]
fn too_large_result_is_reported_as_failure() {
    let mut harness = Harness::start(1);
    let payload = format!(r#"{{"ms":0,"result":"{}"}}"#, "x".repeat(1025));
    let mut start = task_start(1, 0, "");
    start.payload = payload.into();
    let report = harness.entry.run_task(start);
    assert_eq!(
        outcome_and_code(&report),
        (Outcome::Failed, "result_too_large")
    );
    let report = harness.entry.run_task(task_start(1, 1, r#"{"ms":0}"#));
    assert_eq!(outcome_and_code(&report), (Outcome::Done, ""));
}

/// Guards against a task without a response occupying its slot forever, and against its late
/// response being taken for that of the next task.
#[rstest]
#[case::limit(true)]
#[case::cancel(false)]
fn hanging_task_is_aborted(#[case] by_limit: bool) {
    let mut harness = Harness::start(1);
    harness
        .endpoint
        .update_controls(|controls| controls.hang = Chance::always());
    let mut start = task_start(1, 0, "");
    start.limit_ms = if by_limit { 50 } else { 0 };
    harness.entry.start_tasks(vec![start]);
    harness.endpoint.wait_until("the start", |s| s.running == 1);
    if !by_limit {
        let jobs = vec![job_key(1).to_bytes()];
        harness.entry.send(Body::Cancel(Cancel { jobs }));
    }
    let expected = if by_limit {
        (Outcome::Failed, "run_limit")
    } else {
        (Outcome::Cancelled, "cancelled")
    };
    assert_eq!(outcome_and_code(&harness.entry.next_report()), expected);
    harness
        .endpoint
        .wait_until("the end of the abandoned task", |s| s.running == 0);
    harness
        .endpoint
        .update_controls(|controls| controls.hang = Chance::default());
    let report = harness
        .entry
        .run_task(task_start(2, 0, r#"{"ms":0,"result":"next"}"#));
    assert_eq!(
        (report.job.clone(), report.payload),
        (job_key(2).to_bytes(), "next".into())
    );
}

/// Guards against slots being offered while the endpoint refuses connections, and against tasks
/// being reported as started although no connection was established.
#[rstest]
fn refused_connection_starts_no_task() {
    let mut harness = Harness::start(2);
    harness
        .endpoint
        .update_controls(|controls| controls.refuse = true);
    harness.entry.start_tasks(vec![task_start(1, 0, "")]);
    assert_eq!(harness.entry.next_report().outcome(), Outcome::Unreachable);
    harness
        .entry
        .wait_until("no slots", |entry| entry.last_heartbeat.slots == 0);
    assert_eq!(harness.endpoint.summary().starts, 0);
    harness
        .endpoint
        .update_controls(|controls| controls.refuse = false);
    harness
        .entry
        .wait_until("slots", |entry| entry.last_heartbeat.slots == 2);
    let report = harness.entry.run_task(task_start(1, 0, r#"{"ms":0}"#));
    assert_eq!(
        report.outcome(),
        Outcome::Done,
        "the same task can be started once the endpoint accepts connections"
    );
    assert_eq!(harness.endpoint.summary().doubled, 0);
}

/// Guards against lost reports, duplicate starts and more concurrent tasks than slots.
#[rstest]
fn each_task_runs_once() {
    let mut harness = Harness::start(4);
    let mut seen = BTreeSet::new();
    let mut next = 0;
    while seen.len() < 400 {
        let all_started = next == 400;
        harness.entry.wait_until("credits or reports", |entry| {
            !entry.reports.is_empty() || (!all_started && entry.credits > 0)
        });
        while let Some(report) = harness.entry.reports.pop_front() {
            assert_eq!(report.outcome(), Outcome::Done);
            assert!(seen.insert(report.index));
        }
        let first = next;
        next = 400.min(first + harness.entry.credits);
        let tasks = (first..next).map(|i| task_start(1, i, r#"{"ms":0}"#));
        harness.entry.start_tasks(tasks.collect());
    }
    let summary = harness.endpoint.summary();
    assert_eq!(
        (summary.starts, summary.doubled, summary.violations),
        (400, 0, 0)
    );
}
