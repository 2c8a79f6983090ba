//! Cancels.

use knapweedwall_core::agent::RunEnd;
use knapweedwall_wire::Outcome;
use rstest::rstest;

use crate::bench::{Bench, done, task};

#[rstest]
fn cancel_stops_only_running_tasks_of_the_job() {
    let mut bench = Bench::new(4);
    let link = bench.link(1);
    let ended = bench.run(link, task(1, 0, 1));
    let running = bench.run(link, task(1, 1, 1));
    bench.run(link, task(2, 0, 1));
    bench.end(ended, done("x"));
    let turn = bench.cancel(link, 1);
    assert_eq!(turn.aborts, [running]);
    assert_eq!(turn.outcomes(link), [Outcome::Cancelled]);
}

/// Guards against a result that replaces the outcome of a cancelled task.
#[rstest]
#[case::result(done("late"))]
#[case::not_started(RunEnd::NotStarted("refused".into()))]
#[case::lost(RunEnd::Lost("reset".into()))]
fn cancel_is_final(#[case] late: RunEnd) {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    bench.cancel(link, 1);
    let turn = bench.end(run, late);
    assert_eq!(turn.reports(link), []);
    assert_eq!(
        bench.fence(link, 0, 1)[0].tasks[0].outcome(),
        Outcome::Cancelled
    );
    let turn = bench.start(link, vec![task(1, 0, 1)]);
    assert_eq!(turn.outcomes(link), [Outcome::Duplicate]);
}

/// Guards against a cancel by an owner that was replaced and whose decision is in no journal.
#[rstest]
fn cancel_of_a_superseded_owner_is_ignored() {
    let mut bench = Bench::new(2);
    let (old, new) = (bench.link(1), bench.link(2));
    bench.run(old, task(1, 0, 1));
    bench.fence(new, 0, 2);
    assert_eq!(bench.cancel(old, 1).aborts, []);
    assert_eq!(bench.cancel(new, 1).aborts.len(), 1);
}

/// Guards against a slot that is lost when a job is settled before its abort is confirmed.
#[rstest]
fn settled_before_the_abort_is_confirmed() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    bench.cancel(link, 1);
    bench.settle(link, 1);
    let turn = bench.end(run, RunEnd::Aborted);
    assert_eq!(turn.credits(link), 1);
}
