//! Jobs that wait although workers that suit them have room.

use std::time::Duration;

use knapweedwall_core::job::{PhaseSpec, Resources};
use knapweedwall_core::scheduler::{Answer, JobState};
use rstest::rstest;
use smallvec::smallvec;

use crate::callers::Job;
use crate::fleet::Fleet;

const ENTRIES: usize = 3;

const WORKERS: [(u32, f64); 11] = [(16_000, 1.0); 11];

/// The worker that is lost, or the only one of the rack `r`.
const LAST: usize = 10;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Longest time with nothing running while there is room.
const WAIT_MS: u64 = 3_000;

/// Time in which entry processes learn of new labels of the workers.
const LABELS_MS: u64 = 1_600;

/// A fleet whose last worker is the only one of its rack.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(ENTRIES, &WORKERS, 1);
    fleet.hosts[LAST].labels = vec!["b".into(), "r".into()];
    fleet.run(CLAIM_MS);
    fleet
}

/// One phase of tasks of half a core.
fn phase(count: u32, run_ms: u64, label: &str) -> PhaseSpec {
    PhaseSpec {
        count,
        resources: Resources {
            cpu: 500,
            memory: 64,
            gpus: 0,
        },
        estimate: Duration::from_millis(run_ms),
        label: Some(label.into()),
        ..PhaseSpec::default()
    }
}

/// Fills workers of a label, or any, with tasks that last.
fn fill(fleet: &mut Fleet, workers: usize, label: Option<&'static str>) -> Vec<usize> {
    let mut job = Job::new(1, 16_000, 60_000).durable();
    job.label = label;
    let fills = (0..workers).map(|round| fleet.submit(round % ENTRIES, "patient", job));
    let fills = fills.collect();
    fleet.run(500);
    fills
}

/// Checks that all jobs are completed.
fn assert_completed(fleet: &mut Fleet, jobs: &[usize]) {
    for &caller in jobs {
        let answer = if fleet.callers[caller].request.durable {
            fleet.query(0, caller)
        } else {
            fleet.answer_to(caller).cloned()
        };
        assert_eq!(answer, Some(Answer::Completed), "caller {caller}");
    }
    fleet.assert_rules();
}

/// A fleet of which some workers are reserved for a job that waits for the lost one. The label `p` is that of
/// the reserved workers and of a full one, `q` that of all others. Of these so many are full as well.
fn reserved_fleet(full: usize) -> Fleet {
    let mut fleet = fleet();
    let patient = Job::new(1, 500, 6_000).label("r").durable();
    fleet.submit(0, "patient", patient);
    fleet.run(500);
    let now_ms = fleet.now_ms;
    fleet.worker(LAST).lose(now_ms);
    fleet.run(1_500);
    let fills = fill(&mut fleet, LAST, None);
    let idle: Vec<usize> = (0..LAST).filter(|&at| fleet.running(at) == 0).collect();
    assert!(idle.len() >= 2, "{idle:?}");
    for fill in fills {
        fleet.cancel(0, fill);
    }
    let shared = (0..LAST).find(|at| !idle.contains(at));
    for at in 0..LAST {
        let suits = idle.contains(&at) || shared == Some(at);
        fleet.hosts[at].labels = vec![if suits { "p" } else { "q" }.into()];
    }
    fleet.run(LABELS_MS);
    fill(&mut fleet, 1, Some("p"));
    fill(&mut fleet, full, Some("q"));
    let used = (0..LAST).filter(|&at| fleet.running(at) > 0);
    assert_eq!(used.count(), full + 1);
    fleet
}

/// Guards against late jobs that a worker with little room left turns away although it is the only one with
/// their label and the fleet is idle.
#[rstest]
fn late_jobs_use_the_last_room(#[values(false, true)] durable: bool) {
    let mut fleet = fleet();
    fleet.submit(0, "patient", Job::new(27, 500, 40_000).label("r").durable());
    fleet.submit(1, "patient", Job::new(5, 500, 6_000).label("r").durable());
    fleet.run(if durable { 500 } else { 4_500 });
    assert_eq!(fleet.running(LAST), 32);
    let mut jobs = Vec::new();
    for round in 0..24 {
        let mut job = Job::new(1, 500, if durable { 100 } else { 800 }).label("r");
        job.durable = durable;
        jobs.push(fleet.submit(round % ENTRIES, "checks", job));
    }
    if !durable {
        // As many of them as there is room for, while their answers are of use.
        fleet.run(1_700 + WAIT_MS);
        let served = jobs.iter();
        let served = served.filter(|&&job| fleet.answer_to(job) == Some(&Answer::Completed));
        assert!(served.count() >= 5);
        return fleet.assert_rules();
    }
    fleet.run(6_000 + WAIT_MS);
    assert_completed(&mut fleet, &jobs);
}

/// Guards against the same while the rest of the fleet is full, so that capacity is scarce.
#[rstest]
fn overdue_jobs_use_the_last_room() {
    let mut fleet = fleet();
    fill(&mut fleet, 8, Some("a"));
    fleet.submit(0, "patient", Job::new(27, 500, 40_000).label("r").durable());
    fleet.submit(1, "patient", Job::new(5, 500, 6_000).label("r").durable());
    fleet.run(500);
    let jobs: Vec<usize> = (0..24)
        .map(|round| {
            let job = Job::new(1, 500, 100).label("r").durable();
            fleet.submit(round % ENTRIES, "checks", job)
        })
        .collect();
    fleet.run(6_000 + WAIT_MS);
    assert!(jobs.iter().any(|&job| fleet.has_started(job)));
    fleet.run(2 * WAIT_MS);
    assert_completed(&mut fleet, &jobs);
}

/// Guards against jobs that wait beside idle reserved workers while more than half of the fleet is full.
#[rstest]
fn busy_fleets_open_reserved_workers(#[values(1, 5, 6)] full: usize) {
    let mut fleet = reserved_fleet(full);
    let mut jobs = Vec::new();
    for round in 0..6 {
        let job = Job::new(1, 500, 100).label("p").durable();
        jobs.push(fleet.submit(round % ENTRIES, "checks", job));
    }
    fleet.run(WAIT_MS);
    assert_completed(&mut fleet, &jobs);
}

/// Guards against tasks of a phase that wait beside idle reserved workers as long as another phase of their
/// job runs.
#[rstest]
fn waiting_phases_use_reserved_workers(#[values(1, 4)] full: usize) {
    let mut fleet = reserved_fleet(full);
    let mut jobs = Vec::new();
    for round in 0..6 {
        let job = Job::new(1, 500, 30_000).durable();
        let phases = vec![phase(1, 30_000, "q"), phase(1, 30_000, "p")];
        jobs.push(fleet.submit_phases(round % ENTRIES, "checks", job, phases));
    }
    fleet.run(WAIT_MS);
    for caller in jobs {
        let runs = (0..LAST).filter(|&at| fleet.has_run_of(caller, at));
        assert_eq!(runs.count(), 2, "caller {caller}");
    }
    fleet.assert_rules();
}

/// Guards against a job of more tasks than ever fit at the same time that waits beside much room.
#[rstest]
fn wide_jobs_start_beside_full_workers(#[values(7, 8)] full: usize) {
    let mut fleet = fleet();
    fill(&mut fleet, full, Some("a"));
    let wide = fleet.submit(0, "checks", Job::new(400, 500, 100).durable());
    fleet.run(WAIT_MS);
    assert!(fleet.has_started(wide));
    fleet.run(WAIT_MS);
    assert_completed(&mut fleet, &[wide]);
}

/// Guards against small jobs that are held back by larger ones on a rack with room, because other racks are
/// full.
#[rstest]
fn full_racks_hold_back_nobody_elsewhere(#[values(false, true)] durable: bool) {
    let mut fleet = fleet();
    for at in 8..WORKERS.len() {
        fleet.hosts[at].labels = vec!["b".into(), "p".into()];
    }
    fleet.run(LABELS_MS);
    fill(&mut fleet, 8, Some("a"));
    fleet.submit(
        0,
        "patient",
        Job::new(3, 6_000, 60_000).spread(1).label("p").durable(),
    );
    fleet.run(500);
    for round in 0..3 * ENTRIES {
        // Started jobs come before others.
        let mut large = phase(1, 4_000, "p");
        large.resources.cpu = 12_000;
        large.after = smallvec![0];
        let job = Job::new(1, 500, 50).durable();
        fleet.submit_phases(
            round % ENTRIES,
            "patient",
            job,
            vec![phase(1, 50, "p"), large],
        );
    }
    fleet.run(100);
    let mut jobs = Vec::new();
    for round in 0..24 {
        let mut job = Job::new(1, 500, 100).label("p");
        job.durable = durable;
        jobs.push(fleet.submit(round % ENTRIES, "checks", job));
        fleet.run(15);
    }
    fleet.run(1_000);
    assert_completed(&mut fleet, &jobs);
}

/// Guards against a job that is shown as running although its only order was returned by an agent without
/// room.
#[rstest]
fn returned_orders_do_not_count_as_runs() {
    let mut fleet = fleet();
    fleet.submit(0, "patient", Job::new(32, 500, 40_000).label("r").durable());
    fleet.run(500);
    let jobs: Vec<usize> = (0..6)
        .map(|round| {
            let job = Job::new(1, 500, 100).label("r").durable();
            fleet.submit(round % ENTRIES, "checks", job)
        })
        .collect();
    fleet.run(WAIT_MS);
    for caller in jobs {
        assert!(!fleet.has_started(caller));
        let state = fleet.query(0, caller);
        assert_eq!(
            state,
            Some(Answer::State(JobState::Queued)),
            "caller {caller}"
        );
    }
    fleet.assert_rules();
}

/// Guards against wide jobs that are starved by small ones, each of which finds room before they do.
#[rstest]
#[case::nine_tenths_full(4, true)]
#[case::three_quarters_full(5, true)]
#[case::three_quarters_full_best_effort(5, false)]
fn small_jobs_do_not_starve_wide_ones(#[case] every_ms: u64, #[case] durable: bool) {
    let mut fleet = fleet();
    let mut wide = Vec::new();
    for round in 0..1_200_usize {
        // The workers run 1,100 such tasks in a second.
        fleet.submit(round % ENTRIES, "checks", Job::new(4, 1_600, 100));
        if round == 250 {
            let mut job = Job::new(60, 1_600, 100);
            job.durable = durable;
            wide.push(fleet.submit(0, "checks", job));
        }
        fleet.run(every_ms);
    }
    assert!(fleet.has_started(wide[0]));
    fleet.run(1_000);
    assert_completed(&mut fleet, &wide);
}

/// Guards against best-effort jobs that are refused because they are wider than the room, although they
/// could run in waves while their answers are of use.
#[rstest]
fn wide_best_effort_jobs_run_in_waves() {
    let mut fleet = fleet();
    fill(&mut fleet, 8, Some("a"));
    // 96 of the tasks fit at the same time.
    let wide = fleet.submit(0, "checks", Job::new(400, 500, 100));
    fleet.run(1_000);
    assert_completed(&mut fleet, &[wide]);
}
