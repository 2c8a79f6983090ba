//! Added response time on an idle system against the store's write time in the same run.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use hyper::Method;
use knapweedwall_core::JobId;
use serde_json::{Value, json};
use smol_str::SmolStr;

use super::super::args::MeasureArgs;
use super::super::error::{Error, Result};
use super::{JOB_LIMIT, checked, figure};
use crate::cluster::{AgentSpec, Cluster, Spec};
use crate::load::{Arrivals, Mix, Plan, Record};
use crate::standin_endpoint::Start;

/// Jobs before the measurement: connections are made, speeds are learned.
const WARM_UP_JOBS: usize = 50;

/// Jobs of the measurement.
const JOBS: usize = 500;

/// Run time of a task in milliseconds.
const RUN_MS: (u64, u64) = (20, 60);

/// Longest time that is told apart: one minute.
const MAX_US: u64 = 60_000_000;

/// Limit of the added time at p50 beyond one store write, in microseconds.
const LIMIT_US: i64 = 1_000;

/// Runs the scenario: one caller, one task at a time.
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
            4
        ],
        seed: args.seed,
        ..Spec::default()
    };
    let cluster = Cluster::open(&spec).await?;
    let plan = |prefix: &str, jobs| Plan {
        seed: args.seed,
        prefix: prefix.to_owned(),
        mix: Mix::single("console", 1, RUN_MS),
        arrivals: Arrivals::Closed { callers: 1 },
        jobs,
        limit: JOB_LIMIT,
    };
    checked(&cluster, &plan("warm", WARM_UP_JOBS)).await?;
    let store = cluster.node("store")?.admin();
    cluster
        .call(
            Method::POST,
            &format!("{store}/control/stats/reset"),
            &json!({}),
        )
        .await?;
    let jobs = args.tasks.unwrap_or(JOBS);
    let (records, _) = checked(&cluster, &plan("idle", jobs)).await?;
    let stats = cluster
        .call(Method::GET, &format!("{store}/control/stats"), &Value::Null)
        .await?;
    let added = added(&records, &cluster.starts().await?)?;
    report(args.seed, jobs, &added, &stats["latency"]);
    Ok(())
}

/// Response time beyond the run time that the endpoint recorded, in microseconds.
fn added(records: &[Record], starts: &[Start]) -> Result<Histogram<u64>> {
    let mut runs: HashMap<SmolStr, u64> = HashMap::new();
    for start in starts {
        let ended = start.ended.unwrap_or(start.started);
        runs.insert(start.job.clone(), ended.saturating_sub(start.started));
    }
    let unsound = |text: String| Error::Unsound { text };
    let mut added = Histogram::new_with_max(MAX_US, 3).map_err(|e| unsound(e.to_string()))?;
    for record in records {
        let key = JobId::parse(&record.id)
            .map_err(|e| unsound(e.to_string()))?
            .key()
            .to_string();
        let run = runs.get(key.as_str()).copied();
        let run = run.ok_or_else(|| unsound(format!("{} is in no ledger", record.id)))?;
        let time = u64::try_from(record.time.as_micros()).unwrap_or(u64::MAX);
        added.saturating_record(time.saturating_sub(run));
    }
    Ok(added)
}

fn report(seed: u64, jobs: usize, added: &Histogram<u64>, write: &Value) {
    let quantiles = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)];
    let jobs = ("jobs", jobs.to_string());
    let mut values = vec![jobs.clone()];
    let mut beyond = vec![jobs.clone()];
    let mut writes = vec![("writes", write["count"].to_string())];
    for (name, quantile) in quantiles {
        let value = added.value_at_quantile(quantile);
        let store = write[name].as_i64().unwrap_or_default();
        values.push((name, value.to_string()));
        writes.push((name, store.to_string()));
        beyond.push((
            name,
            (i64::try_from(value).unwrap_or(i64::MAX) - store).to_string(),
        ));
    }
    beyond.push(("limit_p50", LIMIT_US.to_string()));
    figure("idle", seed, "added_us", &values);
    figure("idle", seed, "store_write_us", &writes);
    figure("idle", seed, "added_beyond_write_us", &beyond);
}
