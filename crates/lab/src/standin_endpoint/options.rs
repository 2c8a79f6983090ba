//! Command line of the endpoint.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;

use super::{Settings, Speed};
use crate::process::{self, SettingsError};

/// Stand-in for an endpoint that runs tasks.
#[derive(Debug, Default, Parser)]
#[command(name = "standin-endpoint")]
pub struct Options {
    /// YAML file with settings; options on the command line take precedence
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Address for tasks, the ledger and the control API [default: 127.0.0.1:0]
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Address for the ledger and the control API that is never refused [default: 127.0.0.1:0]
    #[arg(long)]
    control: Option<SocketAddr>,
    /// Requests that may run at once [default: 8]
    #[arg(long)]
    slots: Option<u32>,
    /// Seed of the random numbers [default: 0]
    #[arg(long)]
    seed: Option<u64>,
    /// Speed; run times are divided by it [default: 1]
    #[arg(long)]
    speed: Option<Speed>,
    /// Run time of tasks whose payload names none [default: 10ms]
    #[arg(long, value_parser = humantime::parse_duration)]
    run_time: Option<Duration>,
}

impl Options {
    /// Settings of the file, if one is named, with these options in place of the file's.
    ///
    /// # Errors
    /// [`SettingsError`] when the file cannot be read or is malformed.
    pub fn resolve(self) -> Result<Settings, SettingsError> {
        let mut settings: Settings = process::load(self.settings.as_deref())?;
        process::replace(&mut settings.controls.speed, self.speed);
        process::replace(&mut settings.controls.run_time, self.run_time);
        process::replace(&mut settings.listen, self.listen);
        process::replace(&mut settings.control, self.control);
        process::replace(&mut settings.slots, self.slots);
        process::replace(&mut settings.seed, self.seed);
        Ok(settings)
    }
}
