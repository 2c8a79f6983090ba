//! Settings of an agent.

use std::time::Duration;

use garde::Validate;
use knapweedwall_runtime::links::Limits;
use knapweedwall_runtime::log;
use knapweedwall_runtime::settings::{duration_within, process_name, socket_address};
use serde::Deserialize;
use smol_str::SmolStr;

/// Upper bound of [`Settings::stop_limit`].
const MAX_STOP_LIMIT: Duration = Duration::from_hours(1);

/// Settings of an agent, read from a YAML file.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the worker, unique among agents.
    #[garde(custom(process_name))]
    pub name: SmolStr,
    /// Zone of the worker.
    #[garde(custom(process_name))]
    pub zone: SmolStr,
    /// IP address and port of the endpoint.
    #[garde(custom(socket_address))]
    pub endpoint: SmolStr,
    /// Maximum number of tasks that the endpoint runs concurrently.
    #[garde(range(min = 1, max = 1024))]
    pub slots: u32,
    /// IP addresses and ports of the frame listeners of one or more entry processes. The agent
    /// learns the addresses of the other entry processes from these.
    #[garde(length(min = 1, max = 64), inner(custom(socket_address)))]
    pub seeds: Vec<SmolStr>,
    /// IP address and port of the admin listener, which serves health, readiness and metrics.
    #[garde(custom(socket_address))]
    pub admin: SmolStr,
    /// Longest time between SIGTERM and the exit.
    #[serde(default = "default_stop_limit", with = "humantime_serde")]
    #[garde(custom(duration_within(Duration::ZERO, MAX_STOP_LIMIT)))]
    pub stop_limit: Duration,
    /// Format and level of the log.
    #[serde(default)]
    #[garde(dive)]
    pub log: log::Settings,
    /// Limits of the links to entry processes.
    #[serde(default)]
    #[garde(dive)]
    pub links: Limits,
}

fn default_stop_limit() -> Duration {
    Duration::from_secs(30)
}
