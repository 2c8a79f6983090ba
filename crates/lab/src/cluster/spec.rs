//! What a cluster consists of.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};
use smol_str::SmolStr;

/// One agent with its endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgentSpec {
    /// Slots.
    pub slots: u32,
    /// Speed of the endpoint; run times are divided by it.
    pub speed: f64,
}

/// A cluster to start on this machine.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Entry processes `entry-1` to `entry-N`, one after the other in zones `z1` to `z3`.
    pub entries: usize,
    /// Agents `agent-1` to `agent-N` in zones `z1` to `z3`.
    pub agents: Vec<AgentSpec>,
    /// Agents that share one endpoint stand-in; 1 gives each agent its own.
    pub sharing: usize,
    /// Behaviour of the store stand-in, fields of its `controls`.
    pub store: Value,
    /// Targets by class.
    pub classes: BTreeMap<SmolStr, Duration>,
    /// Whether the links to entry processes and to the store are led through proxies.
    pub proxied: bool,
    /// Settings of entry processes; names and addresses are set by the launcher.
    pub entry: Value,
    /// Settings of agents; names, slots and addresses are set by the launcher.
    pub agent: Value,
    /// Seed of the stand-ins.
    pub seed: u64,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            entries: 3,
            agents: vec![
                AgentSpec {
                    slots: 8,
                    speed: 1.0
                };
                3
            ],
            sharing: 1,
            store: json!({}),
            // Work that waits for a takeover arrives at once afterwards; with a target of 250 ms
            // a few of its jobs were refused as overloaded on a busy machine.
            classes: BTreeMap::from([("console".into(), Duration::from_secs(5))]),
            proxied: false,
            entry: json!({}),
            agent: json!({}),
            seed: 1,
        }
    }
}
