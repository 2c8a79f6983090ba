//! Team quotas. The team `small` has a quota of 4 slots.

use knapweedwall_core::config::{Document, Team};
use knapweedwall_core::dispatch::{Assignment, Refusal};
use rstest::rstest;

use crate::harness::{Harness, job_key};

fn count_started(started: &[Assignment], id: &str) -> usize {
    started.iter().filter(|a| a.task.job == job_key(id)).count()
}

/// Guards against a team that exceeds its quota while tasks of other teams are waiting.
#[rstest]
fn quota_applies_while_other_teams_wait() {
    let mut harness = Harness::new();
    harness.connect_worker("w", 10);
    harness.submit("a", "plain", "small", 20);
    harness.advance(1);
    harness.submit("b", "plain", "t", 6);
    let started = harness.start_all();
    assert_eq!(
        (count_started(&started, "a"), count_started(&started, "b")),
        (4, 6)
    );
}

/// Guards against slots that stay idle because of a quota.
#[rstest]
fn team_may_exceed_its_quota_when_slots_are_idle() {
    let mut harness = Harness::new();
    harness.connect_worker("w", 10);
    harness.submit("a", "plain", "small", 20);
    assert_eq!(harness.start_all().len(), 10);
}

/// Guards against unbounded growth of the backlog of a team that uses up its quota.
#[rstest]
fn team_with_a_large_backlog_is_refused() {
    let mut harness = Harness::new();
    harness.connect_worker("w", 10);
    harness.submit("warmup", "plain", "t", 1);
    harness.advance(1_000);
    let warmup = harness.start_all();
    harness.complete_task(warmup[0], 1_000);
    harness.submit("a", "plain", "small", 24);
    harness.advance(1);
    harness.submit("b", "plain", "t", 12);
    harness.start_all();
    let admit = |team| harness.dispatcher.admit(harness.now, "plain", team, 1);
    assert_eq!(admit("small"), Err(Refusal::Quota));
    assert_eq!(admit("t"), Ok(()));
}

/// Guards against a quota change that does not apply to jobs admitted before it, and against losing
/// tasks when their job moves to another queue.
#[rstest]
#[case::added(true, 2)]
#[case::deleted(false, 10)]
fn quota_change_applies_to_waiting_jobs(#[case] added: bool, #[case] expected: usize) {
    let mut harness = Harness::new();
    harness.submit("a", "plain", if added { "t" } else { "small" }, 20);
    harness.advance(1);
    harness.submit("b", "plain", "u", 20);
    let mut document = Document::default();
    if added {
        document.teams.insert("t".into(), Team { slots: 2 });
    }
    harness.dispatcher.configure(&document);
    assert_eq!(harness.dispatcher.waiting(), 40);
    harness.connect_worker("w", 10);
    let started = harness.start_all();
    assert_eq!(count_started(&started, "a"), expected);
    assert_eq!(
        harness.dispatcher.waiting() + harness.dispatcher.running(),
        40
    );
}
