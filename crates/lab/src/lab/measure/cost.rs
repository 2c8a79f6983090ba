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
    checked(&cluster, &plan(args.seed, "warm", size, WARM_UP_TASKS)).await?;
    let before = (
        read(&cluster, Role::Entry).await?,
        read(&cluster, Role::Agent).await?,
    );
    let start = Instant::now();
    let tasks = args.tasks.unwrap_or(TASKS);
    let (_, started) = checked(&cluster, &plan(args.seed, "cost", size, tasks)).await?;
    let window = start.elapsed();
    let after = (
        read(&cluster, Role::Entry).await?,
        read(&cluster, Role::Agent).await?,
    );
    let show = |name: &str, used: Total, limit: u32| {
        let per_task = used.cpu.as_secs_f64() * 1e6 / count(started);
        let values = [
            ("job_tasks", size.to_string()),
            ("tasks", started.to_string()),
            (
                "tasks_per_s",
                format!("{:.0}", count(started) / window.as_secs_f64()),
            ),
            ("value", format!("{per_task:.2}")),
            ("limit", limit.to_string()),
        ];
        figure("cost", args.seed, name, &values);
    };
    show(
        "entry_cpu_us_per_task",
        after.0.since(before.0),
        LIMITS_US.0,
    );
    show(
        "agent_cpu_us_per_task",
        after.1.since(before.1),
        LIMITS_US.1,
    );
    Ok(())
}

fn plan(seed: u64, prefix: &str, size: u32, tasks: usize) -> Plan {
    let per_job = usize::try_from(size).unwrap_or(1);
    Plan {
        seed,
        prefix: prefix.to_owned(),
        mix: Mix::single("bulk", size, RUN_MS),
        arrivals: Arrivals::Closed {
            callers: (OPEN_TASKS / per_job).max(4),
        },
        jobs: (tasks / per_job).max(1),
        limit: JOB_LIMIT,
    }
}

fn count(tasks: u64) -> f64 {
    u32::try_from(tasks).map_or(f64::INFINITY, f64::from)
}
