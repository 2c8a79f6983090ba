//! Command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Parser, Subcommand};
use knapweedwall_core::entry::{Machine, Metrics};
use knapweedwall_platform::HttpPlatform;
use knapweedwall_runtime::{log, settings, signals};
use snafu::ResultExt;

use crate::error::{Result, SettingsSnafu, SystemSnafu};
use crate::events;
use crate::process::{Components, Process};
use crate::settings::Settings;

/// Entry process of knapweedwall: takes jobs over HTTP, dispatches their tasks to agents and
/// answers with all results or none.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example:
  knapweedwall-entry check --settings entry.yaml
  knapweedwall-entry run --settings entry.yaml

The log goes to standard error. SIGTERM or SIGINT starts a graceful stop: nothing new is accepted, \
and open jobs are handed over or completed. A second SIGINT ends the process at once."
)]
pub struct Args {
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs the process until it receives a stop signal.
    Run {
        /// YAML file; crates/entry/samples/entry.yaml describes each field.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Validates a settings file and lists its errors; exits with code 1 if there are any.
    Check {
        /// YAML file; crates/entry/samples/entry.yaml describes each field.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
}

/// Runs the command and returns its exit code.
#[must_use]
pub fn run(args: Args) -> ExitCode {
    let result = match args.command {
        Command::Check { settings } => check(settings),
        Command::Run { settings } => serve(settings),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::FAILURE
        }
    }
}

#[expect(clippy::print_stderr, reason = "the log may not be open")]
fn print_error(error: &crate::Error) {
    eprintln!("knapweedwall-entry: {error}");
}

#[expect(clippy::print_stdout, reason = "output of the command")]
fn check(path: PathBuf) -> Result<()> {
    let settings: Settings = settings::load(&path).context(SettingsSnafu)?;
    println!(
        "{}: settings of {} are valid",
        path.display(),
        settings.name
    );
    Ok(())
}

fn serve(path: PathBuf) -> Result<()> {
    let settings: Settings = settings::load(&path).context(SettingsSnafu)?;
    let (log, flush_guard) = log::open(settings.log, &settings.name);
    let platform = HttpPlatform::new(settings.store.address, settings.store.timeout);
    let decision_settings = settings.clone();
    let components = Components {
        decisions: Box::new(move |identity, registry| {
            let metrics = Metrics::default();
            metrics.register(registry);
            Box::new(Machine::new(decision_settings.decisions(identity), metrics))
        }),
        platform: Arc::new(platform),
        log: log.clone(),
    };
    let process = Process::start(&settings, components)?;
    let stopper = process.stopper();
    let signal_log = log.clone();
    signals::spawn_stop_handler(move || {
        log::event(&signal_log, &events::stop_requested());
        stopper.stop();
    })
    .context(SystemSnafu {
        what: "signal handlers",
    })?;
    // Logged after the handlers are installed: a reader of this event may send a signal at once.
    log::event(&log, &events::started(process.addresses()));
    process.join()?;
    log::event(&log, &events::ended());
    drop(flush_guard);
    Ok(())
}
