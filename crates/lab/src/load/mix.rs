//! Kinds of jobs and their shares.

use serde::Deserialize;
use smol_str::SmolStr;

/// Mix of job kinds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Kinds; at least one.
    pub kinds: Vec<Kind>,
}

/// One kind of job.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Class of the jobs.
    pub class: SmolStr,
    /// Share of the jobs, relative to the other kinds.
    pub share: f64,
    /// Least and most tasks of a job.
    pub tasks: (u32, u32),
    /// Least and most run time of a task on an endpoint of normal speed, in milliseconds.
    pub run_ms: (u64, u64),
    /// Whether the tasks carry the idempotency mark.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Share of the jobs whose caller cancels them while they run.
    #[serde(default)]
    pub cancelled: f64,
    /// Share of the tasks that run much longer.
    #[serde(default)]
    pub stragglers: f64,
    /// How many times longer a straggler runs.
    #[serde(default = "one")]
    pub straggler_factor: u64,
    /// Team of the jobs.
    #[serde(default)]
    pub team: Option<SmolStr>,
}

fn one() -> u64 {
    1
}

impl Mix {
    /// A mix of one kind: jobs of `tasks` tasks of `run_ms` milliseconds.
    #[must_use]
    pub fn single(class: &str, tasks: u32, run_ms: (u64, u64)) -> Self {
        let kind = Kind {
            class: class.into(),
            share: 1.0,
            tasks: (tasks, tasks),
            run_ms,
            non_idempotent: false,
            cancelled: 0.0,
            stragglers: 0.0,
            straggler_factor: 1,
            team: None,
        };
        Self { kinds: vec![kind] }
    }
}
