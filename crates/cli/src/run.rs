//! Runs one command from its arguments to its exit code.

use std::io::{self, Write};
use std::process::ExitCode;

use crate::api::Client;
use crate::args::Args;
use crate::commands;
use crate::error::{Result, UsageSnafu};
use crate::output::Output;

/// Runs the command, prints its result or error and returns the exit code.
#[must_use]
pub fn run(args: &Args) -> ExitCode {
    match execute(args) {
        Ok(output) => {
            // A closed pipe (`knapweedctl status | head`) is no failure of the command.
            let _ = output.print(args.output);
            ExitCode::from(output.code)
        }
        Err(error) => {
            // Nothing is left to do when the standard error cannot be written.
            let _ = writeln!(io::stderr(), "knapweedctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn execute(args: &Args) -> Result<Output> {
    let client = Client {
        entries: &args.entry,
        operator: &args.operator,
        timeout: args.timeout,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.or_else(|e| {
        UsageSnafu {
            text: format!("runtime: {e}"),
        }
        .fail()
    })?;
    runtime.block_on(commands::run(&client, &args.command))
}
