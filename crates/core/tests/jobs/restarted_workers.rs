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
