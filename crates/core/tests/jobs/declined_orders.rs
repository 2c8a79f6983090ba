//! Runs that an owner takes for declined, failed or lost, beside links that stall and reconnect, processes
//! that pause, and calls to workers that are late.
//!
//! No caller submits its job a second time, so both runs of a task that runs twice have the same owner.

use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;
use crate::random_faults::seeds;

const ENTRIES: usize = 3;
const HOSTS: usize = 4;

/// Length of a play under faults, in rounds.
const ROUNDS: u64 = 120;

/// Time between two faults.
const ROUND_MS: u64 = 50;

/// What a play has to end, with the time.
#[derive(Debug, Default)]
struct Open {
    entries: [u64; ENTRIES],
    agents: [u64; HOSTS],
    workers: [u64; HOSTS],
    cuts: Vec<(u64, usize, usize)>,
    calls_ms: u64,
}

impl Open {
    /// Ends the disruptions that are over.
    fn end(&mut self, fleet: &mut Fleet) {
        let now_ms = fleet.now_ms;
        for (at, until_ms) in self.entries.iter().enumerate() {
            if *until_ms <= now_ms {
                fleet.freeze_entry(at, false);
            }
        }
        for (at, until_ms) in self.agents.iter().enumerate() {
            if *until_ms <= now_ms && fleet.has_agent(at) {
                fleet.freeze_agent(at, false);
            } else if *until_ms <= now_ms {
                fleet.start_agent(at);
            }
        }
        for (at, until_ms) in self.workers.iter().enumerate() {
            if *until_ms <= now_ms {
                fleet.worker(at).up = !fleet.worker(at).is_gone();
            }
        }
        for (_, entry, host) in self
            .cuts
            .extract_if(.., |(until_ms, ..)| *until_ms <= now_ms)
        {
            fleet.cut(entry, host, false);
            fleet.cut_way(entry, host, (false, false));
        }
        if self.calls_ms <= now_ms {
            fleet.late_percent = 0;
            fleet.slow_ms = 0;
        }
    }

    fn disrupt(&mut self, fleet: &mut Fleet) {
        let entry = usize::try_from(fleet.random(ENTRIES as u64)).unwrap();
        let host = usize::try_from(fleet.random(HOSTS as u64)).unwrap();
        let until_ms = fleet.now_ms + 200 + fleet.random(1_000);
        match fleet.random(15) {
            0 => {
                fleet.freeze_entry(entry, true);
                self.entries[entry] = until_ms;
            }
            1 if fleet.has_agent(host) => {
                fleet.freeze_agent(host, true);
                self.agents[host] = until_ms;
            }
            2 => {
                fleet.cut(entry, host, true);
                self.cuts.push((until_ms, entry, host));
            }
            3 | 4 => {
                let way = if fleet.random(2) == 0 {
                    (true, false)
                } else {
                    (false, true)
                };
                fleet.cut_way(entry, host, way);
                self.cuts.push((until_ms, entry, host));
            }
            5 | 6 => fleet.reset_link(entry, host),
            7 => fleet.reset_links(|of, _| of == entry),
            8 => {
                let ms = 50 + fleet.random(800);
                fleet.delay_orders(entry, host, ms);
            }
            9 => {
                fleet.late_percent = 10 + u32::try_from(fleet.random(60)).unwrap();
                // Late within the lease, so that the worker carries out starts without an answer, or after it.
                fleet.late_ms = [(1, 200), (1, 1_000), (2_000, 10_000)]
                    [usize::try_from(fleet.random(3)).unwrap()];
                self.calls_ms = until_ms;
            }
            10 => {
                fleet.slow_ms = 20 + fleet.random(160);
                self.calls_ms = until_ms;
            }
            11 => {
                fleet.worker(host).up = false;
                self.workers[host] = until_ms;
            }
            12 if fleet.has_agent(host) => {
                fleet.kill_agent(host);
                self.agents[host] = until_ms - 200;
            }
            _ => {}
        }
    }
}

fn play(seed: u64, zones: usize, durable: bool) {
    let workers = [(4_000, 0.7), (6_000, 1.0), (8_000, 1.7), (4_000, 1.0)];
    let mut fleet = Fleet::in_zones(zones, ENTRIES, &workers, seed);
    fleet.run(if durable { 3_000 } else { 0 });
    let mut open = Open::default();
    for _ in 0..ROUNDS {
        for _ in 0..fleet.random(2) {
            open.disrupt(&mut fleet);
        }
        // Bursts, so that workers have no room and orders wait.
        let jobs = if fleet.random(4) == 0 { 4 } else { 0 };
        for _ in 0..jobs {
            let entry = usize::try_from(fleet.random(ENTRIES as u64)).unwrap();
            let tasks = 1 + u32::try_from(fleet.random(4)).unwrap();
            let run_ms = [40, 300, 900, 2_400][usize::try_from(fleet.random(4)).unwrap()];
            let mut job = Job::new(tasks, 1_000, run_ms);
            job.durable = durable;
            fleet.submit(entry, "patient", job);
        }
        for _ in 0..ROUND_MS {
            open.end(&mut fleet);
            fleet.run(1);
        }
    }
    for _ in 0..1_500 {
        open.end(&mut fleet);
        fleet.run(1);
    }
    fleet.run(4_000);
    assert_eq!(fleet.faults, Vec::<String>::new(), "seed {seed}");
    fleet.assert_rules();
}

/// Guards against a task that its owner starts again while the run before may go on.
#[rstest]
#[case::one_zone("0..4", 1, false)]
#[case::two_zones("100..104", 2, false)]
#[case::durable("200..204", 1, true)]
fn declined_runs_are_not_running(#[case] range: &str, #[case] zones: usize, #[case] durable: bool) {
    for seed in seeds(range) {
        play(seed, zones, durable);
    }
}
