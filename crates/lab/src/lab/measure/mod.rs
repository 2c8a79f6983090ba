//! Measurements. Each prints one line of `key=value` pairs for each figure.

mod cost;
mod footprint;
mod frames;
mod idle;
mod meter;
mod takeover;

use std::fmt::Write as _;
use std::time::Duration;

use super::args::{MeasureArgs, Scenario};
use super::error::{Result, UnsoundSnafu};
use super::print;
use crate::cluster::Cluster;
use crate::load::{Figures, Plan, Record, run as run_load};

/// Time after which a job without an answer counts as lost.
const JOB_LIMIT: Duration = Duration::from_secs(60);

/// Runs one scenario.
///
/// # Errors
/// When the system cannot be started or an answer breaks a promise.
pub(super) async fn run(args: &MeasureArgs) -> Result<()> {
    match args.scenario {
        Scenario::Idle => idle::run(args).await,
        Scenario::Cost => cost::run(args).await,
        Scenario::Frames => frames::run(args).await,
        Scenario::Footprint => footprint::run(args).await,
        Scenario::Takeover => takeover::run(args).await,
    }
}

/// Prints a figure with its values.
fn figure(scenario: &str, seed: u64, name: &str, values: &[(&str, String)]) {
    let mut line = format!("scenario={scenario} seed={seed} figure={name}");
    for (key, value) in values {
        let _ = write!(line, " {key}={value}");
    }
    print::line(line);
}

/// Generates a load and checks its answers: a figure of a run with wrong answers is none.
async fn checked(cluster: &Cluster, plan: &Plan) -> Result<(Vec<Record>, u64)> {
    cluster.clear_ledgers().await?;
    let records = run_load(plan, cluster.entries(), |_| ()).await;
    let ledgers = cluster.ledgers().await?;
    let figures = Figures::new(&records, &ledgers);
    let complete: u64 = figures.classes.values().map(|class| class.complete).sum();
    let total = u64::try_from(records.len()).unwrap_or(u64::MAX);
    if figures.sound() && complete == total {
        return Ok((records, ledgers.total()));
    }
    let faults = figures.faults();
    let codes = figures.codes();
    let text = format!("{complete} of {total} jobs complete, others: {codes:?}\n{faults}");
    UnsoundSnafu { text }.fail()
}
