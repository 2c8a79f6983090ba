//! Frames between the system's processes per task at a steady load.

use std::collections::BTreeMap;

use super::super::args::MeasureArgs;
use super::super::error::Result;
use super::{JOB_LIMIT, checked, figure};
use crate::cluster::{AgentSpec, Cluster, Role, Spec};
use crate::load::{Arrivals, Mix, Plan};

/// Jobs of the measurement, of `JOB_TASKS` tasks each.
const JOBS: usize = 1_500;

/// Tasks of a job.
const JOB_TASKS: u32 = 5;

/// Run time of a task in milliseconds.
const RUN_MS: (u64, u64) = (20, 80);

/// Jobs a second: 6 agents with 8 slots at 50 ms a task have room for 192 jobs; this is 60%.
const RATE: f64 = 115.0;

/// Limit of frames per task.
const LIMIT: f64 = 2.5;

/// Runs the scenario.
///
/// # Errors
/// As [`super::run`].
pub(super) async fn run(args: &MeasureArgs) -> Result<()> {
    let spec = Spec {
        agents: vec![
            AgentSpec {
                slots: 8,
                speed: 1.0
            };
            6
        ],
        seed: args.seed,
        ..Spec::default()
    };
    let cluster = Cluster::open(&spec).await?;
    let plan = |prefix: &str, jobs| Plan {
        seed: args.seed,
        prefix: prefix.to_owned(),
        mix: Mix::single("console", JOB_TASKS, RUN_MS),
        arrivals: Arrivals::Open { rate: RATE },
        jobs,
        limit: JOB_LIMIT,
    };
    checked(&cluster, &plan("warm", JOBS / 10)).await?;
    let before = sent(&cluster).await?;
    let jobs = args.tasks.map_or(JOBS, |tasks| tasks / 5);
    let (_, tasks) = checked(&cluster, &plan("frames", jobs)).await?;
    let after = sent(&cluster).await?;
    let tasks = u32::try_from(tasks).map_or(f64::INFINITY, f64::from);
    let mut total = 0.0;
    let mut kinds = Vec::new();
    for (kind, count) in &after {
        let frames = (count - before.get(kind).copied().unwrap_or_default()) / tasks;
        total += frames;
        kinds.push((kind.as_str(), format!("{frames:.4}")));
    }
    kinds.retain(|(_, value)| value != "0.0000");
    let values = [
        ("tasks", format!("{tasks}")),
        ("value", format!("{total:.3}")),
        ("limit", LIMIT.to_string()),
    ];
    figure("frames", args.seed, "frames_per_task", &values);
    figure("frames", args.seed, "frames_per_task_by_kind", &kinds);
    Ok(())
}

/// Frames sent so far by entry processes and agents, by kind.
async fn sent(cluster: &Cluster) -> Result<BTreeMap<String, f64>> {
    let mut kinds = BTreeMap::new();
    for role in [Role::Entry, Role::Agent] {
        for name in cluster.names(role) {
            for sample in cluster.metrics(name).await? {
                let counts = sample.name.ends_with("link_frames_total");
                if !counts || !sample.labels.contains("direction=\"out\"") {
                    continue;
                }
                let kind = sample.labels.split("kind=\"").nth(1).unwrap_or_default();
                let kind = kind.split('"').next().unwrap_or_default();
                *kinds.entry(kind.to_owned()).or_insert(0.0) += sample.value;
            }
        }
    }
    Ok(kinds)
}
