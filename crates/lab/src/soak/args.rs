//! Command line of the soak.

use clap::Parser;

use super::plan::Mix;

/// Plays random faults against the real processes, one seed after another or several at a time.
#[derive(Debug, Clone, Parser)]
#[command(name = "knapweedwall-soak", version)]
pub struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,

    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,

    /// Seeds played at the same time.
    #[arg(long, default_value_t = 1)]
    pub parallel: usize,

    /// Entry processes.
    #[arg(long, default_value_t = 3)]
    pub entries: usize,

    /// Workers, each with an agent.
    #[arg(long, default_value_t = 8)]
    pub workers: usize,

    /// Callers, each with one job at a time.
    #[arg(long, default_value_t = 24)]
    pub callers: usize,

    /// Seconds in which faults begin.
    #[arg(long, default_value_t = 12)]
    pub seconds: u64,

    /// Which faults are played.
    #[arg(long, value_enum, default_value_t)]
    pub mix: Mix,

    /// Shows the plan of each seed.
    #[arg(long)]
    pub plan: bool,
}
