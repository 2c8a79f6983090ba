//! Processor time per task of entry processes and agents.

use std::time::{Duration, Instant};

use super::super::args::MeasureArgs;
use super::super::error::Result;
use super::meter::{Total, read};
use super::{JOB_LIMIT, checked, figure};
use crate::cluster::{AgentSpec, Cluster, Role, Spec};
use crate::load::{Arrivals, Mix, Plan};

/// Tasks of each part.
const TASKS: usize = 100_000;

/// Tasks of a job in each part.
const JOB_TASKS: [u32; 3] = [1, 10, 500];

/// Tasks that callers keep in the system, so that slots are rarely idle.
const OPEN_TASKS: usize = 512;

/// Run time of a task in milliseconds.
const RUN_MS: (u64, u64) = (1, 5);

/// Agents, and slots of each.
const AGENTS: (usize, u32) = (4, 64);

/// Tasks before the measurement.
const WARM_UP_TASKS: usize = 5_000;

/// Limits in microseconds per task: entry processes, agents.
const LIMITS_US: (u32, u32) = (25, 50);

/// Runs the scenario: for each size of job a new system and a closed loop of callers.
///
/// # Errors
/// As [`super::run`].
pub(super) async fn run(args: &MeasureArgs) -> Result<()> {
    for size in JOB_TASKS {
        part(args, size).await?;
    }
    Ok(())
}

async fn part(args: &MeasureArgs, size: u32) -> Result<()> {
    let spec = Spec {
        agents: vec![
            AgentSpec {
                slots: AGENTS.1,
                speed: 1.0
            };
            AGENTS.0
        ],
        classes: [("bulk".into(), Duration::from_secs(30))].into(),
        seed: args.seed,
        ..Spec::default()
    };
    let cluster = Cluster::open(&spec).await?;
    let per_job = usize::try_from(size).unwrap_or(1);
    let plan = |prefix: &str, tasks: usize| Plan {
        seed: args.seed,
        prefix: prefix.to_owned(),
        mix: Mix::single("bulk", size, RUN_MS),
        arrivals: Arrivals::Closed {
            callers: (OPEN_TASKS / per_job).max(4),
        },
        jobs: (tasks / per_job).max(1),
        limit: JOB_LIMIT,
    };
    checked(&cluster, &plan("warm", WARM_UP_TASKS)).await?;
    let before = (
        read(&cluster, Role::Entry).await?,
        read(&cluster, Role::Agent).await?,
    );
    let start = Instant::now();
    let tasks = args.tasks.unwrap_or(TASKS);
    let (_, started) = checked(&cluster, &plan("cost", tasks)).await?;
    let window = start.elapsed();
    let after = (
        read(&cluster, Role::Entry).await?,
        read(&cluster, Role::Agent).await?,
    );
    let per_task = |after: Total, before: Total| {
        let micros = after.since(before).cpu.as_secs_f64() * 1e6;
        format!("{:.2}", micros / count(started))
    };
    let common = [
        ("job_tasks", size.to_string()),
        ("tasks", started.to_string()),
        (
            "tasks_per_s",
            format!("{:.0}", count(started) / window.as_secs_f64()),
        ),
    ];
    let with = |value: String, limit: u32| {
        let mut values = common.to_vec();
        values.extend([("value", value), ("limit", limit.to_string())]);
        values
    };
    let entry = with(per_task(after.0, before.0), LIMITS_US.0);
    let agent = with(per_task(after.1, before.1), LIMITS_US.1);
    figure("cost", args.seed, "entry_cpu_us_per_task", &entry);
    figure("cost", args.seed, "agent_cpu_us_per_task", &agent);
    Ok(())
}

fn count(tasks: u64) -> f64 {
    u32::try_from(tasks).map_or(f64::INFINITY, f64::from)
}
