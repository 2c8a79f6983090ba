//! Times of day that jump, or differ between machines.
//!
//! Invariant: no decision compares a time of day with that of another life or machine.

use knapweedwall_core::scheduler::Answer;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;
use crate::random_faults::{play_beside, play_durable_beside, seeds};

const HOUR_MS: i64 = 3_600_000;
const DAY_MS: i64 = 24 * HOUR_MS;

/// Time for which the state of an ended job must be known.
const STATUS_MS: u64 = 120_000;

/// Time after which its row must have been deleted, without a hand-over in between.
const DELETED_MS: u64 = 180_000;

/// How the owner of a shard changes.
#[derive(Debug, Clone, Copy)]
enum Change {
    Nothing,
    Stop,
    Kill,
    PowerLoss,
}

fn change_owner(fleet: &mut Fleet, change: Change, ahead_ms: i64) {
    match change {
        Change::Nothing => fleet.entries[0].ahead_ms = ahead_ms,
        Change::Stop => fleet.stop_entry(0),
        Change::Kill => fleet.kill_entry(0),
        Change::PowerLoss => {
            for at in 0..fleet.entries.len() {
                fleet.kill_entry(at);
                fleet.entries[at].ahead_ms = ahead_ms;
                fleet.start_entry(at);
            }
        }
    }
}

/// Guards against ended jobs that are forgotten, or kept for good, because the time of day of their owner
/// is not that of the process that ended them.
#[rstest]
fn ended_jobs_are_kept_for_their_time(
    #[values(-DAY_MS, -5_000, 5_000, HOUR_MS, DAY_MS)] ahead_ms: i64,
    #[values(Change::Nothing, Change::Stop, Change::Kill, Change::PowerLoss)] change: Change,
) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0)], 1);
    fleet.run(3_000);
    let jobs: Vec<usize> = (0..4)
        .map(|at| fleet.submit(at % 2, "checks", Job::new(2, 1_600, 50).durable()))
        .collect();
    fleet.run(1_000);
    fleet.entries[1].ahead_ms = ahead_ms;
    change_owner(&mut fleet, change, ahead_ms);
    let ended_ms = fleet.now_ms;
    for after_ms in [8_000, 60_000, STATUS_MS - 2_000] {
        fleet.run(ended_ms + after_ms - fleet.now_ms);
        for &job in &jobs {
            let state = fleet.query(1, job);
            assert_eq!(state, Some(Answer::Completed), "after {after_ms} ms");
        }
    }
    fleet.run(ended_ms + DELETED_MS - fleet.now_ms);
    assert_eq!(fleet.store.job_rows(), 0);
}

/// Guards against tasks that are done and run again, because their job was forgotten when its caller
/// submitted it again.
#[rstest]
fn done_tasks_do_not_run_again(#[values(-DAY_MS, HOUR_MS, DAY_MS)] ahead_ms: i64) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0)], 1);
    fleet.run(3_000);
    for at in 0..8 {
        fleet.submit(at % 2, "checks", Job::new(2, 1_600, 50).durable());
    }
    fleet.run(500);
    for at in 0..2 {
        fleet.kill_entry(at);
        fleet.entries[at].ahead_ms = ahead_ms;
        fleet.start_entry(at);
    }
    fleet.run(8_000);
    let starts = fleet.starts();
    for caller in 0..8 {
        fleet.send(caller, caller % 2);
    }
    fleet.run(2_000);
    assert_eq!(fleet.starts(), starts);
    fleet.assert_rules();
}

/// Guards against an agent that its worker refuses for minutes, so that the runs there lapse: an earlier
/// agent has called with fences of a later time of day.
#[rstest]
fn restarted_agents_keep_their_runs(
    #[values(-1_700_000_000_000, -DAY_MS, -HOUR_MS, -2_400, 0, DAY_MS)] jump_ms: i64,
    #[values(1, 4)] restarts: u32,
) {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    fleet.run(3_000);
    let job = fleet.submit(0, "checks", Job::new(2, 1_600, 4_000).durable());
    fleet.run(500);
    for restart in 0..restarts {
        fleet.kill_agent(0);
        fleet.worker(0).ahead_ms = if restart % 2 == 0 { jump_ms } else { 0 };
        fleet.run(300);
        fleet.start_agent(0);
        fleet.run(200);
    }
    let other = fleet.submit(0, "checks", Job::new(2, 1_600, 50).durable());
    fleet.run(1_200);
    let answer = fleet.query(0, other);
    fleet.run(4_000);
    let states = (answer, fleet.query(0, job), fleet.starts());
    let completed = Some(Answer::Completed);
    assert_eq!(states, (completed.clone(), completed, 4));
    fleet.assert_rules();
}

/// Guards against jobs that are placed, and reported, by an age that is not theirs because their next owner
/// has another time of day.
#[rstest]
fn loaded_jobs_are_as_old_as_they_are(
    #[values(-DAY_MS, -HOUR_MS, -5_000, 5_000, DAY_MS)] ahead_ms: i64,
    #[values(Change::Stop, Change::Kill, Change::PowerLoss)] change: Change,
) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0)], 1);
    fleet.run(3_000);
    let submitted_ms = fleet.now_ms;
    for at in 0..4 {
        fleet.submit(at % 2, "patient", Job::new(1, 1_600, 8_000).durable());
    }
    fleet.run(500);
    fleet.entries[1].ahead_ms = ahead_ms;
    change_owner(&mut fleet, change, ahead_ms);
    let mut waited = 0;
    while fleet.ended.len() < 4 && waited < 30_000 {
        waited += 1;
        fleet.run(1);
    }
    let longest_ms = fleet.now_ms - submitted_ms;
    let took: Vec<u64> = fleet.ended.values().copied().collect();
    assert_eq!(took.len(), 4);
    for ms in took {
        assert!(
            ms >= 7_000 && ms <= longest_ms + 1_000,
            "{ms} of {longest_ms}"
        );
    }
}

/// Moves the time of day of a machine, or of all of them, by seconds to a day, or ends processes beside it.
fn jump(fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
    let mut random = |below: u64| rng.next_u64() % below;
    if random(10) > 0 {
        return;
    }
    let span_ms = [5_000, HOUR_MS, 2 * DAY_MS][random(3) as usize];
    let ahead_ms = random(span_ms as u64) as i64 - span_ms / 2;
    let at = random(8) as usize;
    let ahead_ms = if random(4) == 0 { 0 } else { ahead_ms };
    for (entry, process) in fleet.entries.iter_mut().enumerate() {
        if at == 7 || at == entry {
            process.ahead_ms = ahead_ms;
        }
    }
    for (host, process) in fleet.hosts.iter_mut().enumerate() {
        if at == 7 || at == host + 3 {
            process.worker.ahead_ms = ahead_ms;
        }
    }
    let entry = random(3) as usize;
    match random(8) {
        0 => lose_power(fleet),
        1 => fleet.stop_entry(entry),
        2 => fleet.kill_entry(entry),
        _ => {}
    }
}

/// Ends all processes of the system and all workers; they start again later.
fn lose_power(fleet: &mut Fleet) {
    let now_ms = fleet.now_ms;
    for at in 0..fleet.entries.len() {
        fleet.kill_entry(at);
    }
    for at in 0..fleet.hosts.len() {
        fleet.kill_agent(at);
        fleet.worker(at).restart(now_ms);
    }
}

/// Guards against accepted jobs that are lost or run twice when times of day jump beside other faults.
#[rstest]
#[case::one_zone("0..12", 1)]
#[case::three_zones("0..6", 3)]
fn durable_jobs_survive_jumps(#[case] range: &str, #[case] zones: usize) {
    for seed in seeds(range) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        play_durable_beside(seed, zones, |fleet| jump(fleet, &mut rng));
    }
}

/// Guards against tasks that run twice at a time, and a fleet that does not recover, when times of day jump
/// beside other faults.
#[rstest]
#[case::one_zone("0..12", 1)]
#[case::three_zones("0..6", 3)]
fn rules_hold_beside_jumps(#[case] range: &str, #[case] zones: usize) {
    for seed in seeds(range) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        play_beside(seed, zones, |fleet| jump(fleet, &mut rng));
    }
}
