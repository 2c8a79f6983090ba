//! Jobs that the callers submit.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// Queues of the soak; each job goes to one of them.
pub const QUEUES: [&str; 3] = ["slot", "confirm", "cancel"];

/// Target of the queues, in milliseconds.
pub const TARGET_MS: u64 = 1_000;

/// Stretch of the queues: response time in multiples of the longest chain of run times.
pub const STRETCH: f64 = 3.0;

/// Runs of a task that may fail.
pub const ATTEMPTS: u32 = 2;

/// Crashes of its workers after which a task may be given up: when it was alone on the last one, and
/// in any case.
pub const CRASHES: (u32, u32) = (2, 4);

/// Bounds of the run times of long tasks in milliseconds, at speed 1: of most, and of the longest.
const LONG_MS: [(u64, u64); 2] = [(200, 900), (900, 2_000)];

/// Most long tasks of a phase, so that the usual load takes about half of the workers' room.
const LONG_TASKS: u64 = 3;

/// Multiple of the run times for which a caller waits beyond the objective.
const PATIENCE: u32 = 2;

/// Equal tasks.
#[derive(Debug, Clone)]
pub struct Phase {
    /// Number of tasks.
    pub count: u64,
    /// Processor of a task in thousandths of a core.
    pub cpu: u64,
    /// Memory of a task in MB.
    pub memory: u64,
    /// Most tasks on one worker; 0 for any number.
    pub spread: u64,
}

/// A job; each phase comes after the one before it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id.
    pub id: String,
    /// Queue.
    pub queue: &'static str,
    /// What the tasks run.
    pub spec: String,
    /// Estimated run time of a task in milliseconds.
    pub estimate_ms: u64,
    /// Phases.
    pub phases: Vec<Phase>,
    /// Whether its tasks fail.
    pub fails: bool,
    /// Whether it must be kept once it is accepted.
    pub durable: bool,
}

impl Job {
    /// Draws a job. One of 50 fails, one of 8 has two phases, one of 3 must be kept.
    pub fn draw(rng: &mut ChaCha8Rng) -> Self {
        let kind = rng.random_range(0..QUEUES.len());
        let (count, ms) = [(8, 50), (4, 300), (2, 120)][kind];
        let phases = if rng.random_ratio(1, 8) { 2 } else { 1 };
        let phases = (0..phases).map(|_| Phase {
            count: rng.random_range(1..=count),
            cpu: rng.random_range(1_000..2_400),
            memory: rng.random_range(16..128),
            spread: if rng.random_ratio(1, 10) { 2 } else { 0 },
        });
        let phases = phases.collect();
        let fails = rng.random_ratio(1, 50);
        let ms = rng.random_range(ms / 2..ms * 2);
        Self {
            id: format!("{:016x}", rng.random::<u64>()),
            queue: QUEUES[kind],
            spec: json!({"ms": ms, "fails": fails}).to_string(),
            estimate_ms: ms,
            phases,
            fails,
            durable: rng.random_ratio(1, 3),
        }
    }

    /// Draws a job whose tasks may outlast the pause before a job is submitted again: 0.8 s on average
    /// and up to 4 s, as those of `load-confirm` of the users' site.
    pub(super) fn draw_long(rng: &mut ChaCha8Rng) -> Self {
        let mut job = Self::draw(rng);
        let (least, most) = LONG_MS[usize::from(rng.random_ratio(1, 6))];
        let ms = rng.random_range(least..most);
        for phase in &mut job.phases {
            phase.count = phase.count.min(LONG_TASKS);
        }
        job.spec = json!({"ms": ms, "fails": job.fails}).to_string();
        job.estimate_ms = ms;
        // Few are kept: the jobs of that site need not be.
        job.durable &= rng.random_ratio(1, 3);
        job
    }

    /// How long the caller of a job with long tasks waits: several times the expected time, as on the
    /// users' site, and longer than the objective of the queue; 2 to 29 s. A task that fails runs more
    /// than once.
    pub(super) fn patience(&self) -> Duration {
        let runs = if self.fails { ATTEMPTS } else { 1 };
        let tasks = u32::try_from(self.phases.len()).unwrap_or(1) * runs;
        let chain = Duration::from_millis(self.estimate_ms) * tasks;
        self.objective() + chain * PATIENCE
    }

    /// Time in which the job ends while nothing is disturbed, as the queues of the soak say.
    #[must_use]
    pub fn objective(&self) -> Duration {
        let chain =
            Duration::from_millis(self.estimate_ms) * u32::try_from(self.phases.len()).unwrap_or(1);
        Duration::from_millis(TARGET_MS) + chain.mul_f64(STRETCH)
    }

    /// Path of the job.
    #[must_use]
    pub fn path(&self) -> String {
        format!("/{}/{}", self.queue, self.id)
    }

    /// Body of its submission.
    #[must_use]
    pub fn body(&self) -> String {
        let phases = self.phases.iter().enumerate().map(|(at, phase)| {
            let after: Vec<usize> = at.checked_sub(1).into_iter().collect();
            json!({
                "Count": phase.count,
                "Cpu": phase.cpu,
                "MemMb": phase.memory,
                "EstimateMs": self.estimate_ms,
                "MaxPerServer": phase.spread,
                "After": after,
            })
        });
        let phases: Vec<Value> = phases.collect();
        json!({"Spec": self.spec, "BestEffort": !self.durable, "Phases": phases}).to_string()
    }

    /// Names of the tasks of a phase.
    pub fn tasks(&self, phase: usize) -> impl Iterator<Item = String> {
        let count = self.phases.get(phase).map_or(0, |phase| phase.count);
        (0..count).map(move |index| format!("{}.0.{phase}.{index}", self.id))
    }
}
