//! Workers that crash and come back under their instance ids, to the millisecond.

use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Plays jobs on three workers, the first of which is the fastest. It crashes while it has no runs, and
/// is back under its id after `down_ms`; the first heartbeat follows 1 ms later. From `before_ms` before
/// that its agent stands still for 20 ms.
fn play(down_ms: u64, before_ms: u64, kept: bool) -> Fleet {
    let mut fleet = Fleet::new(2, &[(16_000, 2.0), (16_000, 0.7), (16_000, 0.7)], 1);
    fleet.run(3_000);
    let now_ms = fleet.now_ms;
    fleet.worker(0).crash_with_id(now_ms, down_ms);
    let back_ms = now_ms + down_ms;
    fleet.hosts[0].next_beat_ms = back_ms + 1;
    let still = back_ms - before_ms..back_ms - before_ms + 20;
    for round in 0..down_ms + 100 {
        if round % 4 == 0 {
            let job = Job::new(1, 1_600, 50);
            let job = if kept { job.durable() } else { job };
            fleet.submit(round as usize / 4 % 2, "patient", job);
        }
        let frozen = still.contains(&fleet.now_ms);
        if frozen != fleet.hosts[0].frozen {
            fleet.freeze_agent(0, frozen);
        }
        fleet.run(1);
    }
    fleet.finish(2_000);
    fleet
}

/// Guards against runs of a new lifetime of a worker that are taken for ended because of what is known
/// of the lifetime before, and start elsewhere at the same time.
#[rstest]
fn starts_around_a_restart_run_once(
    #[values(0, 5, 15)] before_ms: u64,
    #[values(false, true)] kept: bool,
) {
    let mut faults = Vec::new();
    for down_ms in 576..596 {
        let fleet = play(down_ms, before_ms, kept);
        for fault in fleet.faults.iter().chain(&fleet.repeated()) {
            faults.push(format!("{down_ms} ms: {fault}"));
        }
    }
    assert_eq!(faults, Vec::<String>::new());
}
