//! Team quotas. Team `small` has 4 slots.

use knapweedwall_core::config::{Document, Team};
use knapweedwall_core::dispatch::{Assignment, Refusal};
use rstest::rstest;

use crate::bench::{Bench, job};

fn count(started: &[Assignment], id: &str) -> usize {
    started.iter().filter(|a| a.task.job == job(id)).count()
}

/// Guards against a team that takes every slot while others wait.
#[rstest]
fn a_quota_binds_while_others_wait() {
    let mut bench = Bench::new();
    bench.worker("w", 10);
    bench.submit("a", "plain", "small", 20);
    bench.pass(1);
    bench.submit("b", "plain", "t", 6);
    let started = bench.start_all();
    assert_eq!((count(&started, "a"), count(&started, "b")), (4, 6));
}

/// Guards against capacity that stays idle because of a quota.
#[rstest]
fn a_quota_strands_no_capacity() {
    let mut bench = Bench::new();
    bench.worker("w", 10);
    bench.submit("a", "plain", "small", 20);
    assert_eq!(bench.start_all().len(), 10);
}

/// Guards against a team whose backlog at its quota grows without end.
#[rstest]
fn a_team_far_behind_is_refused() {
    let mut bench = Bench::new();
    bench.worker("w", 10);
    bench.submit("known", "plain", "t", 1);
    bench.pass(1_000);
    let known = bench.start_all();
    bench.done(known[0], 1_000);
    bench.submit("a", "plain", "small", 24);
    bench.pass(1);
    bench.submit("b", "plain", "t", 12);
    bench.start_all();
    let admit = |team| bench.dispatcher.admit(bench.now, "plain", team, 1);
    assert_eq!(admit("small"), Err(Refusal::Quota));
    assert_eq!(admit("t"), Ok(()));
}

/// Guards against a new or deleted quota that does not apply to jobs admitted before, and against
/// tasks that are lost when their job moves to another queue.
#[rstest]
#[case(true, 2)]
#[case(false, 10)]
fn a_changed_quota_applies_to_waiting_jobs(#[case] quota: bool, #[case] expected: usize) {
    let mut bench = Bench::new();
    bench.submit("a", "plain", if quota { "t" } else { "small" }, 20);
    bench.pass(1);
    bench.submit("b", "plain", "u", 20);
    let mut document = Document::default();
    if quota {
        document.teams.insert("t".into(), Team { slots: 2 });
    }
    bench.dispatcher.configure(&document);
    assert_eq!(bench.dispatcher.waiting(), 40);
    bench.worker("w", 10);
    let started = bench.start_all();
    assert_eq!(count(&started, "a"), expected);
    assert_eq!(bench.dispatcher.waiting() + bench.dispatcher.running(), 40);
}
