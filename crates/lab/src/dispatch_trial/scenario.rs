//! Workloads of the trial.

use std::time::Duration;

use knapweedwall_core::config::{Class, Document};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// Workers in the model, each with [`SLOTS`] slots.
const WORKERS: usize = 10;

/// Slots of a worker.
pub(super) const SLOTS: u32 = 8;

/// Length of the arrivals of one run, in seconds.
const LENGTH_S: f64 = 120.0;

/// Share of tasks that are stragglers, and how many times longer they take.
const STRAGGLERS: (f64, f64) = (0.003, 20.0);

/// Classes: name, target in ms, shortest and longest task in seconds, share of the load.
const CLASSES: [(&str, u64, f64, f64, f64); 4] = [
    ("short", 500, 0.05, 0.2, 0.35),
    ("plain", 2_000, 0.2, 1.0, 0.45),
    ("long", 20_000, 2.0, 6.0, 0.20),
    ("bulk", 60_000, 0.3, 1.0, 0.0),
];

/// Index of the long class.
const LONG: usize = 2;

/// Index of the bulk class, which has no share in the steady load.
const BULK: usize = 3;

/// One job of a workload.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// Arrival in seconds.
    pub arrival_s: f64,
    /// Index of the class.
    pub class: usize,
    /// Run time of each task on a worker of speed 1, in seconds.
    pub tasks: Vec<f64>,
}

/// One worker of a workload.
#[derive(Debug, Clone, Copy)]
pub struct WorkerSpec {
    /// Relative speed.
    pub speed: f64,
    /// Time from which every task fails at once, in seconds.
    pub fails_from: Option<f64>,
}

/// Jobs and workers of one run.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Workers.
    pub workers: Vec<WorkerSpec>,
    /// Jobs in order of arrival.
    pub jobs: Vec<JobSpec>,
}

/// A kind of workload.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name in the report.
    pub name: &'static str,
    /// Load before and after the crest, as a share of the capacity.
    load: f64,
    /// Load of the classes without bulk from 30 s to 35 s.
    crest: Option<f64>,
    /// Work that arrives at once every 30 s, in seconds of the whole capacity.
    wave_s: f64,
    /// Class and tasks of the jobs of that work.
    wave: (usize, u32),
    /// Whether one worker in ten fails everything from 40 s on.
    failing: bool,
}

/// All scenarios of the trial.
#[must_use]
pub fn scenarios() -> Vec<Scenario> {
    let steady = Scenario {
        name: "load70",
        load: 0.7,
        crest: None,
        wave_s: 0.0,
        wave: (BULK, 500),
        failing: false,
    };
    vec![
        steady,
        Scenario {
            name: "load90",
            load: 0.9,
            ..steady
        },
        Scenario {
            name: "crest",
            load: 0.5,
            crest: Some(3.0),
            ..steady
        },
        Scenario {
            name: "bulk",
            load: 0.35,
            wave_s: 12.0,
            ..steady
        },
        Scenario {
            name: "hog",
            load: 0.35,
            wave_s: 15.0,
            wave: (LONG, 100),
            ..steady
        },
        Scenario {
            name: "failing",
            failing: true,
            ..steady
        },
    ]
}

/// Configuration with the classes of the trial.
#[must_use]
pub fn document() -> Document {
    let mut document = Document::default();
    for (name, target_ms, ..) in CLASSES {
        let target = Duration::from_millis(target_ms);
        document.classes.insert(name.into(), Class { target });
    }
    document
}

/// Names of the classes, by index.
pub fn class_names() -> impl Iterator<Item = &'static str> {
    CLASSES.iter().map(|c| c.0)
}

/// Target of a class in seconds.
#[must_use]
pub fn target_s(class: usize) -> f64 {
    CLASSES.get(class).map_or(0.0, |c| c.1 as f64 / 1e3)
}

impl Scenario {
    /// Workload of this scenario; equal seeds give equal workloads.
    #[must_use]
    pub fn workload(&self, seed: u64) -> Workload {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // Speeds from 0.5 to 2 in equal ratios.
        let spread = |i: usize| 0.5 * 4.0_f64.powf(i as f64 / (WORKERS - 1) as f64);
        let speeds: Vec<f64> = (0..WORKERS).map(spread).collect();
        let capacity = speeds.iter().sum::<f64>() * f64::from(SLOTS);
        // The worker that fails has the middle speed.
        let fails = |i| (self.failing && i == WORKERS / 2).then_some(40.0);
        let worker = |(i, speed): (usize, &f64)| WorkerSpec {
            speed: *speed,
            fails_from: fails(i),
        };
        let workers = speeds.iter().enumerate().map(worker).collect();
        let mut jobs = Vec::new();
        for class in 0..CLASSES.len() {
            self.arrivals(class, capacity, &mut random, &mut jobs);
        }
        self.waves(capacity, &mut random, &mut jobs);
        jobs.sort_by(|a: &JobSpec, b| a.arrival_s.total_cmp(&b.arrival_s));
        Workload { workers, jobs }
    }

    /// Poisson arrivals of one class.
    fn arrivals(
        &self,
        class: usize,
        capacity: f64,
        random: &mut ChaCha8Rng,
        jobs: &mut Vec<JobSpec>,
    ) {
        let (_, _, min_s, max_s, share) = CLASSES[class];
        if share <= 0.0 {
            return;
        }
        let job_s = mean_task_s(min_s, max_s) * MEAN_TASKS;
        let mut time_s = 0.0;
        loop {
            let crest = self.crest.filter(|_| (30.0..35.0).contains(&time_s));
            let rate = crest.unwrap_or(self.load) * capacity * share / job_s;
            let step_s = -uniform(random).ln() / rate;
            // The rate changes at 30 s and 35 s; a step across a change is drawn anew from there.
            let edge = [30.0, 35.0]
                .into_iter()
                .find(|e| time_s < *e && time_s + step_s > *e);
            if let Some(edge) = edge.filter(|_| self.crest.is_some()) {
                time_s = edge;
                continue;
            }
            time_s += step_s;
            if time_s > LENGTH_S {
                return;
            }
            let count = task_count(random);
            let tasks = (0..count).map(|_| task_s(min_s, max_s, random)).collect();
            jobs.push(JobSpec {
                arrival_s: time_s,
                class,
                tasks,
            });
        }
    }

    /// Large jobs that arrive together.
    fn waves(&self, capacity: f64, random: &mut ChaCha8Rng, jobs: &mut Vec<JobSpec>) {
        let (class, count) = self.wave;
        let (_, _, min_s, max_s, _) = CLASSES[class];
        for wave in 0..3 {
            let mut work_s = self.wave_s * capacity;
            while work_s > 0.0 {
                let tasks: Vec<f64> = (0..count).map(|_| task_s(min_s, max_s, random)).collect();
                work_s -= tasks.iter().sum::<f64>();
                let arrival_s = 10.0 + 30.0 * f64::from(wave);
                jobs.push(JobSpec {
                    arrival_s,
                    class,
                    tasks,
                });
            }
        }
    }
}

/// Mean of [`task_count`].
const MEAN_TASKS: f64 = 0.6 + 0.35 * 6.0 + 0.05 * 50.0;

/// Tasks of a job: mostly one, some 2 to 10, a few 50.
fn task_count(random: &mut ChaCha8Rng) -> usize {
    match uniform(random) {
        u if u < 0.6 => 1,
        u if u < 0.95 => 2 + (random.next_u32() % 9) as usize,
        _ => 50,
    }
}

/// Run time spread evenly on a log scale; a few tasks are stragglers.
fn task_s(min_s: f64, max_s: f64, random: &mut ChaCha8Rng) -> f64 {
    let run_s = min_s * (max_s / min_s).powf(uniform(random));
    let straggles = uniform(random) < STRAGGLERS.0;
    if straggles {
        run_s * STRAGGLERS.1
    } else {
        run_s
    }
}

/// Mean of [`task_s`].
fn mean_task_s(min_s: f64, max_s: f64) -> f64 {
    let plain_s = (max_s - min_s) / (max_s / min_s).ln();
    plain_s * (1.0 + STRAGGLERS.0 * (STRAGGLERS.1 - 1.0))
}

/// Uniform in (0, 1].
fn uniform(random: &mut ChaCha8Rng) -> f64 {
    (f64::from(random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0)
}
