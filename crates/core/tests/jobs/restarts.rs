//! Workers that crash and come back under their instance ids, to the millisecond.

use knapweedwall_core::executor::Input;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Rank of an input that an agent handles after it stood still: orders first, then refused renewals.
/// Calls are on several connections, so their outcomes come in any order.
fn rank(input: &Input) -> u8 {
    match input {
        Input::Frame(..) => 0,
        Input::RenewalCompleted { .. } => 1,
        Input::StartCompleted { .. } => 2,
        _ => 3,
    }
}

/// Plays jobs on three workers, the first of which is the fastest. It crashes while it has no runs, and
/// is back under its id after `down_ms`; the first heartbeat follows `beat_ms` later. From `before_ms`
/// before that its agent stands still for `still_ms`.
fn play(down_ms: u64, (before_ms, still_ms): (u64, u64), beat_ms: u64, kept: bool) -> Fleet {
    let mut fleet = Fleet::new(2, &[(16_000, 2.0), (16_000, 0.7), (16_000, 0.7)], 1);
    if kept {
        fleet.run(2_400);
    }
    let now_ms = fleet.now_ms;
    fleet.worker(0).crash_with_id(now_ms, down_ms);
    let back_ms = now_ms + down_ms;
    fleet.hosts[0].next_beat_ms = back_ms + beat_ms;
    let still = back_ms - before_ms..back_ms - before_ms + still_ms;
    for round in 0..down_ms + 60 {
        if round % 3 == 0 {
            let job = Job::new(1, 1_600, 50);
            let job = if kept { job.durable() } else { job };
            fleet.submit(round as usize / 3 % 2, "patient", job);
        }
        let frozen = still.contains(&fleet.now_ms);
        if frozen != fleet.hosts[0].frozen {
            fleet.hosts[0].backlog.sort_by_key(rank);
            fleet.freeze_agent(0, frozen);
        }
        fleet.run(1);
    }
    fleet.run(100);
    fleet
}

/// Guards against runs of a new lifetime of a worker that are taken for ended because of what is known
/// of the lifetime before, and start elsewhere at the same time.
#[rstest]
fn starts_around_a_restart_run_once(
    #[values((0, 0), (5, 20))] still: (u64, u64),
    #[values(1, 17)] beat_ms: u64,
    #[values(false, true)] kept: bool,
) {
    let mut faults = Vec::new();
    for down_ms in (545..580).step_by(2) {
        let fleet = play(down_ms, still, beat_ms, kept);
        for fault in fleet.faults.iter().chain(&fleet.repeated()) {
            faults.push(format!("{down_ms} ms: {fault}"));
        }
    }
    assert_eq!(faults, Vec::<String>::new());
}
