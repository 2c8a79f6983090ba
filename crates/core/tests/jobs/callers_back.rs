//! Callers that come back after an outage or a refusal.

use std::collections::BTreeMap;

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Time that callers of new requests wait.
const WAIT_MS: u64 = 1_800;

/// Objective of the jobs of these tests: 60 ms and 1.6 times a run time of 100 ms.
const OBJECTIVE_MS: u64 = 220;

/// A job of 0.2 core-seconds, of which a fleet of 32 cores does 160 a second.
fn job(wait_ms: u64) -> Job {
    Job {
        wait_ms: Some(wait_ms),
        ..Job::new(2, 1_000, 100)
    }
}

/// A fleet of 32 cores that has served half of its room for eight seconds.
fn calm_fleet() -> Fleet {
    let mut fleet = Fleet::new(1, &[(8_000, 1.0); 4], 7);
    for _ in 0..640 {
        fleet.submit(0, "checks", job(WAIT_MS));
        fleet.run(12);
    }
    fleet
}

/// Submits new requests at half of the room and, for `old_ms`, three times as many old ones. Returns
/// the numbers of the new ones.
fn return_of_callers(fleet: &mut Fleet, old_ms: u64, total_ms: u64) -> Vec<usize> {
    let mut new = Vec::new();
    for round in 0..total_ms / 12 {
        new.push(fleet.submit(0, "checks", job(WAIT_MS)));
        if round * 12 < old_ms {
            for _ in 0..3 {
                let wait_ms = 150 + fleet.random(WAIT_MS - 700);
                fleet.submit(0, "checks", job(wait_ms));
            }
        }
        fleet.run(12);
    }
    new
}

/// Guards against new requests that are late because the process serves, after an outage, requests
/// whose callers have already waited for longer than an answer is of use: of the new ones, which
/// need half of the room, nine of ten are answered within their objective.
#[rstest]
fn new_callers_are_in_time() {
    let mut fleet = calm_fleet();
    fleet.kill_entry(0);
    fleet.run(1_500);
    fleet
        .callers
        .iter_mut()
        .for_each(|caller| caller.resend_ms = None);
    fleet.start_entry(0);
    fleet.run(100);
    let new = return_of_callers(&mut fleet, 800, 1_200);
    fleet.finish(10_000);
    let in_time = |&&number: &&usize| {
        let caller = &fleet.callers[number];
        caller.answer == Some(Answer::Completed) && caller.took_ms <= OBJECTIVE_MS
    };
    let served = new.iter().filter(in_time).count();
    assert!(served * 10 >= new.len() * 9, "{served} of {}", new.len());
    fleet.assert_rules();
}

/// Guards against requests that are taken for old ones because their callers wait for a shorter
/// time than others of the queue: in a calm fleet, all of them are served.
#[rstest]
fn patient_and_hasty_callers_are_served() {
    let mut fleet = calm_fleet();
    let mut hasty = Vec::new();
    for _ in 0..200 {
        fleet.submit(0, "checks", job(WAIT_MS));
        hasty.push(fleet.submit(0, "checks", job(WAIT_MS / 2)));
        fleet.run(25);
    }
    fleet.finish(10_000);
    for number in hasty {
        assert_eq!(fleet.answer_to(number), Some(&Answer::Completed));
    }
    fleet.assert_rules();
}

/// Guards against refused callers that all come back at the same time: of those refused in a crest
/// of three times the room, no more are told the same second than the fleet serves in one.
#[rstest]
fn refused_callers_are_spread() {
    let mut fleet = calm_fleet();
    for _ in 0..125 {
        for _ in 0..4 {
            fleet.submit(0, "checks", job(WAIT_MS));
        }
        fleet.run(8);
    }
    fleet.finish(10_000);
    let mut told: BTreeMap<u64, u32> = BTreeMap::new();
    for caller in &fleet.callers {
        if let Some(Answer::NotRun { retry, .. }) = &caller.answer {
            let at_ms = caller.sent_ms + caller.took_ms + u64::try_from(retry.as_millis()).unwrap();
            *told.entry(at_ms / 1_000).or_default() += 1;
        }
    }
    let refused: u32 = told.values().sum();
    assert!(refused > 160, "{refused} refused");
    assert!(told.values().all(|&callers| callers <= 160), "{told:?}");
}
