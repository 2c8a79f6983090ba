//! Executable of the agent.

use clap::Parser;
use knapweedwall_agent::{Cli, Result, run};

#[snafu::report]
fn main() -> Result<()> {
    run(Cli::parse())
}
