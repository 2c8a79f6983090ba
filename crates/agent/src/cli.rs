//! Command-line interface.

use std::io::Write;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use knapweedwall_runtime::{log, settings, signals};
use snafu::ResultExt;

use crate::Settings;
use crate::process::{OutputSnafu, Process, Result, SettingsSnafu, SignalsSnafu};

/// Runs tasks on the endpoint of this host on behalf of entry processes.
#[derive(Debug, Parser)]
#[command(name = "knapweedwall-agent", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the agent until SIGTERM or SIGINT; a second SIGINT terminates it immediately
    Run(SettingsArgs),
    /// Validates a settings file
    Check(SettingsArgs),
}

#[derive(Debug, Args)]
struct SettingsArgs {
    /// YAML file with the settings
    #[arg(long = "settings", value_name = "SETTINGS")]
    path: PathBuf,
}

/// Executes the command given on the command line.
///
/// # Errors
/// [`Error`](crate::Error) when the settings are invalid or the process cannot be started.
pub fn run(cli: Cli) -> Result<()> {
    match cli.command {
        Command::Run(args) => run_agent(&load_settings(&args)?),
        Command::Check(args) => {
            load_settings(&args)?;
            let mut out = std::io::stdout();
            writeln!(out, "{}: ok", args.path.display()).context(OutputSnafu)
        }
    }
}

fn load_settings(args: &SettingsArgs) -> Result<Settings> {
    settings::load(&args.path).context(SettingsSnafu)
}

fn run_agent(settings: &Settings) -> Result<()> {
    let (log, _flush_guard) = log::open(settings.log, "agent");
    let process = Process::start(settings, log)?;
    let stop_handle = process.stop_handle();
    signals::spawn_stop_handler(move || stop_handle.stop()).context(SignalsSnafu)?;
    process.join()
}
