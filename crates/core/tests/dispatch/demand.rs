//! Demand frames.

use knapweedwall_core::LinkKey;
use rstest::rstest;

use crate::bench::Bench;

fn frames(bench: &mut Bench) -> Vec<(LinkKey, u32, i32)> {
    let mut out = Vec::new();
    bench.dispatcher.pending_demands(bench.now, &mut out);
    out
}

/// Guards against tasks that wait while no agent knows of them.
#[rstest]
fn all_agents_of_a_small_fleet_are_told() {
    let mut bench = Bench::new();
    bench.worker("v", 0);
    bench.worker("w", 0);
    assert_eq!(frames(&mut bench), []);
    bench.submit("a", "plain", "t", 3);
    bench.pass(1_000);
    let told = frames(&mut bench);
    assert_eq!(told.len(), 2);
    // The deadline is four targets after the arrival.
    assert!(told.iter().all(|f| f.1 == 3 && f.2 == 3_000));
}

/// Guards against a frame at every turn of the decisions.
#[rstest]
fn an_unchanged_level_sends_nothing() {
    let mut bench = Bench::new();
    bench.worker("w", 0);
    bench.submit("a", "plain", "t", 2);
    assert_eq!(frames(&mut bench).len(), 1);
    bench.pass(500);
    bench.submit("b", "plain", "t", 1);
    assert_eq!(frames(&mut bench), []);
}

/// Guards against more than one frame per agent and interval.
#[rstest]
fn a_higher_level_waits_for_the_interval() {
    let mut bench = Bench::new();
    bench.worker("w", 0);
    bench.submit("a", "plain", "t", 1);
    assert_eq!(frames(&mut bench).len(), 1);
    bench.submit("b", "plain", "t", 100);
    bench.pass(19);
    assert_eq!(frames(&mut bench), []);
    bench.pass(6);
    // The agent cannot give more than its 8 slots.
    assert_eq!(frames(&mut bench)[0].1, 8);
}

/// Guards against waiting tasks that no agent counts any more: an agent counts its grants against
/// what it was told, so it is told again when the credits have come.
#[rstest]
#[case::all_came(3, &[3])]
#[case::one_is_missing(2, &[])]
fn used_up_demand_is_told_again(#[case] credits: u32, #[case] told: &[u32]) {
    let mut bench = Bench::new();
    let worker = bench.worker("w", 0);
    bench.submit("a", "plain", "t", 3);
    assert_eq!(frames(&mut bench).len(), 1);
    bench.submit("b", "plain", "t", 3);
    for _ in 0..credits {
        bench.dispatcher.add_credits(worker, 1);
        assert_eq!(bench.start_all().len(), 1);
    }
    bench.pass(19);
    assert_eq!(frames(&mut bench), [], "within the interval");
    bench.pass(6);
    let waiting: Vec<u32> = frames(&mut bench).iter().map(|f| f.1).collect();
    assert_eq!(waiting, told);
}

/// Guards against credits that nobody can recall because a used-up demand was never ended.
#[rstest]
fn used_up_demand_is_ended() {
    let mut bench = Bench::new();
    let worker = bench.worker("w", 0);
    bench.submit("a", "plain", "t", 1);
    assert_eq!(frames(&mut bench).len(), 1);
    bench.dispatcher.add_credits(worker, 2);
    assert_eq!(bench.start_all().len(), 1);
    assert_eq!(frames(&mut bench), []);
    bench.pass(100);
    assert_eq!(frames(&mut bench), [(LinkKey(1), 0, 0)]);
}

/// Guards against short work that waits behind bulk work of another process because its agents
/// know only of the bulk work that waits here.
#[rstest]
fn more_urgent_work_is_told() {
    let mut bench = Bench::new();
    bench.worker("w", 0);
    bench.submit("b", "bulk", "t", 500);
    assert_eq!(frames(&mut bench), [(LinkKey(1), 8, 240_000)]);
    bench.pass(20);
    bench.submit("s", "short", "t", 1);
    assert_eq!(frames(&mut bench), [(LinkKey(1), 1, 800)]);
}

/// Guards against bulk work that keeps the urgency of short work that has started.
#[rstest]
fn less_urgent_work_is_told() {
    let mut bench = Bench::new();
    let worker = bench.worker("w", 0);
    bench.submit("b", "bulk", "t", 1);
    bench.submit("s", "short", "t", 1);
    assert_eq!(frames(&mut bench), [(LinkKey(1), 1, 800)]);
    bench.dispatcher.add_credits(worker, 1);
    assert_eq!(bench.start_all().len(), 1);
    bench.pass(100);
    assert_eq!(frames(&mut bench), [(LinkKey(1), 1, 239_900)]);
}

/// Guards against agents that keep sending credits to a process without work.
#[rstest]
fn zero_ends_the_demand() {
    let mut bench = Bench::new();
    let worker = bench.worker("w", 0);
    bench.submit("a", "plain", "t", 1);
    frames(&mut bench);
    bench.dispatcher.add_credits(worker, 1);
    assert_eq!(bench.start_all().len(), 1);
    assert_eq!(frames(&mut bench), []);
    bench.pass(100);
    assert_eq!(frames(&mut bench), [(LinkKey(1), 0, 0)]);
    assert_eq!(frames(&mut bench), []);
}

/// Guards against one waiting task sending a frame to each of many agents.
#[rstest]
fn a_short_wait_tells_few_agents() {
    let mut bench = Bench::new();
    for worker in 0..1_500 {
        bench.worker(&format!("w{worker}"), 0);
    }
    bench.submit("a", "plain", "t", 1);
    assert_eq!(frames(&mut bench).len(), 2);
    let mut told = 2;
    for _ in 0..100 {
        bench.pass(20);
        told += frames(&mut bench).len();
    }
    assert_eq!(told, 1_500, "a long wait tells all");
}
