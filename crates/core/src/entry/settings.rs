//! Settings of the decisions of an entry process.

use std::time::Duration;

use smol_str::SmolStr;

use crate::dispatch::Limits;
use crate::ids::Instance;

/// Settings of the decisions of an entry process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, unique among entry processes.
    pub name: SmolStr,
    /// Zone.
    pub zone: SmolStr,
    /// Run of this process; also the name of its journal.
    pub instance: Instance,
    /// Address of the frame listener, as others reach it.
    pub address: SmolStr,
    /// Frame addresses of entry processes to connect to at start.
    pub seeds: Vec<SmolStr>,
    /// Shards of a new system; an existing one keeps its number.
    pub shards: u32,
    /// Journal writes a second of all entry processes together.
    pub write_rate: u32,
    /// How long the id of an ended job is remembered when its caller gave no `expires`.
    pub id_retention: Duration,
    /// How long an answer is held that was not delivered.
    pub answer_hold: Duration,
    /// How long an answer is held after it was first delivered.
    pub delivered_hold: Duration,
    /// How long a silent agent's tasks stay open.
    pub doubt_timeout: Duration,
    /// How long a planned stop waits for jobs when no other entry process can take them.
    pub stop_limit: Duration,
    /// Longest run time of a task.
    pub run_limit: Duration,
    /// How long an owner that cannot be reached is waited for.
    pub route_limit: Duration,
    /// Limits of the dispatcher.
    pub limits: Limits,
}

impl Settings {
    /// Settings with the defaults of the design page.
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
