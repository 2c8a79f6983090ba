//! Workers that crash and start again while their agents do not know of it.

use std::collections::BTreeSet;

use knapweedwall_core::executor::{Input, StartOutcome};
use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::calls::Call;
use crate::fleet::Fleet;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Time after a silence at which the worker tells of its new lifetime.
const BEAT_RETRY_MS: u64 = 150;

/// Restarts in one play, and the time before and after each of them. Each is a millisecond later than the
/// one before, relative to the jobs.
const ROUNDS: u64 = 20;
const BETWEEN_MS: u64 = 500;

/// Starts that are on their way to a host break off, as on connections that the worker has closed.
fn break_off_starts(fleet: &mut Fleet, at: usize) {
    let (starts, others) = std::mem::take(&mut fleet.hosts[at].calls)
        .into_iter()
        .partition(|pending| matches!(pending.call, Call::Start(..)));
    fleet.hosts[at].calls = others;
    let starts: Vec<_> = starts;
    for pending in starts {
        let input = Input::StartCompleted {
            call: pending.key,
            outcome: StartOutcome::NoAnswer("connection error".into()),
            clock_ms: None,
        };
        fleet.agent_input(at, input);
    }
}

/// Guards against a job that is given up because workers have crashed that it has never run on.
#[rstest]
fn broken_off_starts_prove_nothing() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0), (16_000, 1.0)], 1);
    fleet.run(CLAIM_MS);
    for at in 0..2 {
        let now_ms = fleet.now_ms;
        fleet.worker(at).crash(now_ms);
    }
    let job = fleet.submit(0, "patient", Job::new(1, 1_000, 100));
    for _ in 0..500 {
        fleet.run(1);
        for at in 0..2 {
            break_off_starts(&mut fleet, at);
        }
    }
    fleet.finish(20_000);
    assert_eq!(fleet.answer_to(job), Some(&Answer::Completed));
    fleet.assert_rules();
}

/// Guards against a task that is started again after its end has counted: a renewal that was meant for
/// the lifetime before acknowledges ends of the new one that nobody has learned of.
#[rstest]
#[case(30)]
#[case(60)]
fn late_renewals_acknowledge_nothing(#[case] delay_ms: u64) {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0), (16_000, 1.0)], 1);
    fleet.run(CLAIM_MS);
    for _ in 0..6 {
        fleet.submit(0, "patient", Job::new(4, 1_000, 50).durable());
        fleet.run(300);
    }
    fleet.run(1_000);
    for at in 0..2 {
        let now_ms = fleet.now_ms;
        fleet.worker(at).restart_with_id(now_ms);
        fleet.hosts[at].next_beat_ms = now_ms + 40;
    }
    fleet.submit(0, "patient", Job::new(4, 1_000, 20).durable());
    let mut delayed = BTreeSet::new();
    for _ in 0..100 {
        fleet.run(1);
        for at in 0..2 {
            for pending in &mut fleet.hosts[at].calls {
                if matches!(pending.call, Call::Hold { .. }) && delayed.insert((at, pending.key)) {
                    pending.due_ms += delay_ms;
                }
            }
        }
    }
    fleet.finish(20_000);
    fleet.run(1_000);
    fleet.assert_rules();
}

/// Guards against a task that is started again after its end has counted: a worker is back with its id
/// after a silence, and its agent takes the answer to a start for one of the lifetime before. The next
/// renewal then acknowledges ends of the new lifetime that nobody has learned of.
#[rstest]
fn starts_on_a_new_lifetime_acknowledge_nothing(
    #[values(120, 149, 200)] silent_ms: u64,
    #[values(25, 40, 60)] run_ms: u64,
) {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0), (16_000, 1.0)], 1);
    fleet.run(CLAIM_MS);
    for round in 0..ROUNDS {
        let crash_at = BETWEEN_MS + round;
        for step in 0..2 * BETWEEN_MS {
            if step % 7 == 0 {
                fleet.submit(0, "patient", Job::new(2, 1_000, run_ms).durable());
            }
            if step == crash_at {
                let now_ms = fleet.now_ms;
                fleet.worker(0).restart_with_id(now_ms);
                fleet.hosts[0].next_beat_ms = now_ms + silent_ms + BEAT_RETRY_MS;
            }
            fleet.run(1);
            if (crash_at..crash_at + silent_ms).contains(&step) {
                fleet.lose_calls(0);
            }
        }
    }
    fleet.finish(20_000);
    fleet.run(1_000);
    fleet.assert_rules();
}
