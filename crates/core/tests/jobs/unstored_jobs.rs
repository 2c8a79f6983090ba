//! Durable jobs whose rows are not known to be written.

use knapweedwall_core::scheduler::{Answer, CallKey, Input};
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Cancels a caller's job; returns the call.
fn cancel(fleet: &mut Fleet, caller: usize) -> u64 {
    let call = fleet.key();
    let id = fleet.callers[caller].request.id.clone();
    let input = Input::Cancel {
        call: CallKey(call),
        id,
    };
    fleet.entry_input(0, input);
    call
}

/// Guards against a refusal of a cancelled job whose row is on its way to the store: the row is
/// written later, and the next owner runs the job. Also guards against cancellations without an
/// answer.
#[rstest]
#[case::in_flight(100)]
#[case::not_sent(0)]
fn a_cancelled_job_is_not_refused_and_run(#[case] cancel_ms: u64) {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    fleet.run(CLAIM_MS);
    fleet.store.down = true;
    let jobs: Vec<usize> = (0..6)
        .map(|_| fleet.submit(0, "patient", Job::new(1, 1_000, 50).durable()))
        .collect();
    fleet.run(cancel_ms);
    let cancels: Vec<u64> = jobs.iter().map(|&job| cancel(&mut fleet, job)).collect();
    fleet.run(1_400);
    fleet.store.down = false;
    fleet.run(2_000);
    fleet.kill_entry(0);
    fleet.start_entry(0);
    fleet.run(8_000);
    for (&job, call) in jobs.iter().zip(&cancels) {
        let answer = fleet.answer_to(job);
        assert!(
            answer.is_some() && fleet.replies.contains_key(call),
            "{job}"
        );
        assert!(!fleet.has_started(job), "job {job}, told {answer:?}");
    }
    fleet.assert_rules();
}

/// Guards against a refusal, for lack of an owner, of a submission whose first attempt the owner has
/// taken: its answer was lost, and the caller is told that the job never runs.
#[rstest]
fn a_repeated_submission_is_not_refused_and_run() {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0)], 1);
    fleet.run(CLAIM_MS);
    let jobs: Vec<usize> = (0..16)
        .map(|_| fleet.submit(1, "patient", Job::new(1, 500, 50).durable()))
        .collect();
    fleet.run(2);
    fleet.freeze_entry(0, true);
    fleet.run(4_500);
    fleet.freeze_entry(0, false);
    fleet.run(6_000);
    for job in jobs {
        if matches!(fleet.answer_to(job), Some(Answer::NotRun { .. })) {
            assert!(!fleet.has_started(job), "job {job} was refused and has run");
        }
    }
    fleet.assert_rules();
}
