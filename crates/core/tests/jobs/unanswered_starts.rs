//! Start requests that were not answered when their worker crashed.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::calls::Call;
use crate::fleet::Fleet;

/// Crashes under a task from which on it may be given up.
const CRASHES_OF_FAILURE: usize = 2;

/// Most starts of a task that crashes every worker: three, and two more after the third crash.
const MAX_STARTS: usize = 5;

/// Longer than a lease.
const SILENCE_MS: u64 = 1_500;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Answer to a caller, or the state of its durable job.
fn outcome(fleet: &mut Fleet, caller: usize) -> Option<Answer> {
    if !fleet.callers[caller].request.durable {
        return fleet.answer_to(caller).cloned();
    }
    for _ in 0..200 {
        let state = fleet.query(caller % 2, caller);
        if !matches!(state, Some(Answer::State(_)) | None) {
            return state;
        }
    }
    None
}

/// Worker that a start request without an answer was sent to.
fn worker_with_lost_start(fleet: &Fleet) -> Option<usize> {
    let mut hosts = fleet.hosts.iter();
    hosts.position(|host| {
        let mut calls = host.calls.iter();
        calls.any(|call| call.lost && matches!(call.call, Call::Start(..)))
    })
}

/// Guards against a job that is given up after one crash under its task, because the worker of an
/// earlier start request had crashed as well, without having started the task.
#[rstest]
fn requests_without_an_answer_are_no_crashes(
    #[values(5, 10, 20, 30)] age_ms: u64,
    #[values(false, true)] kept: bool,
) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0); 4], 1);
    fleet.run(CLAIM_MS);
    let job = Job::new(1, 1_600, 900);
    fleet.late_percent = 100;
    let caller = fleet.submit(0, "patient", if kept { job.durable() } else { job });
    let mut first = None;
    while first.is_none() {
        fleet.run(1);
        first = worker_with_lost_start(&fleet);
    }
    fleet.late_percent = 0;
    fleet.run(age_ms);
    let now_ms = fleet.now_ms;
    fleet.worker(first.unwrap()).crash(now_ms);
    while fleet.starts() == 0 {
        fleet.run(1);
    }
    fleet.run(age_ms);
    let now_ms = fleet.now_ms;
    let second = (0..4).find(|&at| !fleet.hosts[at].worker.runs.is_empty());
    fleet.worker(second.unwrap()).crash(now_ms);
    fleet.finish(8_000);
    assert_eq!(fleet.most_crashes(caller), 1);
    assert_eq!(outcome(&mut fleet, caller), Some(Answer::Completed));
    fleet.assert_rules();
}

/// Guards against jobs that are given up although no task has crashed two workers, while calls to
/// workers are carried out late and tasks crash workers.
#[rstest]
fn only_crashing_tasks_are_given_up(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0); 8], seed);
    fleet.run(CLAIM_MS);
    fleet.late_percent = 20;
    for round in 0..120_usize {
        let job = Job::new(4, 1_600, 50 + 40 * (round as u64 % 4)).durable();
        let fatal = round % 30 < 6;
        let job = if fatal { job.deadly() } else { job };
        fleet.submit(round % 2, "patient", job);
        fleet.run(20);
    }
    fleet.late_percent = 0;
    fleet.finish(30_000);
    let mut given_up = 0;
    for caller in 0..fleet.callers.len() {
        if outcome(&mut fleet, caller) != Some(Answer::Failed) {
            continue;
        }
        given_up += 1;
        let crashes = fleet.most_crashes(caller);
        assert!(crashes >= CRASHES_OF_FAILURE, "{caller}: {crashes} crashes");
    }
    assert!(given_up > 0);
    fleet.assert_rules();
}

/// Guards against a task that crashes one worker after the other, all of them before they answer the
/// start request.
#[rstest]
fn crashes_before_the_answer_are_bounded(
    #[values(1, 2, 3)] seed: u64,
    #[values(1, 4)] tasks: u32,
    #[values(false, true)] kept: bool,
) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0); 8], seed);
    fleet.run(CLAIM_MS);
    let mut fatal = 0;
    for round in 0..100_usize {
        let mut job = Job::new(tasks, 1_600, 90);
        if round == 20 {
            fatal = fleet.callers.len();
            job = job.deadly_at_once();
        }
        let job = if kept { job.durable() } else { job };
        fleet.submit(round % 2, "patient", job);
        fleet.run(20);
    }
    fleet.finish(20_000);
    assert_eq!(outcome(&mut fleet, fatal), Some(Answer::Failed));
    let crashes = fleet.most_crashes(fatal);
    assert!(
        (CRASHES_OF_FAILURE..=MAX_STARTS).contains(&crashes),
        "{crashes} crashes"
    );
    fleet.assert_rules();
}

/// Guards against a task that is started without a bound on a worker that it crashes before the answer
/// and that is back at once, with its instance id.
#[rstest]
fn crashes_of_quick_restarts_are_bounded(
    #[values(1, 4)] tasks: u32,
    #[values(1, 5, 15)] down_ms: u64,
    #[values(false, true)] kept: bool,
) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0); 4], 1);
    fleet.run(CLAIM_MS);
    let job = Job::new(tasks, 1_600, 90).deadly_at_once();
    let fatal = fleet.submit(0, "patient", if kept { job.durable() } else { job });
    let mut gone_ms = [0; 4];
    for _ in 0..3_000 {
        fleet.run(1);
        let now_ms = fleet.now_ms;
        for (at, gone_ms) in gone_ms.iter_mut().enumerate() {
            *gone_ms += u64::from(fleet.worker(at).is_gone());
            if *gone_ms >= down_ms {
                fleet.worker(at).restart_with_id(now_ms);
                *gone_ms = 0;
            }
        }
    }
    let crashes = fleet.most_crashes(fatal);
    assert!(crashes <= MAX_STARTS, "{crashes} crashes");
    assert_eq!(outcome(&mut fleet, fatal), Some(Answer::Failed));
    fleet.assert_rules();
}

/// Guards against a task that is started without a bound because the worker that it crashed before the
/// answer is silent after its restart, until the lease of its runs has expired.
#[rstest]
fn crashes_before_a_silence_are_bounded(
    #[values(1, 4)] tasks: u32,
    #[values(false, true)] kept: bool,
) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0); 4], 1);
    fleet.run(CLAIM_MS);
    let job = Job::new(tasks, 1_600, 90).deadly_at_once();
    let fatal = fleet.submit(0, "patient", if kept { job.durable() } else { job });
    let mut silent_ms = [0; 4];
    for _ in 0..20_000 {
        fleet.run(1);
        let now_ms = fleet.now_ms;
        for (at, silent_ms) in silent_ms.iter_mut().enumerate() {
            if fleet.worker(at).is_gone() {
                fleet.worker(at).restart_with_id(now_ms);
                fleet.hosts[at].next_beat_ms = now_ms;
                fleet.heartbeat(at);
                fleet.worker(at).up = false;
                *silent_ms = SILENCE_MS;
            }
            *silent_ms -= u64::from(*silent_ms > 0);
            fleet.worker(at).up |= *silent_ms == 0;
        }
    }
    let crashes = fleet.most_crashes(fatal);
    assert!(crashes <= MAX_STARTS, "{crashes} crashes");
    assert_eq!(outcome(&mut fleet, fatal), Some(Answer::Failed));
    fleet.assert_rules();
}
