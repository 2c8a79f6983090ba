//! Durable jobs: accepted once they are stored, and done whatever process fails.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Event of a shard that is lost to another process.
const SHARD_LOST: u16 = 322;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

fn fleet(entries: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(entries, &[(8_000, 1.0), (8_000, 1.2), (8_000, 0.8)], seed);
    fleet.run(CLAIM_MS);
    fleet
}

/// Submits `count` jobs one after another, at each entry process in turn.
fn submit(fleet: &mut Fleet, count: usize, run_ms: u64) {
    for round in 0..count {
        let alive: Vec<usize> = (0..3).filter(|&at| fleet.has_entry(at)).collect();
        let entry = alive.get(round % alive.len().max(1)).copied();
        let job = Job::new(3, 1_000, run_ms).durable();
        fleet.submit(entry.unwrap_or_default(), "checks", job);
        fleet.run(15);
    }
}

/// Checks that each accepted job is shown as completed at every entry process.
fn assert_done(fleet: &mut Fleet, ms: u64) {
    fleet.finish(ms);
    let accepted: Vec<usize> = (0..fleet.callers.len())
        .filter(|&at| fleet.answer_to(at) == Some(&Answer::Accepted))
        .collect();
    assert!(!accepted.is_empty());
    for at in accepted {
        let mut state = None;
        for _ in 0..ms / 100 {
            let alive: Vec<usize> = (0..3).filter(|&at| fleet.has_entry(at)).collect();
            state = fleet.query(alive[at % alive.len()], at);
            if state == Some(Answer::Completed) {
                break;
            }
            fleet.run(40);
        }
        assert_eq!(state, Some(Answer::Completed), "job {at}");
    }
    fleet.assert_rules();
}

/// Guards against jobs that only the process knows that received them.
#[rstest]
fn any_process_knows_an_accepted_job() {
    let mut fleet = fleet(3, 1);
    submit(&mut fleet, 24, 50);
    fleet.finish(1_000);
    let answers = fleet.callers.iter();
    let accepted = answers.filter(|caller| caller.answer == Some(Answer::Accepted));
    assert_eq!(accepted.count(), 24);
    assert_done(&mut fleet, 3_000);
}

/// Guards against a job that becomes two when it is submitted again, also elsewhere.
#[rstest]
fn a_job_submitted_again_runs_once() {
    let mut fleet = fleet(3, 2);
    let first = fleet.submit(0, "checks", Job::new(3, 1_000, 80).durable());
    let again = fleet.submit_again_at(first, 1);
    fleet.run(400);
    let late = fleet.submit_again_at(first, 2);
    fleet.finish(1_000);
    for caller in [first, again, late] {
        assert_eq!(fleet.answer_to(caller), Some(&Answer::Accepted));
    }
    assert_done(&mut fleet, 2_000);
    assert_eq!(fleet.starts(), 3);
}

/// Guards against jobs that are lost with the process that owns them, or run twice after it.
#[rstest]
#[case(3, false)]
#[case(4, true)]
#[case(5, true)]
fn jobs_outlive_their_owner(#[case] seed: u64, #[case] returns: bool) {
    let mut fleet = fleet(3, seed);
    submit(&mut fleet, 20, 300);
    fleet.kill_entry(0);
    if returns {
        fleet.run(200 * seed);
        fleet.start_entry(0);
    }
    submit(&mut fleet, 10, 100);
    assert_done(&mut fleet, 20_000);
}

/// Guards against accepted jobs that are lost when all processes end at once.
#[rstest]
#[case(6, false)]
#[case(7, true)]
fn jobs_outlive_all_processes(#[case] seed: u64, #[case] agents: bool) {
    let mut fleet = fleet(3, seed);
    submit(&mut fleet, 20, 200);
    for at in 0..3 {
        fleet.kill_entry(at);
        if agents {
            fleet.kill_agent(at);
        }
    }
    fleet.run(500);
    for at in 0..3 {
        fleet.start_entry(at);
        if agents {
            fleet.start_agent(at);
        }
    }
    assert_done(&mut fleet, 20_000);
}

/// Guards against jobs that wait or are cut off while a process stops as planned.
#[rstest]
fn a_planned_stop_hands_shards_over() {
    let mut fleet = fleet(3, 8);
    submit(&mut fleet, 10, 200);
    fleet.stop_entry(1);
    submit(&mut fleet, 60, 60);
    fleet.run(2_000);
    assert!(!fleet.has_entry(1));
    assert_done(&mut fleet, 6_000);
}

/// Guards against an owner that goes on after its lease in the store, beside the next one.
#[rstest]
#[case(9, 12_000)]
#[case(10, 30_000)]
fn an_owner_without_the_store_gives_up(#[case] seed: u64, #[case] cut_ms: u64) {
    let mut fleet = fleet(3, seed);
    submit(&mut fleet, 10, 400);
    fleet.store.cut.push(0);
    fleet.cut_peers(0, 1, true);
    fleet.cut_peers(0, 2, true);
    for _ in 0..cut_ms / 200 {
        fleet.submit(1, "checks", Job::new(2, 500, 700).durable());
        fleet.run(200);
    }
    fleet.store.cut.clear();
    fleet.cut_peers(0, 1, false);
    fleet.cut_peers(0, 2, false);
    fleet.run(3_000);
    assert_done(&mut fleet, 20_000);
}

/// Guards against work that stops in a short outage of the store, and against writes that are
/// carried out late.
#[rstest]
#[case(11, 0)]
#[case(12, 3)]
fn the_store_may_fail(#[case] seed: u64, #[case] lose_each: u64) {
    let mut fleet = fleet(3, seed);
    fleet.store.lose_each = lose_each;
    submit(&mut fleet, 20, 200);
    fleet.store.down = lose_each == 0;
    fleet.run(3_000);
    fleet.store.down = false;
    submit(&mut fleet, 20, 50);
    fleet.store.lose_each = 0;
    fleet.run(4_000);
    assert_done(&mut fleet, 20_000);
}

/// Guards against submissions that wait for a process that has lost the store, while the others
/// have not.
#[rstest]
fn shards_leave_a_process_without_the_store() {
    let mut fleet = fleet(3, 18);
    submit(&mut fleet, 10, 300);
    fleet.store.cut.push(0);
    fleet.run(2_500);
    let first = fleet.callers.len();
    submit(&mut fleet, 40, 50);
    fleet.run(200);
    for at in first..fleet.callers.len() {
        assert_eq!(fleet.answer_to(at), Some(&Answer::Accepted), "job {at}");
    }
    fleet.store.cut.clear();
    assert_done(&mut fleet, 8_000);
}

/// Guards against refusals that are not true, and against submissions that are held while the
/// store is away.
#[rstest]
fn what_cannot_be_stored_is_refused() {
    let mut fleet = fleet(3, 19);
    submit(&mut fleet, 6, 50);
    fleet.run(300);
    let first = fleet.callers.len();
    fleet.store.down = true;
    submit(&mut fleet, 100, 50);
    fleet.run(1_200);
    let refused: Vec<usize> = (first..fleet.callers.len())
        .filter(|&at| matches!(fleet.answer_to(at), Some(Answer::NotRun { .. })))
        .collect();
    assert!(refused.len() >= 50, "{} refused", refused.len());
    for &at in &refused {
        assert!(fleet.callers[at].took_ms <= 1_100);
    }
    fleet.store.down = false;
    fleet.run(5_000);
    for at in refused {
        assert!(!fleet.has_started(at), "job {at} was refused and has run");
    }
    assert_done(&mut fleet, 8_000);
}

/// Guards against an end that is taken note of although the task was started again meanwhile.
#[rstest]
#[case(13)]
#[case(14)]
#[case(15)]
fn a_late_end_counts_for_nothing(#[case] seed: u64) {
    let mut fleet = fleet(2, seed);
    for round in 0..40 {
        let job = Job::new(3, 500, 40 + seed * 7).durable();
        fleet.submit(round % 2, "checks", job);
        fleet.run(17);
        if round == 20 {
            fleet.cut(0, 0, true);
            fleet.cut(1, 0, true);
        }
    }
    fleet.run(3_500);
    fleet.cut(0, 0, false);
    fleet.cut(1, 0, false);
    fleet.finish(8_000);
    fleet.run(4_000);
    fleet.assert_rules();
}

/// Guards against a task that is started after its job was cancelled, or a job that is then shown
/// in another state.
#[rstest]
fn a_cancelled_job_stays_cancelled() {
    let mut fleet = fleet(3, 16);
    let job = fleet.submit(0, "checks", Job::new(3, 1_000, 5_000).durable());
    fleet.run(300);
    assert_eq!(fleet.cancel(1, job), Some(Answer::Cancelled));
    fleet.run(200);
    assert_eq!((0..3).map(|at| fleet.running(at)).sum::<usize>(), 0);
    fleet.kill_entry(0);
    fleet.start_entry(0);
    fleet.run(5_000);
    for entry in 0..3 {
        assert_eq!(fleet.query(entry, job), Some(Answer::Cancelled));
    }
    fleet.assert_rules();
}

/// Guards against a task that runs more often than it may fail, also across owners.
#[rstest]
fn failures_outlive_the_owner() {
    let mut fleet = fleet(3, 17);
    let job = Job::new(1, 1_000, 1_200).durable().failing();
    let job = fleet.submit(0, "checks", job);
    fleet.run(1_500);
    for at in 0..3 {
        fleet.kill_entry(at);
        fleet.start_entry(at);
    }
    fleet.run(9_000);
    assert_eq!(fleet.query(1, job), Some(Answer::Failed));
    assert!(fleet.starts() <= 3, "{}", fleet.starts());
    fleet.assert_rules();
}

/// Guards against ends beyond those that a worker lists at once: while one of them cannot be
/// settled, runs whose ends are not listed would seem lost, and be started again.
#[rstest]
fn unlisted_ends_are_not_lost() {
    let mut fleet = Fleet::new(3, &[(64_000, 1.0)], 20);
    fleet.run(CLAIM_MS);
    for round in 0..320 {
        let entry = if round < 40 { round % 3 } else { 1 + round % 2 };
        let job = Job::new(8, 500, 40).durable();
        fleet.submit(entry, "checks", job);
        fleet.run(20);
        if round == 40 {
            fleet.kill_entry(0);
        }
    }
    fleet.run(12_000);
    fleet.assert_rules();
}

/// Guards against an owner that takes its own last write for that of another process.
#[rstest]
fn a_later_version_is_no_conflict() {
    let mut fleet = Fleet::new(3, &[(16_000, 1.0)], 21);
    fleet.store.tells_later = true;
    fleet.run(CLAIM_MS);
    submit(&mut fleet, 30, 50);
    assert_done(&mut fleet, 6_000);
    assert_eq!(fleet.count(SHARD_LOST), 0);
}

/// Guards against a failure that counts twice because its report comes to the next owner too, or
/// comes twice: the job would be shown as failed without cause.
#[rstest]
fn one_failure_counts_once() {
    for delay_ms in (16..72).step_by(4) {
        let mut fleet = fleet(3, 22);
        for at in 0..3 {
            fleet.worker(at).broken = true;
        }
        let job = fleet.submit(0, "checks", Job::new(1, 1_000, 50).durable());
        while fleet.starts() == 0 {
            fleet.run(1);
        }
        for at in 0..3 {
            fleet.worker(at).broken = false;
        }
        fleet.run(delay_ms - 16);
        for at in 0..3 {
            fleet.kill_entry(at);
            fleet.start_entry(at);
        }
        fleet.run(9_000);
        let state = fleet.query(1, job);
        assert_eq!(state, Some(Answer::Completed), "after {delay_ms} ms");
        fleet.assert_rules();
    }
}

/// Guards against an end that is settled and not taken, because its run was given up for lost
/// while the owner stood still: the task would be started again.
#[rstest]
fn an_end_during_a_standstill_counts() {
    let mut fleet = fleet(3, 23);
    for _ in 0..6 {
        // Leases do not lapse while these run.
        fleet.submit(2, "patient", Job::new(3, 500, 6_000));
    }
    fleet.run(50);
    for round in 0..12 {
        fleet.submit(round % 2, "checks", Job::new(2, 500, 300).durable());
        fleet.run(10);
    }
    for entry in 0..2 {
        fleet.freeze_entry(entry, true);
    }
    fleet.run(2_300);
    for entry in 0..2 {
        fleet.freeze_entry(entry, false);
    }
    fleet.run(6_000);
    assert_done(&mut fleet, 6_000);
}

/// Guards against a refusal of a job whose row is written after its shard was given up.
#[rstest]
#[case(500)]
#[case(850)]
fn a_slow_write_is_no_refusal(#[case] slow_ms: u64) {
    let mut fleet = fleet(3, 24);
    fleet.store.slow = Some((0, slow_ms));
    submit(&mut fleet, 60, 50);
    fleet.run(3_000);
    fleet.store.slow = None;
    fleet.run(8_000);
    for at in 0..fleet.callers.len() {
        if matches!(fleet.answer_to(at), Some(Answer::NotRun { .. })) {
            assert!(!fleet.has_started(at), "job {at} was refused and has run");
        }
    }
    assert_done(&mut fleet, 6_000);
}

/// Guards against ends of a later phase that are settled and not taken, since the ends of the
/// phase before it were not stored either and come later.
#[rstest]
fn ends_of_later_phases_count() {
    let mut fleet = fleet(3, 25);
    fleet.submit(2, "patient", Job::new(3, 500, 6_000));
    fleet.run(50);
    fleet.store.lose_each = 0;
    for round in 0..12 {
        let job = Job::new(2, 500, 60).durable().phases(3);
        fleet.submit(round % 3, "checks", job);
        fleet.run(16);
    }
    fleet.store.down = true;
    fleet.run(400);
    for at in 0..3 {
        fleet.kill_entry(at);
    }
    fleet.run(200);
    fleet.store.down = false;
    for at in 0..3 {
        fleet.start_entry(at);
    }
    assert_done(&mut fleet, 20_000);
}

/// Guards against accepted jobs that never start because their tasks ask for no processor time.
#[rstest]
fn tasks_without_processor_time_run(#[values(false, true)] durable: bool) {
    let mut fleet = fleet(3, 1);
    let mut job = Job::new(3, 0, 100);
    job.durable = durable;
    let caller = fleet.submit(0, "checks", job);
    fleet.run(3_000);
    let answer = if durable {
        fleet.query(0, caller)
    } else {
        fleet.answer_to(caller).cloned()
    };
    assert_eq!(answer, Some(Answer::Completed));
    fleet.assert_rules();
}
