//! Agents that restart beside a running worker, before the worker's next heartbeat.

use knapweedwall_core::executor::Heartbeat;
use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Time until the next heartbeat of a worker whose agent has restarted.
const NEXT_BEAT_MS: u64 = 1_500;

/// Kills all processes and starts them again. The workers' next heartbeats are far away.
fn restart_all(fleet: &mut Fleet) {
    fleet.kill_entry(0);
    for at in 0..fleet.hosts.len() {
        fleet.kill_agent(at);
    }
    fleet.run(500);
    fleet.start_entry(0);
    for at in 0..fleet.hosts.len() {
        fleet.start_agent(at);
        fleet.hosts[at].next_beat_ms = fleet.now_ms + NEXT_BEAT_MS;
    }
}

/// Guards against workers that stay unused after a restart of all processes until their next
/// heartbeat: jobs submitted 200 ms after the restart are answered within their objective.
#[rstest]
fn restarted_agents_resume() {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0), (8_000, 1.0)], 3);
    restart_all(&mut fleet);
    fleet.run(200);
    let job = fleet.submit(0, "checks", Job::new(4, 1_000, 100));
    fleet.finish(3_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    assert!(
        fleet.callers[job].took_ms <= 220,
        "{}",
        fleet.callers[job].took_ms
    );
    fleet.assert_rules();
}

/// Guards against use of a worker that has announced its end to an earlier run of the agent.
#[rstest]
fn draining_workers_stay_unused() {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0)], 3);
    fleet.drain_worker(0);
    fleet.run(50);
    restart_all(&mut fleet);
    fleet.submit(0, "patient", Job::new(4, 1_000, 100));
    fleet.run(NEXT_BEAT_MS + 500);
    assert_eq!(fleet.worker(0).starts, 0);
    fleet.assert_rules();
}

/// Guards against use of the capacity of an earlier incarnation of the worker.
#[rstest]
fn another_incarnation_is_not_resumed() {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0)], 3);
    let now_ms = fleet.now_ms;
    fleet.worker(0).restart(now_ms);
    restart_all(&mut fleet);
    fleet.submit(0, "patient", Job::new(4, 1_000, 100));
    fleet.run(NEXT_BEAT_MS - 100);
    assert_eq!(fleet.worker(0).starts, 0);
    fleet.finish(5_000);
    fleet.assert_rules();
}

/// Guards against a worker that is used for long without a sign of life: two seconds after the agent
/// resumed from a registration, it starts nothing more without a heartbeat.
#[rstest]
fn resumed_workers_need_heartbeats() {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0)], 3);
    restart_all(&mut fleet);
    fleet.hosts[0].next_beat_ms = u64::MAX;
    fleet.run(2_200);
    fleet.submit(0, "patient", Job::new(1, 1_000, 100));
    fleet.run(1_000);
    assert_eq!(fleet.worker(0).starts, 0);
    fleet.assert_rules();
}

/// Guards against a registration of a draining worker that is taken for one of a ready worker.
#[rstest]
fn draining_registrations_are_ignored() {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0)], 3);
    let draining = fleet.hosts[0].registration.take();
    fleet.hosts[0].registration = draining.map(|beat| Heartbeat {
        draining: true,
        ..beat
    });
    restart_all(&mut fleet);
    fleet.submit(0, "patient", Job::new(1, 1_000, 100));
    fleet.run(NEXT_BEAT_MS - 100);
    assert_eq!(fleet.worker(0).starts, 0);
    fleet.assert_rules();
}
