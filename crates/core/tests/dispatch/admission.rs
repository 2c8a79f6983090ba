//! Admission control: submissions refused because of overload or an unknown class.

use knapweedwall_core::dispatch::Refusal;
use rstest::rstest;

use crate::harness::Harness;

/// A worker that runs four tasks of `class`, and `waiting` queued tasks that have waited for longer
/// than their target. Earlier tasks of the class took one second each. The other four slots of the
/// worker are granted to other processes.
fn loaded_harness(class: &str, waiting: u32) -> Harness {
    let mut harness = Harness::new();
    harness.connect_worker("w", 4);
    harness.submit("warmup", class, "t", 4);
    harness.advance(1_000);
    for assignment in harness.start_all() {
        harness.complete_task(assignment, 1_000);
    }
    harness.submit("running", class, "t", 4);
    assert_eq!(harness.start_all().len(), 4);
    harness.submit("waiting", class, "t", waiting);
    harness.advance(if class == "bulk" { 155_000 } else { 2_900 });
    harness
}

/// Guards against a process without credits that refuses a burst although agents would move slots
/// of other processes to it at once, and against admitting a burst that exceeds the whole fleet.
#[rstest]
#[case::within_capacity(31, Ok(()))]
#[case::beyond_capacity(33, Err(Refusal::Overloaded))]
fn sudden_burst_is_measured_against_all_slots(
    #[case] tasks: u32,
    #[case] expected: Result<(), Refusal>,
) {
    let mut harness = loaded_harness("plain", 0);
    harness.submit("burst", "plain", "t", tasks);
    assert_eq!(
        harness.dispatcher.admit(harness.now, "plain", "t", 1),
        expected
    );
}

/// Guards against admitting tasks that would miss their target by far, and against refusing tasks
/// that would not.
#[rstest]
#[case::plain_admitted("plain", 15, Ok(()))]
#[case::plain_refused("plain", 17, Err(Refusal::Overloaded))]
#[case::bulk_admitted("bulk", 900, Ok(()))]
#[case::bulk_refused("bulk", 1_000, Err(Refusal::Overloaded))]
fn admission_depends_on_queued_work(
    #[case] class: &str,
    #[case] waiting: u32,
    #[case] expected: Result<(), Refusal>,
) {
    let harness = loaded_harness(class, waiting);
    assert_eq!(
        harness.dispatcher.admit(harness.now, class, "t", 1),
        expected
    );
}

/// Guards against refusing short tasks because of queued bulk tasks, which start after them.
#[rstest]
fn bulk_backlog_does_not_refuse_short_tasks() {
    let harness = loaded_harness("bulk", 2_000);
    let admit = |class| harness.dispatcher.admit(harness.now, class, "t", 1);
    assert_eq!(admit("short"), Ok(()));
    assert_eq!(admit("bulk"), Err(Refusal::Overloaded));
}

/// Guards against refusing a large job while no tasks are waiting.
#[rstest]
fn large_job_is_admitted_without_backlog() {
    let harness = loaded_harness("plain", 0);
    assert_eq!(
        harness.dispatcher.admit(harness.now, "plain", "t", 500),
        Ok(())
    );
}

/// Guards against admitting a job whose class is not configured.
#[rstest]
fn unknown_class_is_refused() {
    let harness = loaded_harness("plain", 0);
    let result = harness.dispatcher.admit(harness.now, "other", "t", 1);
    assert_eq!(result, Err(Refusal::UnknownClass));
}
