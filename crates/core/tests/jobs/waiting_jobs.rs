//! Jobs that wait for workers which are away, full or too small, and the jobs behind them.

use std::time::Duration;

use knapweedwall_core::job::{PhaseSpec, Resources};
use knapweedwall_core::scheduler::{Answer, JobState};
use rstest::rstest;
use smallvec::smallvec;

use crate::callers::Job;
use crate::fleet::Fleet;

const ENTRIES: usize = 3;

const WORKERS: [(u32, f64); 11] = [(16_000, 1.0); 11];

/// The only worker of the rack `r`.
const RACK: usize = 10;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Longest time with nothing running while there is room.
const WAIT_MS: u64 = 3_000;

/// Event of a job that waits with nothing running.
const STALLED: u16 = 340;

fn fleet(entries: usize) -> Fleet {
    let mut fleet = Fleet::new(entries, &WORKERS, 1);
    fleet.hosts[RACK].labels = vec!["b".into(), "r".into()];
    fleet.run(CLAIM_MS);
    fleet
}

/// One phase of a job.
fn phase(count: u32, cpu: u32, run_ms: u64, label: Option<&str>) -> PhaseSpec {
    PhaseSpec {
        count,
        resources: Resources {
            cpu,
            memory: 64,
            gpus: 0,
        },
        estimate: Duration::from_millis(run_ms),
        label: label.map(Into::into),
        ..PhaseSpec::default()
    }
}

/// Submits jobs of one short task that any worker may run, and checks that all are done in time.
fn assert_not_held_back(fleet: &mut Fleet, durable: bool) {
    let entries = fleet.entries.len();
    let mut others = Vec::new();
    for round in 0..24 {
        let mut job = Job::new(1, 500, 100);
        job.durable = durable;
        others.push(fleet.submit(round % entries, "checks", job));
        fleet.run(15);
    }
    fleet.run(WAIT_MS);
    for caller in others {
        let answer = if durable {
            fleet.query(0, caller)
        } else {
            fleet.answer_to(caller).cloned()
        };
        assert_eq!(answer, Some(Answer::Completed), "caller {caller}");
    }
    fleet.assert_rules();
}

/// Guards against started jobs that wait for a lost worker and keep all new jobs from starting.
#[rstest]
fn a_lost_worker_blocks_nobody(
    #[values(2, 18)] waiting: usize,
    #[values(false, true)] durable: bool,
) {
    // Few jobs wait at a single process.
    let entries = if waiting == 2 { 1 } else { ENTRIES };
    let mut fleet = fleet(entries);
    for round in 0..waiting {
        let first = phase(1, 500, 1_000, Some("a"));
        let mut second = phase(1, 500, 1_000, Some("r"));
        second.after = smallvec![0];
        let job = Job::new(1, 500, 1_000).durable();
        fleet.submit_phases(round % entries, "checks", job, vec![first, second]);
        fleet.run(15);
    }
    fleet.run(300);
    let now_ms = fleet.now_ms;
    fleet.worker(RACK).lose(now_ms);
    fleet.run(3_000);
    assert!(fleet.events.contains(&STALLED));
    assert_not_held_back(&mut fleet, durable);
}

/// Guards against started jobs that wait for a full worker and keep all new jobs from starting.
#[rstest]
fn a_full_worker_blocks_nobody(#[values(false, true)] durable: bool) {
    let mut fleet = fleet(ENTRIES);
    for round in 0..70 {
        let first = phase(1, 500, 6_000, Some("a"));
        let mut second = phase(1, 500, 6_000, Some("r"));
        second.after = smallvec![0];
        let job = Job::new(1, 500, 6_000).durable();
        fleet.submit_phases(round % ENTRIES, "checks", job, vec![first, second]);
        fleet.run(15);
    }
    fleet.run(7_000);
    assert_eq!(fleet.running(RACK), 32);
    assert_not_held_back(&mut fleet, durable);
}

/// Guards against jobs that need more workers than there are, because they limit their tasks on each, and
/// keep others from starting.
#[rstest]
fn limits_per_worker_block_nobody(#[values(false, true)] durable: bool) {
    let mut fleet = fleet(1);
    for _ in 0..4 {
        let job = Job::new(14, 500, 8_000).spread(1).durable();
        fleet.submit(0, "checks", job);
    }
    fleet.run(1_500);
    assert_not_held_back(&mut fleet, durable);
}

/// Guards against tasks that no worker has room for, now or ever, and keep smaller ones from starting.
#[rstest]
#[case::beside_others(14_000, false)]
#[case::beside_others_durable(14_000, true)]
#[case::too_large(20_000, false)]
#[case::too_large_durable(20_000, true)]
fn large_tasks_block_nobody(#[case] cpu: u32, #[case] durable: bool) {
    let mut fleet = fleet(1);
    let everywhere = Job::new(WORKERS.len() as u32, 3_000, 12_000).spread(1);
    fleet.submit(0, "checks", everywhere.durable());
    fleet.run(500);
    for _ in 0..4 {
        // A started job, which comes before others as long as its answer is of use.
        let first = phase(1, 500, 50, None);
        let mut second = phase(1, cpu, 4_000, None);
        second.after = smallvec![0];
        let job = Job::new(1, 500, 50).durable();
        fleet.submit_phases(0, "checks", job, vec![first, second]);
    }
    fleet.run(1_000);
    assert_not_held_back(&mut fleet, durable);
}

/// Guards against a phase that no worker can run and that keeps another one of its job from starting.
#[rstest]
fn phases_start_by_themselves(
    #[values("absent", "a")] first: &str,
    #[values("absent", "a")] second: &str,
) {
    let mut fleet = fleet(1);
    let phases = vec![
        phase(2, 500, 1_000, Some(first)),
        phase(2, 500, 1_000, Some(second)),
    ];
    let job = Job::new(2, 500, 1_000).durable();
    fleet.submit_phases(0, "checks", job, phases);
    fleet.run(200);
    let expected = [first, second]
        .iter()
        .filter(|label| **label == "a")
        .count() as u64
        * 2;
    assert_eq!(fleet.starts(), expected);
}

/// Guards against a wait of which the log does not tell, or tells in each turn.
#[rstest]
fn a_wait_is_logged_once() {
    let mut fleet = fleet(1);
    let waits = fleet.submit(0, "checks", Job::new(1, 500, 100).label("absent").durable());
    let runs = fleet.submit(0, "checks", Job::new(1, 500, 4_000).durable());
    fleet.run(1_000);
    assert_eq!(fleet.count(STALLED), 0);
    fleet.run(5_000);
    assert_eq!(fleet.count(STALLED), 1);
    assert_eq!(fleet.query(0, waits), Some(Answer::State(JobState::Queued)));
    assert_eq!(fleet.query(0, runs), Some(Answer::Completed));
}

/// Guards against large tasks that wait for ever because smaller ones take the room on all workers.
#[rstest]
fn large_tasks_get_room(#[values(0.3, 0.5, 0.6)] load: f64, #[values(false, true)] started: bool) {
    let mut fleet = fleet(ENTRIES);
    let mut large = Vec::new();
    // Tasks of one core and 400 ms, at a part of the capacity.
    let cores = 16.0 * WORKERS.len() as f64;
    let gap_ms = 1.0 / (cores * load / 400.0);
    let mut due_ms = 0.0;
    for round in 0..10_000_u32 {
        while due_ms <= f64::from(round) {
            due_ms += gap_ms;
            let entry = usize::try_from(fleet.random(ENTRIES as u64)).unwrap();
            fleet.submit(entry, "checks", Job::new(1, 1_000, 400));
        }
        if round % 1_000 == 500 {
            let first = phase(1, 500, 50, None);
            let mut second = phase(1, 14_000, 300, None);
            second.after = if started { smallvec![0] } else { smallvec![] };
            let phases = if started {
                vec![first, second]
            } else {
                vec![second]
            };
            let job = Job::new(1, 500, 300).durable();
            large.push(fleet.submit_phases(0, "checks", job, phases));
        }
        fleet.run(1);
    }
    fleet.run(WAIT_MS);
    for caller in large {
        let took_ms = fleet.ended.get(&fleet.callers[caller].request.id);
        assert!(
            took_ms.is_some_and(|took_ms| *took_ms <= WAIT_MS),
            "{took_ms:?}"
        );
    }
    fleet.assert_rules();
}
