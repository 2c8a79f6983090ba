//! Command line of the store.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;

use super::Settings;
use crate::process::{self, SettingsError};

/// Stand-in for the platform's table service and object store.
#[derive(Debug, Default, Parser)]
#[command(name = "standin-store")]
pub struct Options {
    /// YAML file with settings; options on the command line take precedence
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Address for the platform's protocol [default: 127.0.0.1:0]
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Address for the control API that outages do not affect [default: 127.0.0.1:0]
    #[arg(long)]
    control: Option<SocketAddr>,
    /// Seed of the random numbers [default: 0]
    #[arg(long)]
    seed: Option<u64>,
    /// Time that a write takes [default: 5ms]
    #[arg(long, value_parser = humantime::parse_duration)]
    write_time: Option<Duration>,
    /// Time that a read takes [default: 1ms]
    #[arg(long, value_parser = humantime::parse_duration)]
    read_time: Option<Duration>,
    /// Writes per second [default: 300]
    #[arg(long)]
    write_rate: Option<u32>,
    /// Reads per second [default: 2000]
    #[arg(long)]
    read_rate: Option<u32>,
}

impl Options {
    /// Settings of the file, if one is named, with these options in place of the file's.
    ///
    /// # Errors
    /// [`SettingsError`] when the file cannot be read or is malformed.
    pub fn resolve(self) -> Result<Settings, SettingsError> {
        let mut settings: Settings = process::load(self.settings.as_deref())?;
        let controls = &mut settings.controls;
        process::replace(&mut controls.write_time, self.write_time);
        process::replace(&mut controls.read_time, self.read_time);
        process::replace(&mut controls.write_rate, self.write_rate);
        process::replace(&mut controls.read_rate, self.read_rate);
        process::replace(&mut settings.listen, self.listen);
        process::replace(&mut settings.control, self.control);
        process::replace(&mut settings.seed, self.seed);
        Ok(settings)
    }
}
