//! Time from the SIGKILL of an entry process until the others serve its shards, under load.

use std::time::{Duration, Instant};

use super::super::args::MeasureArgs;
use super::super::error::{Result, UnsoundSnafu};
use super::{JOB_LIMIT, figure};
use crate::cluster::{AgentSpec, Cluster, READY_LIMIT, Role, Spec, eventually};
use crate::load::{Arrivals, Figures, Mix, Plan, run as run_load};

/// Kills, of each entry process in turn.
const ROUNDS: usize = 6;

/// Jobs during the rounds and jobs a second.
const LOAD: (usize, f64) = (1_200, 40.0);

/// Limit in milliseconds, detection included.
const LIMIT_MS: u32 = 3_000;

/// Runs the scenario.
///
/// # Errors
/// As [`super::run`], or when the shards are not served again.
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
    let mut cluster = Cluster::open(&spec).await?;
    let plan = Plan {
        seed: args.seed,
        prefix: "takeover".to_owned(),
        mix: Mix::single("console", 3, (20, 120)),
        arrivals: Arrivals::Open { rate: LOAD.1 },
        jobs: args.tasks.map_or(LOAD.0, |tasks| tasks / 3),
        limit: JOB_LIMIT,
    };
    let load = run_load(&plan, cluster.entries(), |_| ());
    let (records, times) = tokio::join!(load, rounds(&mut cluster));
    let mut times = times?;
    let figures = Figures::new(&records, &cluster.ledgers().await?);
    if !figures.sound() {
        return UnsoundSnafu {
            text: figures.faults(),
        }
        .fail();
    }
    times.sort_unstable();
    let at = |index: usize| {
        times
            .get(index)
            .map_or_else(String::new, |t| t.as_millis().to_string())
    };
    let complete: u64 = figures.classes.values().map(|class| class.complete).sum();
    let codes = figures
        .codes()
        .into_iter()
        .map(|(code, count)| format!("{code}:{count}"));
    let values = [
        ("rounds", times.len().to_string()),
        ("jobs", records.len().to_string()),
        ("complete", complete.to_string()),
        ("others", codes.collect::<Vec<_>>().join(",")),
        ("min", at(0)),
        ("median", at(times.len() / 2)),
        ("max", at(times.len().saturating_sub(1))),
        ("limit", LIMIT_MS.to_string()),
    ];
    figure("takeover", args.seed, "shards_served_again_ms", &values);
    Ok(())
}

async fn rounds(cluster: &mut Cluster) -> Result<Vec<Duration>> {
    let names: Vec<String> = cluster.names(Role::Entry).map(str::to_owned).collect();
    let mut times = Vec::new();
    for name in names.iter().cycle().take(ROUNDS) {
        let start = Instant::now();
        cluster.kill(name)?;
        let others = names.iter().filter(|other| *other != name);
        let others: Vec<&str> = others.map(String::as_str).collect();
        eventually("shards served again", READY_LIMIT, || {
            served(cluster, &others)
        })
        .await?;
        times.push(start.elapsed());
        cluster.restart(name)?;
        cluster.ready(READY_LIMIT).await?;
        cluster.served(READY_LIMIT).await?;
    }
    Ok(times)
}

async fn served(cluster: &Cluster, names: &[&str]) -> Result<(), String> {
    let (mut served, mut shards) = (0, 0);
    for name in names {
        let status = cluster.status(name).await.map_err(|e| e.to_string())?;
        served += status["shards_served"].as_u64().unwrap_or_default();
        shards = status["shards"].as_u64().unwrap_or_default();
    }
    if served == shards {
        return Ok(());
    }
    Err(format!("{served} of {shards} shards are served"))
}
