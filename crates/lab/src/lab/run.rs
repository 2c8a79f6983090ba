//! Runs one command of the lab.

use std::process::ExitCode;

use super::args::{Args, Command};
use super::error::Result;
use super::{demo, measure, print};

/// Runs the command; the exit code is 1 when the run failed or broke a promise.
#[must_use]
pub fn run(args: &Args) -> ExitCode {
    match execute(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print::progress(format!("knapweedwall-lab: {error}"));
            ExitCode::FAILURE
        }
    }
}

fn execute(args: &Args) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match &args.command {
            Command::Demo(args) => demo::run(args).await,
            Command::Measure(args) => measure::run(args).await,
        }
    })
}
