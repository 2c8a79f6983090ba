//! Arguments.

use std::path::PathBuf;

use clap::{Args as Arguments, Parser, Subcommand, ValueEnum};

/// Starts the whole system on this machine and shows or measures what it does.
#[derive(Debug, Parser)]
#[command(name = "knapweedwall-lab", version)]
pub struct Args {
    #[command(subcommand)]
    pub(super) command: Command,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub(super) enum Command {
    /// Runs the samples of both users and checks every answer.
    Demo(DemoArgs),
    /// Measures one scenario; prints one line of key=value pairs for each figure.
    Measure(MeasureArgs),
}

/// Arguments of the demonstration.
#[derive(Debug, Arguments)]
pub(super) struct DemoArgs {
    /// Samples to run.
    #[arg(long, value_delimiter = ',', default_value = "grainline,windawa")]
    pub(super) sample: Vec<String>,
    /// Folder of the samples.
    #[arg(long, default_value = "samples")]
    pub(super) samples: PathBuf,
    /// Seed of jobs, arrivals and stand-ins.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Number of jobs instead of the sample's.
    #[arg(long)]
    pub(super) jobs: Option<usize>,
}

/// Arguments of a measurement.
#[derive(Debug, Clone, Arguments)]
pub(super) struct MeasureArgs {
    /// What to measure.
    #[arg(value_enum)]
    pub(super) scenario: Scenario,
    /// Seed of jobs, arrivals and stand-ins.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Tasks of each part of the scenario instead of its own number.
    #[arg(long)]
    pub(super) tasks: Option<usize>,
    /// Numbers of agents (scenario footprint).
    #[arg(long, value_delimiter = ',', default_value = "10,50,100,200")]
    pub(super) agents: Vec<usize>,
}

/// Scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(super) enum Scenario {
    /// Response time beyond the task's run time on an idle system, and the store's write time.
    Idle,
    /// Processor time per task of entry processes and agents, jobs of 1, 10 and 500 tasks.
    Cost,
    /// Frames between the system's processes per task at a steady load.
    Frames,
    /// Processor time, memory and control bytes of agents and entry processes by number of agents.
    Footprint,
    /// Time from the kill of an entry process until the others serve its shards.
    Takeover,
}
