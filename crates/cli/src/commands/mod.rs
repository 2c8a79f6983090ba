//! Commands.

mod change;
mod config;
mod job;
mod show;

use crate::api::Client;
use crate::args::Command;
use crate::error::Result;
use crate::output::Output;

/// Runs one command.
pub(crate) async fn run(client: &Client<'_>, command: &Command) -> Result<Output> {
    match command {
        Command::Class(command) => config::class(client, command).await,
        Command::Team(command) => config::team(client, command).await,
        Command::Config(command) => config::config(client, command).await,
        Command::Status => show::status(client).await,
        Command::History { limit } => show::history(client, *limit).await,
        Command::Job(command) => job::run(client, command).await,
    }
}
