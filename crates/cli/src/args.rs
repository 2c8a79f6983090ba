//! Arguments and the help text.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args as Arguments, Parser, Subcommand, ValueEnum};
use knapweedwall_core::JobId;
use knapweedwall_core::config::{Change, Document, Team};

use crate::api::Address;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused by the system, or the job has failed
  2  wrong usage: an argument or a file is wrong, nothing was sent
  3  conflict: another operator changed the configuration first
  4  not reachable: nothing was sent
  5  outcome unknown: the request was sent and its effect is not known (yet)

Examples:
  export KNAPWEEDWALL_ENTRY=http://10.0.0.1:8080,http://10.0.0.2:8080
  knapweedctl status
  knapweedctl class set console --target 250ms
  knapweedctl config apply classes.yaml --yes
  knapweedctl job submit job.json";

/// Sets classes and team quotas, shows the state of the system, submits and cancels jobs.
#[derive(Debug, Parser)]
#[command(name = "knapweedctl", version, after_help = EXIT_CODES)]
pub struct Args {
    /// Address of an entry process, as http://HOST:PORT; several are tried in turn while
    /// connections are refused. Separate them by commas or repeat the option.
    #[arg(
        long,
        global = true,
        env = "KNAPWEEDWALL_ENTRY",
        value_name = "URL",
        value_delimiter = ',',
        default_value = "http://127.0.0.1:8080"
    )]
    pub(crate) entry: Vec<Address>,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t = Form::Table)]
    pub(crate) output: Form,
    /// Your name for the audit trail.
    #[arg(
        long = "as",
        global = true,
        env = "USER",
        value_name = "NAME",
        default_value = "unnamed"
    )]
    pub(crate) operator: String,
    /// Longest time for a connection, and for a reply beyond what a job command waits for.
    #[arg(long, global = true, value_name = "TIME", default_value = "10s", value_parser = humantime::parse_duration)]
    pub(crate) timeout: Duration,
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Form {
    /// Aligned columns for people.
    Table,
    /// The reply as JSON for programs.
    Json,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Classes of work and the response time each is to be answered within.
    #[command(subcommand)]
    Class(ClassCommand),
    /// Teams and the slots each may use while others wait.
    #[command(subcommand)]
    Team(TeamCommand),
    /// Shows processes, shards, workers and queues as one entry process sees them.
    Status,
    /// Shows the newest changes of the configuration, newest first.
    History {
        /// Most changes to show.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// The whole configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Jobs.
    #[command(subcommand)]
    Job(JobCommand),
}

/// Commands on classes.
#[derive(Debug, Subcommand)]
pub(crate) enum ClassCommand {
    /// Lists all classes.
    List,
    /// Shows one class.
    Show {
        /// Name of the class.
        #[arg(value_parser = name)]
        name: String,
    },
    /// Creates a class or sets its target.
    Set {
        /// Name of the class: 1 to 64 characters of a-z 0-9 - _
        #[arg(value_parser = name)]
        name: String,
        /// Response time, 10ms to 24h.
        #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
        target: Duration,
        #[command(flatten)]
        guard: Guard,
    },
    /// Deletes a class. Its admitted jobs go on, new ones are refused.
    Delete {
        /// Name of the class.
        #[arg(value_parser = name)]
        name: String,
        #[command(flatten)]
        guard: Guard,
    },
}

/// Commands on teams.
#[derive(Debug, Subcommand)]
pub(crate) enum TeamCommand {
    /// Lists all teams.
    List,
    /// Shows one team.
    Show {
        /// Name of the team.
        #[arg(value_parser = name)]
        name: String,
    },
    /// Creates a team or sets its quota.
    Set {
        /// Name of the team: 1 to 64 characters of a-z 0-9 - _
        #[arg(value_parser = name)]
        name: String,
        /// Slots that the team may use while others wait, 1 to 1000000.
        #[arg(long)]
        slots: u32,
        #[command(flatten)]
        guard: Guard,
    },
    /// Deletes the quota of a team.
    Delete {
        /// Name of the team.
        #[arg(value_parser = name)]
        name: String,
        #[command(flatten)]
        guard: Guard,
    },
}

/// Protection against a change by somebody else.
#[derive(Debug, Clone, Copy, Arguments)]
pub(crate) struct Guard {
    /// Makes the change only while the configuration has this version.
    #[arg(long, value_name = "N")]
    pub(crate) if_version: Option<u64>,
}

/// Commands on the whole configuration.
#[derive(Debug, Subcommand)]
pub(crate) enum ConfigCommand {
    /// Shows all classes and teams.
    Show,
    /// Makes classes and teams equal to a YAML file. Shows the difference first.
    Apply {
        /// YAML file with `classes: {NAME: {target: 250ms}}` and `teams: {NAME: {slots: 8}}`.
        file: PathBuf,
        /// Makes the change; without it only the difference is shown.
        #[arg(long)]
        yes: bool,
    },
}

/// Commands on jobs.
#[derive(Debug, Subcommand)]
pub(crate) enum JobCommand {
    /// Submits a job and waits for its answer. Submitting the same id again starts nothing twice.
    Submit {
        /// JSON file with `id`, `class` and `tasks`, or `-` for the standard input.
        file: PathBuf,
        #[command(flatten)]
        wait: Wait,
    },
    /// Shows the state or answer of a job.
    Show {
        /// Id of the job.
        #[arg(value_parser = job_id)]
        id: String,
        /// How long to wait for the answer.
        #[arg(long, value_name = "TIME", default_value = "0s", value_parser = humantime::parse_duration)]
        wait: Duration,
    },
    /// Cancels a job and shows how it ended.
    Cancel {
        /// Id of the job.
        #[arg(value_parser = job_id)]
        id: String,
        #[command(flatten)]
        wait: Wait,
    },
}

/// How long to wait for an answer.
#[derive(Debug, Clone, Copy, Arguments)]
pub(crate) struct Wait {
    /// How long to wait for the answer.
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = humantime::parse_duration)]
    pub(crate) wait: Duration,
}

fn name(text: &str) -> Result<String, String> {
    // Teams and classes have the same rule for names; the document's own check decides.
    let change = Change::SetTeam(text.into(), Team { slots: 1 });
    let checked = Document::default().apply(&change);
    let allowed = |_| "allowed is 1 to 64 characters of a-z 0-9 - _".to_owned();
    checked.map(|_| text.to_owned()).map_err(allowed)
}

fn job_id(text: &str) -> Result<String, String> {
    let parsed = JobId::parse(text).map_err(|e| e.to_string());
    parsed.map(|id| id.as_str().to_owned())
}
