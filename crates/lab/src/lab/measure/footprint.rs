//! Usage of agents and entry processes by the number of agents, idle and at a steady load.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::super::args::MeasureArgs;
use super::super::error::{Result, UnsoundSnafu};
use super::meter::{Total, read};
use super::{JOB_LIMIT, checked, figure};
use crate::cluster::{AgentSpec, Cluster, Role, Spec};
use crate::load::{Arrivals, Mix, Plan};

/// Length of each window.
const WINDOW: Duration = Duration::from_secs(10);

/// Tasks a second for each agent at the steady load.
const TASKS_PER_AGENT: f64 = 4.0;

/// Tasks of a job.
const JOB_TASKS: u32 = 10;

/// Run time of a task in milliseconds.
const RUN_MS: (u64, u64) = (80, 120);

/// Agents that share one endpoint stand-in, to keep the number of processes small.
const SHARING: usize = 20;

/// Most agents, so that the scenario stays below 300 processes.
const MAX_AGENTS: usize = 250;

/// Rates of one window: the values of an agent and of an entry process.
#[derive(Debug, Clone, Copy)]
struct Window {
    agent: [f64; 3],
    entry: [f64; 3],
}

/// Names of the values of a window.
const NAMES: [&str; 3] = ["cpu_us_per_s", "resident_kb", "link_bytes_per_s"];

/// Runs the scenario for each number of agents.
///
/// # Errors
/// As [`super::run`].
pub(super) async fn run(args: &MeasureArgs) -> Result<()> {
    let mut idle = Vec::new();
    let mut steady = Vec::new();
    for &agents in &args.agents {
        if agents > MAX_AGENTS {
            return UnsoundSnafu {
                text: format!("found {agents} agents, allowed are {MAX_AGENTS}"),
            }
            .fail();
        }
        let spec = Spec {
            agents: vec![
                AgentSpec {
                    slots: 8,
                    speed: 1.0
                };
                agents
            ],
            sharing: SHARING,
            seed: args.seed,
            ..Spec::default()
        };
        let cluster = Cluster::open(&spec).await?;
        let window = window(&cluster, sleep_window()).await?;
        show(args.seed, agents, "idle", window);
        idle.push((agents, window));
        let window = self::window(&cluster, load(&cluster, args.seed, agents)).await?;
        show(args.seed, agents, "steady", window);
        steady.push((agents, window));
    }
    slopes(args.seed, "idle", &idle);
    slopes(args.seed, "steady", &steady);
    Ok(())
}

async fn sleep_window() -> Result<()> {
    sleep(WINDOW).await;
    Ok(())
}

async fn load(cluster: &Cluster, seed: u64, agents: usize) -> Result<()> {
    let agents = u32::try_from(agents).map_or(f64::INFINITY, f64::from);
    let rate = agents * TASKS_PER_AGENT / f64::from(JOB_TASKS);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is positive and small"
    )]
    let jobs = (rate * WINDOW.as_secs_f64()) as usize;
    let plan = Plan {
        seed,
        prefix: "steady".to_owned(),
        mix: Mix::single("console", JOB_TASKS, RUN_MS),
        arrivals: Arrivals::Open { rate },
        jobs: jobs.max(1),
        limit: JOB_LIMIT,
    };
    checked(cluster, &plan).await.map(|_| ())
}

async fn window(cluster: &Cluster, work: impl Future<Output = Result<()>>) -> Result<Window> {
    let before = (
        read(cluster, Role::Agent).await?,
        read(cluster, Role::Entry).await?,
    );
    let start = Instant::now();
    work.await?;
    let length = start.elapsed();
    let after = (
        read(cluster, Role::Agent).await?,
        read(cluster, Role::Entry).await?,
    );
    let values = |total: Total| {
        let resident = u32::try_from(total.resident_kb()).map_or(f64::INFINITY, f64::from);
        [total.cpu_rate(length), resident, total.byte_rate(length)]
    };
    Ok(Window {
        agent: values(after.0.since(before.0)),
        entry: values(after.1.since(before.1)),
    })
}

fn show(seed: u64, agents: usize, load: &str, window: Window) {
    for (process, values) in [("agent", window.agent), ("entry", window.entry)] {
        let mut pairs = vec![("agents", agents.to_string()), ("load", load.to_owned())];
        for (name, value) in NAMES.iter().zip(values) {
            pairs.push((name, format!("{value:.0}")));
        }
        figure("footprint", seed, process, &pairs);
    }
}

/// Prints the change of each value with one more agent, by least squares.
fn slopes(seed: u64, load: &str, windows: &[(usize, Window)]) {
    if windows.len() < 2 {
        return;
    }
    for process in ["agent", "entry"] {
        let mut pairs = vec![("load", load.to_owned())];
        for (index, name) in NAMES.iter().enumerate() {
            let point = |(agents, window): &(usize, Window)| {
                let values = if process == "agent" {
                    window.agent
                } else {
                    window.entry
                };
                (
                    u32::try_from(*agents).map_or(f64::INFINITY, f64::from),
                    values[index],
                )
            };
            let points: Vec<(f64, f64)> = windows.iter().map(point).collect();
            pairs.push((name, format!("{:.2}", slope(&points))));
        }
        figure(
            "footprint",
            seed,
            &format!("{process}_slope_per_agent"),
            &pairs,
        );
    }
}

fn slope(points: &[(f64, f64)]) -> f64 {
    let count = u32::try_from(points.len()).map_or(f64::INFINITY, f64::from);
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    covariance / variance
}
