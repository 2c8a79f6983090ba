//! Runs whose owner is lost together with their agent. The callers submit their jobs again 1.3 s later.
//!
//! Invariant: no run of a job that need not be kept goes on for 1.3 s after the last sign of life of its
//! owner, whether or not its agent lives to stop it.

use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

/// Kills all entry processes, and the agents `gap_ms` later. All are back `down_ms` after that, while the
/// store is away, so that nobody claims the shards of the jobs.
fn lose_all(gap_ms: u64, down_ms: u64, agents_first: bool) -> Fleet {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0), (16_000, 0.7)], 1);
    fleet.run(2_000);
    for round in 0..4 {
        fleet.submit(round % 2, "patient", Job::new(2, 1_000, 4_000));
        fleet.run(100);
    }
    fleet.store.down = true;
    for at in 0..2 {
        fleet.kill_entry(at);
    }
    fleet.run(gap_ms);
    for at in 0..2 {
        fleet.kill_agent(at);
    }
    fleet.run(down_ms);
    if agents_first {
        fleet.start_agent(0);
        fleet.start_agent(1);
        fleet.run(20);
    }
    for at in 0..2 {
        fleet.start_entry(at);
        if !agents_first {
            fleet.start_agent(at);
        }
    }
    fleet.run(4_000);
    fleet
}

/// Guards against a first run that goes on beside the second one, because the agent that finds it on its
/// worker keeps it for as long as if its owner had just been lost.
#[rstest]
fn runs_end_before_the_resubmission(
    #[values(0, 200, 500, 700, 790)] gap_ms: u64,
    #[values(10, 300, 600, 800, 1_000, 1_200)] down_ms: u64,
    #[values(false, true)] agents_first: bool,
) {
    lose_all(gap_ms, down_ms, agents_first).assert_rules();
}

/// Guards against a run that goes on because the answer to its stop was lost.
#[rstest]
fn a_lost_stop_is_bounded_by_the_lease(#[values(0, 60, 300)] delay_ms: u64) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0)], 1);
    fleet.run(2_000);
    fleet.submit(0, "patient", Job::new(2, 1_000, 6_000));
    fleet.submit(1, "patient", Job::new(2, 1_000, 6_000));
    fleet.run(500 + delay_ms);
    fleet.kill_entry(0);
    // The stops are lost; renewals for the runs of the other owner get through.
    for _ in 0..1_300 {
        fleet.run(1);
        fleet.drop_stops(0);
    }
    assert!(fleet.running(0) <= 2, "{}", fleet.running(0));
    fleet.run(3_000);
    fleet.assert_rules();
}

/// Guards against runs that are thrown away although their owner claims them in time.
#[rstest]
fn claimed_runs_outlive_their_agent(#[values(20, 200, 500, 800)] down_ms: u64) {
    let mut fleet = Fleet::new(2, &[(16_000, 1.0)], 1);
    for at in 0..2 {
        fleet.submit(at, "patient", Job::new(2, 1_000, 5_000));
    }
    fleet.run(700);
    fleet.kill_agent(0);
    fleet.run(down_ms);
    fleet.start_agent(0);
    fleet.finish(8_000);
    assert_eq!(fleet.worker(0).starts, 4);
    fleet.assert_rules();
}

/// Guards against second runs in whatever order and with whatever gaps owners and agents are lost and
/// come back.
#[rstest]
fn losses_in_any_order_run_nothing_twice(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)] seed: u64,
    #[values(0, 15)] late_percent: u32,
) {
    let workers = [(8_000, 0.7), (8_000, 1.7), (8_000, 1.0)];
    let mut fleet = Fleet::new(3, &workers, seed);
    fleet.run(2_000);
    fleet.store.down = true;
    for _ in 0..30 {
        fleet.late_percent = late_percent;
        for _ in 0..4 {
            let entry = usize::try_from(fleet.random(3)).unwrap();
            let run_ms = 200 + fleet.random(4_000);
            if fleet.has_entry(entry) {
                fleet.submit(entry, "patient", Job::new(2, 800, run_ms));
            }
            let pause_ms = fleet.random(60);
            fleet.run(pause_ms);
        }
        let entries = 1 + fleet.random(7);
        let agents = fleet.random(8);
        for at in 0..3 {
            if entries & (1 << at) != 0 {
                fleet.kill_entry(at);
            }
            let gap_ms = fleet.random(400);
            fleet.run(gap_ms);
            if agents & (1 << at) != 0 {
                fleet.kill_agent(at);
            }
        }
        let down_ms = fleet.random(1_200);
        fleet.run(down_ms);
        for at in 0..3 {
            if !fleet.has_entry(at) {
                fleet.start_entry(at);
            }
            let gap_ms = fleet.random(300);
            fleet.run(gap_ms);
            if !fleet.has_agent(at) {
                fleet.start_agent(at);
            }
        }
        let pause_ms = 300 + fleet.random(1_500);
        fleet.run(pause_ms);
    }
    fleet.late_percent = 0;
    fleet.run(5_000);
    fleet.assert_rules();
}

/// Guards against a run whose order was under way while its owner ended, and that outlives the return of
/// the caller because the runs of another owner have extended the lease of the worker.
#[rstest]
fn late_orders_end_before_the_resubmission(
    #[values(0, 100, 240, 300, 400, 500, 600, 700, 790)] delay_ms: u64,
    #[values(None, Some(false), Some(true))] beside_durable: Option<bool>,
    #[values(1, 2)] zones: usize,
) {
    let mut fleet = Fleet::in_zones(zones, 2, &[(4_000, 1.0), (4_000, 1.0)], 1);
    fleet.run(2_000);
    if let Some(durable) = beside_durable {
        let mut beside = Job::new(2, 2_200, 9_000);
        beside.durable = durable;
        fleet.submit(1, "patient", beside);
        fleet.run(500);
        assert_eq!((fleet.running(0), fleet.running(1)), (1, 1));
    }
    let first = fleet.submit(0, "patient", Job::new(1, 1_000, 3_000));
    fleet.run(1);
    for host in 0..2 {
        fleet.delay_orders(0, host, delay_ms);
    }
    fleet.lose_entry(0);
    fleet.run(delay_ms + 3);
    fleet.kill_agent(usize::from(!fleet.has_run_of(first, 0)));
    fleet.reset_links(|entry, _| entry == 0);
    fleet.run(4_000);
    fleet.assert_rules();
}

/// Guards against a run that goes on beside the second one because its agent stood still while its link
/// was made anew: the owner was last there when it answered, not when the agent read that.
#[rstest]
fn connections_read_late_are_no_contact(
    #[values(300, 400, 500, 540, 600, 700)] frozen_ms: u64,
    #[values(1, 5, 10, 60)] phase_ms: u64,
) {
    let mut fleet = Fleet::new(2, &[(4_000, 1.0), (4_000, 1.0)], 1);
    fleet.run(2_000);
    let first = fleet.submit(0, "patient", Job::new(1, 1_000, 4_000));
    // Short tasks on both workers, so that the owner often acknowledges what the agents report.
    for _ in 0..30 {
        fleet.submit(0, "patient", Job::new(4, 700, 8));
        fleet.run(10);
    }
    fleet.run(phase_ms);
    let host = usize::from(!fleet.has_run_of(first, 0));
    fleet.freeze_agent(host, true);
    fleet.reset_link(0, host);
    fleet.connect(0, host);
    fleet.run(2);
    fleet.kill_entry(0);
    fleet.run(frozen_ms);
    fleet.freeze_agent(host, false);
    fleet.run(4_000);
    fleet.assert_rules();
}
