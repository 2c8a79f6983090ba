//! The planned stop.

use std::time::Duration;

use knapweedwall_core::agent::Input;
use knapweedwall_wire::{Leaving, Outcome, frame::Body};
use rstest::rstest;

use crate::bench::{Bench, done, task};

#[rstest]
fn idle_agent_leaves_at_once() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let turn = bench.turn(vec![Input::Stop]);
    assert_eq!(turn.sent, [(link, Body::Leaving(Leaving {}))]);
    assert_eq!(turn.ready, Some(false));
    assert!(turn.exit);
}

/// Guards against a stop that interrupts a task or forgets a result that is not settled.
#[rstest]
fn leaving_agent_finishes_and_settles() {
    let mut bench = Bench::new(2);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    let turn = bench.turn(vec![Input::Stop]);
    assert!(!turn.exit && turn.aborts.is_empty());
    let turn = bench.start(link, vec![task(2, 0, 1)]);
    assert_eq!(turn.outcomes(link), [Outcome::Leaving]);
    let turn = bench.end(run, done("x"));
    assert_eq!(turn.outcomes(link), [Outcome::Done]);
    assert_eq!(turn.credits(link), 0);
    assert!(!turn.exit);
    assert!(bench.settle(link, 1).exit);
}

#[rstest]
fn stop_limit_ends_the_wait() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    bench.run(link, task(1, 0, 1));
    bench.turn(vec![Input::Stop]);
    let turns = bench.pass(Duration::from_millis(29_500), &[link]);
    assert!(turns.iter().all(|turn| !turn.exit));
    let turns = bench.pass(Duration::from_millis(1000), &[link]);
    assert_eq!(turns.iter().filter(|turn| turn.exit).count(), 1);
}

/// Guards against grants to a process that connects to a leaving agent.
#[rstest]
fn link_during_the_stop_is_told() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    bench.run(link, task(1, 0, 1));
    bench.turn(vec![Input::Stop]);
    let (late, turn) = bench.link_up(2);
    assert_eq!(turn.frames(late), [Body::Leaving(Leaving {})]);
    assert_eq!(bench.fence(late, 0, 2)[0].tasks.len(), 1);
}

/// Guards against credits that stay with an entry process that takes no more work.
#[rstest]
fn credits_of_a_leaving_entry_process_are_free() {
    let mut bench = Bench::new(4);
    let (first, second) = (bench.link(1), bench.link(2));
    let run = bench.run(first, task(1, 0, 1));
    bench.frame(first, Body::Leaving(Leaving {}));
    assert_eq!(bench.agent.credits().granted_to(second), 3);
    let turn = bench.end(run, done("x"));
    assert_eq!(turn.outcomes(first), [Outcome::Done]);
    assert_eq!(turn.credits(second), 1);
}
