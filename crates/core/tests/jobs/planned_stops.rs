//! Planned stops of entry processes.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Guards against requests that a planned stop cuts off.
#[rstest]
fn a_planned_stop_answers_all_callers() {
    let mut fleet = Fleet::new(1, &[(16_000, 1.0)], 1);
    let open = fleet.submit(0, "patient", Job::new(2, 1_000, 2_500));
    fleet.run(50);
    fleet.stop_entry(0);
    fleet.run(100);
    let late = fleet.submit(0, "checks", Job::new(2, 1_000, 100));
    fleet.run(2_200);
    // Its caller still has a connection, although new ones lead to other processes by now.
    let last = fleet.submit(0, "checks", Job::new(1, 1_000, 100));
    let long = fleet.submit(0, "patient", Job::new(1, 1_000, 2_500));
    let answer = fleet.answer_to(long);
    assert!(matches!(answer, Some(Answer::NotRun { .. })), "{answer:?}");
    fleet.run(500);
    assert_eq!(fleet.answer_to(open), Some(&Answer::Completed));
    assert_eq!(fleet.answer_to(late), Some(&Answer::Completed));
    assert_eq!(fleet.answer_to(last), Some(&Answer::Completed));
    assert!(!fleet.has_entry(0));
}

/// Guards against shards without an owner because the process that was about to take them over is
/// stopped, too, as in a replacement of one process after the other.
#[rstest]
fn a_stop_leaves_no_shard_behind() {
    for pause_ms in (0..120).step_by(6) {
        let mut fleet = Fleet::new(3, &[(16_000, 1.0)], 1);
        fleet.run(3_000);
        for at in 0..24 {
            fleet.submit(at % 3, "patient", Job::new(1, 500, 20).durable());
        }
        fleet.run(200);
        fleet.stop_entry(1);
        fleet.run(pause_ms);
        fleet.stop_entry(2);
        fleet.run(3_000);
        let first = fleet.callers.len();
        for _ in 0..48 {
            fleet.submit(0, "patient", Job::new(1, 500, 20).durable());
        }
        fleet.run(300);
        for at in first..fleet.callers.len() {
            let answer = fleet.answer_to(at);
            assert_eq!(answer, Some(&Answer::Accepted), "{pause_ms} ms, job {at}");
        }
        assert!(!fleet.has_entry(1) && !fleet.has_entry(2), "{pause_ms} ms");
    }
}

/// Submits durable jobs and others at an entry process, also beyond the time in which it is in rotation.
fn keep_submitting(fleet: &mut Fleet, entry: usize) {
    if !fleet.has_entry(entry) {
        return;
    }
    fleet.submit(entry, "patient", Job::new(1, 500, 50).durable());
    fleet.submit(entry, "checks", Job::new(1, 500, 50));
}

/// Guards against requests without an answer when all processes are stopped one after the other, so that
/// no process takes the shards of their jobs.
#[rstest]
fn stops_in_turn_answer_all_callers(#[values(0, 300, 700, 1_300, 2_000)] gap_ms: u64) {
    let mut fleet = Fleet::new(3, &[(16_000, 1.0), (16_000, 1.0)], 1);
    fleet.run(3_000);
    for elapsed_ms in 0..16_000 {
        for at in 0..3 {
            if elapsed_ms == at as u64 * gap_ms {
                fleet.stop_entry(at);
            }
            if elapsed_ms % 100 == 0 {
                keep_submitting(&mut fleet, at);
            }
            if elapsed_ms > 12_000 && !fleet.has_entry(at) {
                fleet.start_entry(at);
            }
        }
        fleet.run(1);
    }
    assert_eq!(fleet.cut_off, Vec::<usize>::new());
    fleet.assert_rules();
}

/// Guards against requests without an answer at the end of a stop, whatever else happens beside it.
#[rstest]
fn stops_beside_faults_answer_all_callers(#[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64) {
    let mut fleet = Fleet::new(3, &[(8_000, 1.0), (8_000, 0.7)], seed);
    fleet.run(3_000);
    for _ in 0..200 {
        let entry = usize::try_from(fleet.random(3)).unwrap();
        match fleet.random(12) {
            0 | 1 => fleet.stop_entry(entry),
            2 => fleet.store.down = !fleet.store.down,
            3 => fleet.store.lose_each = 3 - fleet.store.lose_each,
            4 => fleet.cut_peers(0, 1, true),
            5 => fleet.cut_peers(0, 1, false),
            6 => fleet.kill_agent(entry % 2),
            7 => fleet.cut(entry, 0, true),
            8 => fleet.cut(entry, 0, false),
            _ => {}
        }
        for at in 0..3 {
            if !fleet.has_entry(at) && fleet.random(6) == 0 {
                fleet.start_entry(at);
            }
        }
        for at in 0..2 {
            if !fleet.has_agent(at) && fleet.random(6) == 0 {
                fleet.start_agent(at);
            }
        }
        for _ in 0..3 {
            keep_submitting(&mut fleet, entry);
            let run_ms = 100 + fleet.random(4_000);
            if fleet.has_entry(entry) {
                fleet.submit(entry, "patient", Job::new(2, 1_000, run_ms));
            }
            let pause_ms = fleet.random(80);
            fleet.run(pause_ms);
        }
    }
    assert_eq!(fleet.cut_off, Vec::<usize>::new());
    fleet.assert_rules();
}
