//! Command line.

use std::io::Write;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use knapweedwall_runtime::{log, settings, signals};
use snafu::ResultExt;

use crate::Settings;
use crate::process::{OutputSnafu, Process, Result, SettingsSnafu, SignalsSnafu};

/// Runs tasks on the endpoint beside it on behalf of entry processes.
#[derive(Debug, Parser)]
#[command(name = "knapweedwall-agent", version)]
pub struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the agent until SIGTERM or SIGINT; a second signal ends it at once
    Run(File),
    /// Checks a settings file
    Check(File),
}

#[derive(Debug, Args)]
struct File {
    /// YAML file with the settings
    #[arg(long)]
    settings: PathBuf,
}

/// Carries out a command line.
///
/// # Errors
/// [`Error`](crate::Error) when the settings are wrong or the process cannot be started.
pub fn run(options: Options) -> Result<()> {
    match options.command {
        Command::Run(file) => serve(&load(&file)?),
        Command::Check(file) => {
            load(&file)?;
            let mut out = std::io::stdout();
            writeln!(out, "{}: ok", file.settings.display()).context(OutputSnafu)
        }
    }
}

fn load(file: &File) -> Result<Settings> {
    settings::load(&file.settings).context(SettingsSnafu)
}

fn serve(settings: &Settings) -> Result<()> {
    let (log, _flushed_at_exit) = log::open(settings.log, "agent");
    let process = Process::open(settings, log)?;
    let stopper = process.stopper();
    signals::spawn_stop_handler(move || stopper.stop()).context(SignalsSnafu)?;
    process.join()
}
