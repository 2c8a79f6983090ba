//! Settings of an entry process.

use std::net::SocketAddr;
use std::time::Duration;

use garde::Validate;
use knapweedwall_core::entry;
use knapweedwall_core::{Instance, dispatch};
use knapweedwall_runtime::settings::{
    duration_within, number_within, process_name, size_within, socket_address,
};
use knapweedwall_runtime::{ByteSize, links, log};
use serde::Deserialize;
use smol_str::SmolStr;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);
const DAY: Duration = Duration::from_hours(24);

/// Settings of an entry process, read from its YAML file.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, unique among entry processes.
    #[garde(custom(process_name))]
    pub name: SmolStr,
    /// Zone of the host.
    #[garde(custom(process_name))]
    pub zone: SmolStr,
    /// API for callers and operators.
    #[garde(dive)]
    pub http: Http,
    /// Links to agents and other entry processes.
    #[garde(dive)]
    pub frames: Frames,
    /// Health, readiness and metrics.
    #[garde(dive)]
    pub admin: Admin,
    /// The platform's table service and object store.
    #[garde(dive)]
    pub store: Store,
    /// Timeouts, rates and limits of the decisions.
    #[serde(default)]
    #[garde(dive)]
    pub decisions: Decisions,
    /// Format and level of the log.
    #[serde(default)]
    #[garde(dive)]
    pub log: log::Settings,
}

/// Settings of the API for callers and operators.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Http {
    /// Address of the listener.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Maximum number of open connections; further ones wait in the listener's backlog.
    #[serde(default = "default_connections")]
    #[garde(custom(number_within(1, 65_536)))]
    pub connections: usize,
    /// Concurrent requests on one HTTP/2 connection.
    #[serde(default = "default_streams")]
    #[garde(custom(number_within(1, 4_096)))]
    pub streams: u32,
    /// Timeout from a response to the complete headers of the next request, and for the client to
    /// read a response.
    #[serde(default = "default_idle", with = "humantime_serde")]
    #[garde(custom(duration_within(SECOND, 10 * MINUTE)))]
    pub idle: Duration,
    /// Timeout for receiving the complete body of a request.
    #[serde(default = "default_body_time", with = "humantime_serde")]
    #[garde(custom(duration_within(SECOND, MINUTE)))]
    pub body_time: Duration,
    /// Bytes of unread responses buffered for one connection.
    #[serde(default = "default_unread")]
    #[garde(custom(size_within(64 << 10, 1 << 30)))]
    pub unread: ByteSize,
}

/// Settings of the links.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Frames {
    /// Address of the listener.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Address at which agents and other entry processes reach the listener; the listener's own
    /// address if not given.
    #[serde(default)]
    #[garde(inner(custom(socket_address)))]
    pub address: Option<SmolStr>,
    /// Frame addresses of entry processes to connect to; may contain this one.
    #[serde(default)]
    #[garde(length(max = 1_024), inner(custom(socket_address)))]
    pub seeds: Vec<SmolStr>,
    /// Connection and queue limits.
    #[serde(default)]
    #[garde(dive)]
    pub limits: links::Limits,
}

/// Settings of the admin listener.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Address of the listener.
    #[garde(skip)]
    pub listen: SocketAddr,
}

/// Settings of the store.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the platform's table service and object store.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Timeout of a call.
    #[serde(default = "default_call_time", with = "humantime_serde")]
    #[garde(custom(duration_within(Duration::from_millis(50), MINUTE)))]
    pub timeout: Duration,
    /// Concurrent calls; further ones wait.
    #[serde(default = "default_calls")]
    #[garde(custom(number_within(1, 256)))]
    pub calls: usize,
}

/// Timeouts, rates and limits of the decisions; the design page explains their effects.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Decisions {
    /// Number of shards of a new system; an existing system keeps its number.
    #[garde(custom(number_within(1, 4_096)))]
    pub shards: u32,
    /// Journal writes per second, summed over all entry processes.
    #[garde(custom(number_within(1, 100_000)))]
    pub write_rate: u32,
    /// How long the id of an ended job is kept if its caller gave no `expires`.
    #[serde(with = "humantime_serde")]
    #[garde(custom(duration_within(MINUTE, 30 * DAY)))]
    pub id_retention: Duration,
    /// How long an undelivered answer is kept.
    #[serde(with = "humantime_serde")]
    #[garde(custom(duration_within(SECOND, DAY)))]
    pub answer_hold: Duration,
    /// How long an answer is kept after its first delivery.
    #[serde(with = "humantime_serde")]
    #[garde(custom(duration_within(SECOND, DAY)))]
    pub delivered_hold: Duration,
    /// How long the tasks of an unresponsive agent stay open.
    #[serde(with = "humantime_serde")]
    #[garde(custom(duration_within(SECOND, 10 * MINUTE)))]
    pub doubt_timeout: Duration,
    /// How long a graceful stop waits for jobs that no other entry process can take over.
    #[serde(with = "humantime_serde")]
    #[garde(custom(duration_within(SECOND, 60 * MINUTE)))]
    pub stop_limit: Duration,
    /// Time limit for the start of a job's first task.
    #[serde(with = "humantime_serde")]
    #[garde(custom(duration_within(SECOND, DAY)))]
    pub start_limit: Duration,
    /// Maximum run time of a task.
    #[serde(with = "humantime_serde")]
    #[garde(custom(duration_within(SECOND, DAY)))]
    pub run_limit: Duration,
    /// How long a request waits for an unreachable owner of its shard.
    #[serde(with = "humantime_serde")]
    #[garde(custom(duration_within(SECOND, MINUTE)))]
    pub route_limit: Duration,
}

impl Default for Decisions {
    fn default() -> Self {
        let unset = SmolStr::default();
        let core = entry::Settings::new(unset.clone(), unset.clone(), Instance(0), unset);
        Self {
            shards: core.shards,
            write_rate: core.write_rate,
            id_retention: core.id_retention,
            answer_hold: core.answer_hold,
            delivered_hold: core.delivered_hold,
            doubt_timeout: core.doubt_timeout,
            stop_limit: core.stop_limit,
            start_limit: core.limits.start_limit,
            run_limit: core.run_limit,
            route_limit: core.route_limit,
        }
    }
}

impl Settings {
    /// Settings of the decisions for a process with this identity.
    #[must_use]
    pub fn decisions(&self, identity: &links::Identity) -> entry::Settings {
        let from = &self.decisions;
        entry::Settings {
            seeds: self.frames.seeds.clone(),
            shards: from.shards,
            write_rate: from.write_rate,
            id_retention: from.id_retention,
            answer_hold: from.answer_hold,
            delivered_hold: from.delivered_hold,
            doubt_timeout: from.doubt_timeout,
            stop_limit: from.stop_limit,
            run_limit: from.run_limit,
            route_limit: from.route_limit,
            limits: dispatch::Limits {
                start_limit: from.start_limit,
                zone: identity.zone.clone(),
                ..dispatch::Limits::default()
            },
            ..entry::Settings::new(
                identity.name.clone(),
                identity.zone.clone(),
                identity.instance,
                identity.address.clone(),
            )
        }
    }
}

fn default_connections() -> usize {
    4_096
}

fn default_streams() -> u32 {
    256
}

fn default_idle() -> Duration {
    MINUTE
}

fn default_body_time() -> Duration {
    Duration::from_secs(10)
}

fn default_unread() -> ByteSize {
    ByteSize(16 << 20)
}

fn default_call_time() -> Duration {
    Duration::from_secs(2)
}

fn default_calls() -> usize {
    16
}
