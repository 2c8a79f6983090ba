//! Workers that are silent for a while before they crash.
//!
//! Invariant: a crash counts as proof against a task only if the task was running when the worker crashed.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Length of a task, in milliseconds.
const RUN_MS: u64 = 200;

/// Waits for a run on one of three workers, and returns the worker.
fn next_run(fleet: &mut Fleet) -> usize {
    let mut waited = 0;
    while (0..3).all(|at| fleet.running(at) == 0) && waited < 8_000 {
        waited += 1;
        fleet.run(1);
    }
    (0..3).find(|at| fleet.running(*at) > 0).expect("a run")
}

/// Plays a job whose worker restarts twice, each time after its task has ended unseen, and checks that the
/// job is not given up. `set_silent` begins and ends the time in which the agent learns nothing.
fn assert_not_blamed(silent_ms: u64, same_id: bool, set_silent: impl Fn(&mut Fleet, usize, bool)) {
    let workers = [(16_000, 1.0), (16_000, 1.0), (16_000, 1.0)];
    let mut fleet = Fleet::new(1, &workers, 1);
    fleet.run(3_000);
    let job = fleet.submit(0, "patient", Job::new(1, 1_600, RUN_MS).durable());
    for _ in 0..2 {
        let at = next_run(&mut fleet);
        fleet.run(60);
        set_silent(&mut fleet, at, true);
        fleet.run(silent_ms);
        assert_eq!(fleet.running(at), 0);
        let now_ms = fleet.now_ms;
        if same_id {
            fleet.worker(at).restart_with_id(now_ms);
        } else {
            fleet.worker(at).restart(now_ms);
        }
        set_silent(&mut fleet, at, false);
        fleet.run(10);
    }
    fleet.run(12_000);
    assert_eq!(fleet.most_crashes(job), 0);
    assert_eq!(fleet.query(0, job), Some(Answer::Completed));
    fleet.assert_rules();
}

/// Guards against a job that is given up although its task had ended before either worker crashed: both had
/// been silent since before its end (random_faults, seed 201 in three zones).
#[rstest]
fn ended_tasks_are_not_blamed(
    #[values(250, 400, 700)] silent_ms: u64,
    #[values(false, true)] same_id: bool,
) {
    assert_not_blamed(silent_ms, same_id, |fleet, at, silent| {
        fleet.worker(at).up = !silent;
    });
}

/// Guards against a job that is given up although its task had ended before either worker crashed: both
/// agents had stood still since before its end, and read a response to an earlier call just before they
/// learned of the crash (random_faults, seed 7123 in one zone on 2a780d9).
#[rstest]
fn a_response_read_late_is_no_sign_of_life(
    #[values(250, 400, 700)] still_ms: u64,
    #[values(false, true)] same_id: bool,
) {
    assert_not_blamed(still_ms, same_id, Fleet::freeze_agent);
}
