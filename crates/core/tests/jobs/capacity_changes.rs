//! Workers whose capacity shrinks and grows while they run.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Time until the next heartbeat of a worker whose agent has restarted.
const NEXT_BEAT_MS: u64 = 1_500;

const FULL: u32 = 16_000;

const SHRUNK: u32 = 4_000;

fn resize(fleet: &mut Fleet, cpu: u32) {
    let now_ms = fleet.now_ms;
    for at in 0..fleet.hosts.len() {
        fleet.worker(at).resize(now_ms, cpu);
    }
}

/// Submits more tasks than the workers have room for.
fn press(fleet: &mut Fleet, rounds: usize) {
    for round in 0..rounds {
        let job = Job::new(6, 1_600, 40 + 30 * (round as u64 % 5));
        fleet.submit(round % 2, "patient", job);
        fleet.run(10);
    }
}

/// Returns the CPU in use on all workers.
fn used(fleet: &Fleet) -> u32 {
    let runs = fleet
        .hosts
        .iter()
        .flat_map(|host| host.worker.runs.values());
    runs.map(|run| run.cpu).sum()
}

/// Guards against starts beyond a capacity that has shrunk, while what was started before still runs
/// or is being stopped, and against room that stays unused after it has grown again.
#[rstest]
fn starts_keep_to_the_capacity(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(2, &[(FULL, 1.0), (FULL, 0.8), (FULL, 1.4)], seed);
    for _ in 0..3 {
        press(&mut fleet, 60);
        resize(&mut fleet, SHRUNK);
        press(&mut fleet, 150);
        assert!(used(&fleet) <= 3 * SHRUNK);
        resize(&mut fleet, FULL);
        press(&mut fleet, 100);
        assert!(used(&fleet) > 3 * SHRUNK);
    }
    fleet.finish(30_000);
    fleet.assert_rules();
}

/// Guards against an agent that restarts beside a worker whose capacity has shrunk, and fills the
/// capacity that it had when it registered.
#[rstest]
fn restarted_agents_know_the_shrunk_capacity(#[values(0, 1)] grown_again: u32) {
    let mut fleet = Fleet::new(2, &[(FULL, 1.0), (FULL, 0.8)], 1);
    resize(&mut fleet, SHRUNK);
    fleet.run(2_000);
    if grown_again == 1 {
        resize(&mut fleet, FULL);
        fleet.run(1_000);
        resize(&mut fleet, SHRUNK + 1_000);
        fleet.run(2_000);
    }
    for at in 0..2 {
        fleet.kill_agent(at);
    }
    fleet.run(100);
    for at in 0..2 {
        fleet.start_agent(at);
        fleet.hosts[at].next_beat_ms = fleet.now_ms + NEXT_BEAT_MS;
    }
    press(&mut fleet, 100);
    let job = fleet.submit(0, "patient", Job::new(1, 1_600, 40));
    fleet.finish(30_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    fleet.assert_rules();
}
