//! Jobs beside workers that are reserved for jobs that may crash them.

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::Job;
use crate::fleet::Fleet;

const ENTRIES: usize = 3;

const WORKERS: [(u32, f64); 11] = [(16_000, 1.0); 11];

/// Labels of the racks of one worker, one for each worker.
const RACKS: [&str; 11] = [
    "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "r10",
];

/// Worker that is lost under a job.
const LOST: usize = 10;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Longest time with nothing running while there is room.
const WAIT_MS: u64 = 3_000;

/// Event of a queue that is confined.
const CONFINED: u16 = 333;

/// A fleet of racks of one worker.
fn racks() -> Fleet {
    let mut fleet = Fleet::new(ENTRIES, &WORKERS, 1);
    for (host, rack) in RACKS.iter().enumerate() {
        fleet.hosts[host].labels = vec!["a".into(), (*rack).into()];
    }
    fleet.run(CLAIM_MS);
    fleet
}

/// The same, with a fifth of the workers reserved for a job that waits for a lost one.
fn fleet() -> Fleet {
    let mut fleet = racks();
    fleet.submit(
        0,
        "patient",
        Job::new(1, 500, 6_000).label(RACKS[LOST]).durable(),
    );
    fleet.run(500);
    let now_ms = fleet.now_ms;
    fleet.worker(LOST).lose(now_ms);
    fleet.run(1_500);
    fleet
}

/// State of a caller's job.
fn state(fleet: &mut Fleet, caller: usize) -> Option<Answer> {
    if fleet.callers[caller].request.durable {
        fleet.query(0, caller)
    } else {
        fleet.answer_to(caller).cloned()
    }
}

/// Guards against jobs that wait for as long as the only worker with their label is reserved.
#[rstest]
fn labels_on_reserved_workers_are_served(#[values(false, true)] durable: bool) {
    let mut fleet = fleet();
    let mut jobs = Vec::new();
    for (round, rack) in RACKS.iter().take(LOST).enumerate() {
        let mut job = Job::new(2, 500, 400).label(rack);
        job.durable = durable;
        jobs.push(fleet.submit(round % ENTRIES, "checks", job));
    }
    fleet.run(WAIT_MS);
    for caller in jobs {
        let state = state(&mut fleet, caller);
        assert_eq!(state, Some(Answer::Completed), "caller {caller}");
    }
    fleet.assert_rules();
}

/// Guards against a job that limits its tasks on each worker and needs more workers than are not
/// reserved.
#[rstest]
fn limits_reach_reserved_workers(#[values(false, true)] durable: bool) {
    let mut fleet = fleet();
    let mut job = Job::new(LOST as u32, 500, 2_500).spread(1);
    job.durable = durable;
    let caller = fleet.submit(0, "checks", job);
    fleet.run(WAIT_MS);
    assert_eq!(state(&mut fleet, caller), Some(Answer::Completed));
    fleet.assert_rules();
}

/// Guards against jobs that wait beside a reserved worker while the other ones with their label are full
/// with long tasks and most of the fleet is idle.
#[rstest]
fn reserved_workers_stand_in_for_full_ones() {
    let mut had_reserved = 0;
    for label in ["p", "q", "s"] {
        let mut fleet = fleet();
        for host in 0..LOST {
            let shared = ["p", "q", "s"][host % 3];
            fleet.hosts[host].labels = vec![shared.into()];
        }
        fleet.run(2_000);
        // Fills those of the workers with the label that are not reserved.
        let fill = Job::new(1, 16_000, 20_000).label(label).durable();
        let fills: Vec<usize> = (0..4).map(|_| fleet.submit(0, "checks", fill)).collect();
        fleet.run(300);
        let full = fills.iter().filter(|&&fill| fleet.has_started(fill));
        had_reserved += usize::from(full.count() < 3);
        for fill in fills {
            if !fleet.has_started(fill) {
                fleet.cancel(0, fill);
            }
        }
        if !(0..LOST).any(|at| fleet.running(at) == 0 && fleet.hosts[at].labels[0] == label) {
            continue;
        }
        let mut jobs = Vec::new();
        for round in 0..6 {
            let job = Job::new(1, 500, 100).label(label).durable();
            jobs.push(fleet.submit(round % ENTRIES, "checks", job));
        }
        fleet.run(WAIT_MS);
        for caller in jobs {
            let state = state(&mut fleet, caller);
            assert_eq!(state, Some(Answer::Completed), "{label}: caller {caller}");
        }
        fleet.assert_rules();
    }
    assert!(had_reserved > 0);
}

/// Guards against jobs that wait for the end of a job under suspicion which has the only worker with their
/// label to itself for long.
#[rstest]
fn suspects_do_not_keep_a_label_to_themselves(
    #[values((1, 8_000), (8, 1_500))] (tasks, run_ms): (u32, u64),
) {
    let mut fleet = racks();
    let rack = RACKS[3];
    let job = Job::new(tasks, 16_000, run_ms).label(rack).durable();
    let suspect = fleet.submit(0, "patient", job);
    fleet.run(300);
    let now_ms = fleet.now_ms;
    fleet.worker(3).crash_with_id(now_ms, 600);
    fleet.run(1_200);
    assert!(fleet.has_run_of(suspect, 3));
    let now_ms = fleet.now_ms;
    fleet.worker(3).resize(now_ms, 20_000);
    fleet.hosts[3].next_beat_ms = now_ms;
    let job = Job::new(1, 500, 100).label(rack).durable();
    let caller = fleet.submit(1, "checks", job);
    fleet.run(WAIT_MS);
    assert_eq!(state(&mut fleet, caller), Some(Answer::Completed));
    fleet.assert_rules();
}

/// A fleet with a confined queue, `patient`.
fn confined_fleet() -> Fleet {
    let mut fleet = fleet();
    for round in 0..24 {
        let job = Job::new(1, 1_600, 50).durable().deadly();
        fleet.submit(round % ENTRIES, "patient", job);
        fleet.run(60);
    }
    fleet.run(3_000);
    assert!(fleet.events.contains(&CONFINED));
    fleet
}

/// Submits jobs of another queue for 8 s. They use two fifths of the fleet.
fn load_others(fleet: &mut Fleet) {
    for round in 0..400_usize {
        for _ in 0..2 {
            fleet.submit(round % ENTRIES, "checks", Job::new(1, 1_600, 400));
        }
        fleet.run(20);
    }
}

/// Guards against jobs of a confined queue that wait although a worker that is not reserved has their
/// label.
#[rstest]
fn confined_queues_reach_their_labels() {
    let mut fleet = confined_fleet();
    let mut jobs = Vec::new();
    for (round, rack) in RACKS.iter().take(LOST).enumerate() {
        let job = Job::new(1, 500, 100).label(rack).durable();
        jobs.push(fleet.submit(round % ENTRIES, "patient", job));
    }
    load_others(&mut fleet);
    for caller in jobs {
        assert!(fleet.has_started(caller), "caller {caller}");
    }
    fleet.assert_rules();
}

/// Guards against a job under suspicion that waits although a worker that is not reserved has its label: it
/// crashes this worker, and has to run there once more.
#[rstest]
fn suspects_reach_their_labels(#[values(0, 2, 4, 6, 8)] rack: usize) {
    let mut fleet = confined_fleet();
    let job = Job::new(1, 500, 100).label(RACKS[rack]).durable().deadly();
    let caller = fleet.submit(0, "patient", job);
    // Earlier jobs of the queue crash the worker meanwhile.
    load_others(&mut fleet);
    load_others(&mut fleet);
    assert_eq!(fleet.most_crashes(caller), 2);
    fleet.assert_rules();
}
