//! Demand frames, which announce waiting tasks to agents.

use knapweedwall_core::LinkKey;
use rstest::rstest;

use crate::harness::Harness;

fn demand_frames(harness: &mut Harness) -> Vec<(LinkKey, u32, i32)> {
    let mut out = Vec::new();
    harness.dispatcher.pending_demands(harness.now, &mut out);
    out
}

/// Guards against waiting tasks that are not announced to any agent.
#[rstest]
fn demand_is_announced_to_all_agents_of_a_small_fleet() {
    let mut harness = Harness::new();
    harness.connect_worker("v", 0);
    harness.connect_worker("w", 0);
    assert_eq!(demand_frames(&mut harness), []);
    harness.submit("a", "plain", "t", 3);
    harness.advance(1_000);
    let announced = demand_frames(&mut harness);
    assert_eq!(announced.len(), 2);
    // The deadline is four targets after the arrival: 4 s, of which 1 s has passed.
    assert!(
        announced
            .iter()
            .all(|&(_, waiting, deadline_ms)| waiting == 3 && deadline_ms == 3_000)
    );
}

/// Guards against sending a frame on every call although the demand has hardly changed.
#[rstest]
fn similar_demand_sends_no_frame() {
    let mut harness = Harness::new();
    harness.connect_worker("w", 0);
    harness.submit("a", "plain", "t", 2);
    assert_eq!(demand_frames(&mut harness).len(), 1);
    harness.advance(500);
    harness.submit("b", "plain", "t", 1);
    assert_eq!(demand_frames(&mut harness), []);
}

/// Guards against more than one frame to an agent within the demand interval.
#[rstest]
fn higher_demand_waits_for_the_interval() {
    let mut harness = Harness::new();
    harness.connect_worker("w", 0);
    harness.submit("a", "plain", "t", 1);
    assert_eq!(demand_frames(&mut harness).len(), 1);
    harness.submit("b", "plain", "t", 100);
    harness.advance(19);
    assert_eq!(demand_frames(&mut harness), []);
    harness.advance(6);
    // The announced demand is capped at the 8 slots of the agent.
    assert_eq!(demand_frames(&mut harness)[0].1, 8);
}

/// Guards against waiting tasks for which agents grant no credits: an agent deducts its grants from
/// the announced demand, so the rest must be announced once all of these credits have arrived.
#[rstest]
#[case::all_credits_arrived(3, &[3])]
#[case::one_credit_missing(2, &[])]
fn met_demand_is_announced_again(#[case] credits: u32, #[case] expected: &[u32]) {
    let mut harness = Harness::new();
    let worker = harness.connect_worker("w", 0);
    harness.submit("a", "plain", "t", 3);
    assert_eq!(demand_frames(&mut harness).len(), 1);
    harness.submit("b", "plain", "t", 3);
    for _ in 0..credits {
        harness.dispatcher.add_credits(worker, 1);
        assert_eq!(harness.start_all().len(), 1);
    }
    harness.advance(19);
    assert_eq!(
        demand_frames(&mut harness),
        [],
        "no frame within the demand interval"
    );
    harness.advance(6);
    let waiting: Vec<u32> = demand_frames(&mut harness)
        .iter()
        .map(|&(_, waiting, _)| waiting)
        .collect();
    assert_eq!(waiting, expected);
}

/// Guards against credits that cannot be recalled because a met demand was never ended.
#[rstest]
fn met_demand_is_ended() {
    let mut harness = Harness::new();
    let worker = harness.connect_worker("w", 0);
    harness.submit("a", "plain", "t", 1);
    assert_eq!(demand_frames(&mut harness).len(), 1);
    harness.dispatcher.add_credits(worker, 2);
    assert_eq!(harness.start_all().len(), 1);
    assert_eq!(demand_frames(&mut harness), []);
    harness.advance(100);
    assert_eq!(demand_frames(&mut harness), [(LinkKey(1), 0, 0)]);
}

/// Guards against short tasks that wait behind bulk tasks of another process because this process
/// has announced only its own bulk tasks.
#[rstest]
fn more_urgent_demand_is_announced() {
    let mut harness = Harness::new();
    harness.connect_worker("w", 0);
    harness.submit("b", "bulk", "t", 500);
    assert_eq!(demand_frames(&mut harness), [(LinkKey(1), 8, 240_000)]);
    harness.advance(20);
    harness.submit("s", "short", "t", 1);
    assert_eq!(demand_frames(&mut harness), [(LinkKey(1), 1, 800)]);
}

/// Guards against announcing bulk tasks with the deadline of a short task that has started.
#[rstest]
fn less_urgent_demand_is_announced() {
    let mut harness = Harness::new();
    let worker = harness.connect_worker("w", 0);
    harness.submit("b", "bulk", "t", 1);
    harness.submit("s", "short", "t", 1);
    assert_eq!(demand_frames(&mut harness), [(LinkKey(1), 1, 800)]);
    harness.dispatcher.add_credits(worker, 1);
    assert_eq!(harness.start_all().len(), 1);
    harness.advance(100);
    assert_eq!(demand_frames(&mut harness), [(LinkKey(1), 1, 239_900)]);
}

/// Guards against agents that keep granting credits to a process without waiting tasks.
#[rstest]
fn frame_without_waiting_tasks_ends_the_demand() {
    let mut harness = Harness::new();
    let worker = harness.connect_worker("w", 0);
    harness.submit("a", "plain", "t", 1);
    demand_frames(&mut harness);
    harness.dispatcher.add_credits(worker, 1);
    assert_eq!(harness.start_all().len(), 1);
    assert_eq!(demand_frames(&mut harness), []);
    harness.advance(100);
    assert_eq!(demand_frames(&mut harness), [(LinkKey(1), 0, 0)]);
    assert_eq!(demand_frames(&mut harness), []);
}

/// Guards against announcing a single waiting task to every agent of a large fleet at once.
#[rstest]
fn demand_is_announced_to_more_agents_over_time() {
    let mut harness = Harness::new();
    for worker in 0..1_500 {
        harness.connect_worker(&format!("w{worker}"), 0);
    }
    harness.submit("a", "plain", "t", 1);
    assert_eq!(demand_frames(&mut harness).len(), 2);
    let mut announced = 2;
    for _ in 0..100 {
        harness.advance(20);
        announced += demand_frames(&mut harness).len();
    }
    assert_eq!(announced, 1_500, "a long wait reaches all agents");
}
