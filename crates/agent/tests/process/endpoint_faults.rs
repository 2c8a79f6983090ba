//! What the agent reports when its endpoint misbehaves.

use std::collections::BTreeSet;

use knapweedwall_lab::Chance;
use knapweedwall_lab::standin_endpoint::Controls;
use knapweedwall_wire::{Cancel, Outcome, TaskReport, frame::Body};
use rstest::rstest;

use crate::bench::{Bench, key, task};

fn told(report: &TaskReport) -> (Outcome, &str) {
    (report.outcome(), report.code.as_str())
}

#[rstest]
fn result_is_reported() {
    let mut bench = Bench::open(2);
    let report = bench.entry.run(task(1, 0, r#"{"ms":1,"result":"hello"}"#));
    assert_eq!(told(&report), (Outcome::Done, ""));
    assert_eq!(report.payload, "hello");
    assert!(report.run_us >= 1000);
}

/// Guards against a fault that is reported as a result, as not started, or not at all.
#[rstest]
#[case::failed(|c: &mut Controls| c.fail = Chance::always(), "endpoint_failed")]
#[case::reset(|c: &mut Controls| c.reset = Chance::always(), "endpoint_lost")]
#[case::garbage(|c: &mut Controls| c.garbage = Chance::always(), "bad_answer")]
#[case::not_utf8(|c: &mut Controls| c.mangled = Chance::always(), "bad_answer")]
#[case::second_answer(|c: &mut Controls| c.twice = Chance::always(), "bad_answer")]
fn fault_is_reported(#[case] fault: fn(&mut Controls), #[case] code: &str) {
    let mut bench = Bench::open(2);
    bench.endpoint.change(fault);
    for index in 0..20 {
        let report = bench.entry.run(task(1, index, r#"{"ms":0}"#));
        assert_eq!(told(&report), (Outcome::Failed, code));
    }
    bench
        .endpoint
        .change(|controls| *controls = Controls::default());
    let report = bench.entry.run(task(2, 0, r#"{"ms":0,"result":"well"}"#));
    assert_eq!(
        told(&report),
        (Outcome::Done, ""),
        "the endpoint works again"
    );
    assert_eq!(report.payload, "well");
    let summary = bench.endpoint.summary();
    assert_eq!(
        (summary.starts, summary.doubled),
        (21, 0),
        "each task started once"
    );
}

#[rstest]
fn too_large_result_is_a_failure() {
    let mut bench = Bench::open(1);
    let payload = format!(r#"{{"ms":0,"result":"{}"}}"#, "x".repeat(1025));
    let mut start = task(1, 0, "");
    start.payload = payload.into();
    let report = bench.entry.run(start);
    assert_eq!(told(&report), (Outcome::Failed, "result_too_large"));
    let report = bench.entry.run(task(1, 1, r#"{"ms":0}"#));
    assert_eq!(told(&report), (Outcome::Done, ""));
}

/// Guards against a slot that a task without an answer holds for ever, and against its late
/// answer being taken for that of the next task.
#[rstest]
#[case::limit(true)]
#[case::cancel(false)]
fn hanging_task_is_stopped(#[case] by_limit: bool) {
    let mut bench = Bench::open(1);
    bench
        .endpoint
        .change(|controls| controls.hang = Chance::always());
    let mut start = task(1, 0, "");
    start.limit_ms = if by_limit { 50 } else { 0 };
    bench.entry.start(vec![start]);
    bench.endpoint.until("the start", |s| s.running == 1);
    if !by_limit {
        let jobs = vec![key(1).to_bytes()];
        bench.entry.send(Body::Cancel(Cancel { jobs }));
    }
    let expected = if by_limit {
        (Outcome::Failed, "run_limit")
    } else {
        (Outcome::Cancelled, "cancelled")
    };
    assert_eq!(told(&bench.entry.report()), expected);
    bench
        .endpoint
        .until("the end of the abandoned task", |s| s.running == 0);
    bench
        .endpoint
        .change(|controls| controls.hang = Chance::default());
    let report = bench.entry.run(task(2, 0, r#"{"ms":0,"result":"next"}"#));
    assert_eq!(
        (report.job.clone(), report.payload),
        (key(2).to_bytes(), "next".into())
    );
}

/// Guards against slots that are offered while nothing listens, and against starts that are
/// claimed to have happened.
#[rstest]
fn refused_connections_start_nothing() {
    let mut bench = Bench::open(2);
    bench.endpoint.change(|controls| controls.refuse = true);
    bench.entry.start(vec![task(1, 0, "")]);
    assert_eq!(bench.entry.report().outcome(), Outcome::Unreachable);
    bench.entry.until("no slots", |entry| entry.beat.slots == 0);
    assert_eq!(bench.endpoint.summary().starts, 0);
    bench.endpoint.change(|controls| controls.refuse = false);
    bench.entry.until("slots", |entry| entry.beat.slots == 2);
    let report = bench.entry.run(task(1, 0, r#"{"ms":0}"#));
    assert_eq!(
        report.outcome(),
        Outcome::Done,
        "the same task may start now"
    );
    assert_eq!(bench.endpoint.summary().doubled, 0);
}

/// Guards against lost reports, second starts and more tasks at once than slots.
#[rstest]
fn many_tasks_run_once_each() {
    let mut bench = Bench::open(4);
    let mut seen = BTreeSet::new();
    let mut next = 0;
    while seen.len() < 400 {
        let idle = next == 400;
        bench.entry.until("credits or reports", |entry| {
            !entry.reports.is_empty() || (!idle && entry.credits > 0)
        });
        while let Some(report) = bench.entry.reports.pop_front() {
            assert_eq!(report.outcome(), Outcome::Done);
            assert!(seen.insert(report.index));
        }
        let first = next;
        next = 400.min(first + bench.entry.credits);
        let tasks = (first..next).map(|i| task(1, i, r#"{"ms":0}"#));
        bench.entry.start(tasks.collect());
    }
    let summary = bench.endpoint.summary();
    assert_eq!(
        (summary.starts, summary.doubled, summary.violations),
        (400, 0, 0)
    );
}
