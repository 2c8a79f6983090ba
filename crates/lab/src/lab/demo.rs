//! Demonstration: the samples of both users on a small system of real processes.

use std::time::{Duration, Instant};

use super::args::DemoArgs;
use super::error::{Result, UnsoundSnafu};
use super::sample::{self, Sample};
use super::{print, table};
use crate::cluster::{AgentSpec, Cluster, Role, Spec};
use crate::load::{Arrivals, Figures, Plan, run as run_load};

/// Entry processes, one in each zone.
const ENTRIES: usize = 3;

/// Slots of each agent.
const SLOTS: u32 = 8;

/// Speeds of the ten endpoints: the fastest is 4 times as fast as the slowest.
const SPEEDS: [f64; 10] = [0.5, 0.5, 0.75, 0.75, 1.0, 1.0, 1.25, 1.5, 1.75, 2.0];

/// Time after which a job without an answer counts as lost.
const JOB_LIMIT: Duration = Duration::from_secs(90);

/// Time between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(2);

/// Runs the samples one after the other.
///
/// # Errors
/// When the system cannot be started or an answer breaks a promise.
pub(super) async fn run(args: &DemoArgs) -> Result<()> {
    let mut faults = String::new();
    for name in &args.sample {
        let sample = sample::load(&args.samples.join(name))?;
        faults += &one(name, &sample, args).await?;
    }
    if faults.is_empty() {
        print::line("\nEvery job was answered once, whole, and with its own results.");
        return Ok(());
    }
    UnsoundSnafu { text: faults }.fail()
}

async fn one(name: &str, sample: &Sample, args: &DemoArgs) -> Result<String> {
    let cluster = open(name, sample, args.seed).await?;
    let plan = Plan {
        seed: args.seed,
        prefix: name.to_owned(),
        mix: sample.load.mix.clone(),
        arrivals: Arrivals::Open {
            rate: sample.load.rate,
        },
        jobs: args.jobs.unwrap_or(sample.load.jobs),
        limit: JOB_LIMIT,
    };
    let start = Instant::now();
    let mut shown = start;
    let records = run_load(&plan, cluster.entries(), |ended| {
        if shown.elapsed() >= PROGRESS || ended == plan.jobs {
            shown = Instant::now();
            let seconds = start.elapsed().as_secs();
            print::progress(format!(
                "{name}: {seconds:3} s, {ended} of {} jobs answered",
                plan.jobs
            ));
        }
    })
    .await;
    let figures = Figures::new(&records, &cluster.ledgers().await?);
    report(&cluster, &figures).await?;
    let faults = figures
        .faults()
        .lines()
        .map(|l| format!("{name}: {l}\n"))
        .collect();
    Ok(faults)
}

/// Starts the system with the settings and classes of the sample.
async fn open(name: &str, sample: &Sample, seed: u64) -> Result<Cluster> {
    let agents = SPEEDS
        .map(|speed| AgentSpec {
            slots: SLOTS,
            speed,
        })
        .to_vec();
    print::line(format!(
        "\n{name}: {ENTRIES} entry processes in 3 zones, {} agents with {SLOTS} slots each, \
         endpoint speeds {} to {}",
        agents.len(),
        SPEEDS[0],
        SPEEDS[SPEEDS.len() - 1]
    ));
    let spec = Spec {
        entries: ENTRIES,
        agents,
        classes: sample.classes.clone(),
        entry: sample.entry.clone(),
        agent: sample.agent.clone(),
        seed,
        ..Spec::default()
    };
    Ok(Cluster::open(&spec).await?)
}

async fn report(cluster: &Cluster, figures: &Figures) -> Result<()> {
    print::line(table::answers(figures));
    print::line(format!(
        "lost {}, partial {}, mismatched {}, doubled {}, false \"not run\" {}, unknown {}, \
         repeated requests {}",
        figures.lost.len(),
        figures.partial.len(),
        figures.mismatched.len(),
        figures.doubled.len(),
        figures.false_refusals.len(),
        figures.unknown,
        figures.repeats
    ));
    let starts = cluster.starts().await?;
    let endpoints = cluster.names(Role::Endpoint).count();
    print::line(format!(
        "{} task starts at {endpoints} endpoints",
        starts.len()
    ));
    Ok(())
}
