//! Refusal at the door.

use knapweedwall_core::dispatch::Refusal;
use rstest::rstest;

use crate::bench::Bench;

/// Four slots that run tasks of `class` in one second each, with `waiting` tasks in the queue that
/// have waited longer than their target. Four more slots of the worker are used by others.
fn loaded(class: &str, waiting: u32) -> Bench {
    let mut bench = Bench::new();
    bench.worker("w", 4);
    bench.submit("known", class, "t", 4);
    bench.pass(1_000);
    for assignment in bench.start_all() {
        bench.done(assignment, 1_000);
    }
    bench.submit("running", class, "t", 4);
    assert_eq!(bench.start_all().len(), 4);
    bench.submit("waiting", class, "t", waiting);
    bench.pass(if class == "bulk" { 155_000 } else { 2_900 });
    bench
}

/// Guards against a process without credits that refuses a burst although other processes would
/// give it their slots at once, and against admitting one that the whole fleet cannot serve.
#[rstest]
#[case(31, Ok(()))]
#[case(33, Err(Refusal::Overloaded))]
fn a_sudden_burst_counts_all_slots(#[case] tasks: u32, #[case] verdict: Result<(), Refusal>) {
    let mut bench = loaded("plain", 0);
    bench.submit("burst", "plain", "t", tasks);
    assert_eq!(bench.dispatcher.admit(bench.now, "plain", "t", 1), verdict);
}

/// Guards against admitting work that cannot meet its target by far, and against refusing work
/// that can.
#[rstest]
#[case("plain", 15, Ok(()))]
#[case("plain", 17, Err(Refusal::Overloaded))]
#[case("bulk", 900, Ok(()))]
#[case("bulk", 1_000, Err(Refusal::Overloaded))]
fn work_ahead_decides(
    #[case] class: &str,
    #[case] waiting: u32,
    #[case] verdict: Result<(), Refusal>,
) {
    let bench = loaded(class, waiting);
    assert_eq!(bench.dispatcher.admit(bench.now, class, "t", 1), verdict);
}

/// Guards against refusing tight targets because of bulk work that they overtake.
#[rstest]
fn tight_targets_are_refused_least() {
    let bench = loaded("bulk", 2_000);
    let admit = |class| bench.dispatcher.admit(bench.now, class, "t", 1);
    assert_eq!(admit("short"), Ok(()));
    assert_eq!(admit("bulk"), Err(Refusal::Overloaded));
}

/// Guards against a large job being refused by an idle system.
#[rstest]
fn an_idle_system_refuses_nothing() {
    let bench = loaded("plain", 0);
    assert_eq!(bench.dispatcher.admit(bench.now, "plain", "t", 500), Ok(()));
}

/// Guards against a job of a class that nobody has configured.
#[rstest]
fn unknown_class_is_refused() {
    let bench = loaded("plain", 0);
    let verdict = bench.dispatcher.admit(bench.now, "other", "t", 1);
    assert_eq!(verdict, Err(Refusal::UnknownClass));
}
