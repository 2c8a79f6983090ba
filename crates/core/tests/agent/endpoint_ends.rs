//! What is reported for each end of a run.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_core::agent::{Input, MAX_RESULT_BYTES, RunEnd};
use knapweedwall_wire::{Outcome, frame::Body};
use rstest::rstest;

use crate::bench::{Bench, done, task};

#[rstest]
#[case::largest(RunEnd::Done(vec![b'x'; MAX_RESULT_BYTES].into()), Outcome::Done, "")]
#[case::too_large(
    RunEnd::Done(vec![b'x'; MAX_RESULT_BYTES + 1].into()), Outcome::Failed, "result_too_large"
)]
#[case::cut_off(RunEnd::TooLarge, Outcome::Failed, "result_too_large")]
#[case::not_utf8(
    RunEnd::Done(Bytes::from_static(b"\xff")),
    Outcome::Failed,
    "bad_answer"
)]
#[case::garbage(RunEnd::BadAnswer("garbage".into()), Outcome::Failed, "bad_answer")]
#[case::failed(RunEnd::Failed("no".into()), Outcome::Failed, "endpoint_failed")]
#[case::lost(RunEnd::Lost("reset".into()), Outcome::Failed, "endpoint_lost")]
fn end_is_reported(#[case] end: RunEnd, #[case] outcome: Outcome, #[case] code: &str) {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    bench.now += Duration::from_millis(3);
    let turn = bench.end(run, end);
    let reports = turn.reports(link);
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].outcome(), outcome);
    assert_eq!(reports[0].code, code);
    assert_eq!(reports[0].run_us, 3000);
}

/// Guards against failure texts of unlimited length, cut within a character.
#[rstest]
fn long_failure_text_is_cut() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    let turn = bench.end(run, RunEnd::Failed("ä".repeat(200).into()));
    let payload = turn.reports(link)[0].payload.clone();
    assert_eq!(payload.len(), 256);
    assert!(std::str::from_utf8(&payload).is_ok());
}

/// Guards against more than one frame for what is ready in one turn.
#[rstest]
fn one_frame_carries_reports_and_credits() {
    let mut bench = Bench::new(3);
    let link = bench.link(1);
    let turn = bench.start(link, (0..3).map(|i| task(1, i, 1)).collect());
    let ends = turn.runs.iter().map(|run| Input::RunEnded(*run, done("x")));
    let turn = bench.turn(ends.collect());
    assert_eq!(turn.sent.len(), 1);
    assert!(matches!(&turn.sent[0].1, Body::Report(r) if r.tasks.len() == 3 && r.credits == 3));
}

/// Guards against reports above the largest frame.
#[rstest]
fn large_report_is_split() {
    let mut bench = Bench::new(2000);
    let link = bench.link(1);
    let turn = bench.start(link, (0..2000).map(|i| task(1, i, 1)).collect());
    let end = || RunEnd::Done(Bytes::from(vec![b'x'; 1024]));
    let ends = turn.runs.iter().map(|run| Input::RunEnded(*run, end()));
    let turn = bench.turn(ends.collect());
    assert!(turn.sent.len() >= 2);
    assert_eq!(turn.reports(link).len(), 2000);
    assert_eq!(turn.credits(link), 2000);
}

#[rstest]
fn task_over_its_limit_is_stopped() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let mut start = task(1, 0, 1);
    start.limit_ms = 1000;
    let run = bench.run(link, start);
    bench.now += Duration::from_millis(999);
    assert_eq!(bench.turn(vec![Input::Tick]).aborts, []);
    bench.now += Duration::from_millis(1);
    let turn = bench.turn(vec![Input::Tick]);
    assert_eq!(turn.aborts, [run]);
    assert_eq!(turn.reports(link)[0].code, "run_limit");
    assert_eq!(
        turn.credits(link),
        0,
        "the slot is in use until the run has ended"
    );
    let turn = bench.end(run, RunEnd::Aborted);
    assert_eq!(turn.reports(link), []);
    assert_eq!(turn.credits(link), 1);
}

/// Guards against a second end of the same run, which would free a slot twice.
#[rstest]
fn second_end_is_dropped() {
    let mut bench = Bench::new(2);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    bench.run(link, task(2, 0, 1));
    bench.end(run, done("first"));
    let turn = bench.end(run, done("second"));
    assert!(turn.sent.is_empty());
    assert_eq!(bench.agent.credits().busy(), 1);
}
