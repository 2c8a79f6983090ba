//! Settings of the state machine of an entry process.

use std::time::Duration;

use smol_str::SmolStr;

use crate::dispatch::Limits;
use crate::ids::Instance;

/// Settings of the state machine of an entry process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the process, unique among entry processes.
    pub name: SmolStr,
    /// Zone of the process.
    pub zone: SmolStr,
    /// Identifies this run of the process; also the name of its journal.
    pub instance: Instance,
    /// Address of the frame listener as reachable by other processes.
    pub address: SmolStr,
    /// Frame addresses of entry processes to connect to at startup.
    pub seeds: Vec<SmolStr>,
    /// Number of shards to create in a new system; an existing system keeps its number.
    pub shards: u32,
    /// Maximum journal writes per second, shared by all entry processes.
    pub write_rate: u32,
    /// Minimum retention of the id of an ended job; a later `expires` set by the caller extends it.
    pub id_retention: Duration,
    /// Maximum retention of the result of a job after its end.
    pub answer_hold: Duration,
    /// Maximum retention of the result of a job after its first delivery.
    pub delivered_hold: Duration,
    /// Time after which the unfinished tasks of a disconnected agent are in doubt.
    pub doubt_timeout: Duration,
    /// Maximum duration of a planned stop while the process still owns shards.
    pub stop_limit: Duration,
    /// Maximum run time of a task.
    pub run_limit: Duration,
    /// Maximum time a request waits for an unreachable owner.
    pub route_limit: Duration,
    /// Limits of the dispatcher.
    pub limits: Limits,
}

impl Settings {
    /// Creates settings with the documented defaults.
    #[must_use]
    pub fn new(name: SmolStr, zone: SmolStr, instance: Instance, address: SmolStr) -> Self {
        Self {
            name,
            zone,
            instance,
            address,
            seeds: Vec::new(),
            shards: 16,
            write_rate: 300,
            id_retention: Duration::from_hours(24),
            answer_hold: Duration::from_mins(10),
            delivered_hold: Duration::from_mins(1),
            doubt_timeout: Duration::from_secs(10),
            stop_limit: Duration::from_secs(30),
            run_limit: Duration::from_mins(10),
            route_limit: Duration::from_secs(5),
            limits: Limits::default(),
        }
    }
}
