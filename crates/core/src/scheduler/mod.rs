//! Scheduling decisions of an entry process: which tasks of which jobs run on which workers.
//!
//! A non-durable job belongs to the entry process that received it, and lives no longer than a caller
//! waits for it, as far as that process knows; other processes know of it by heartbeats. A durable job belongs to the owner of its shard.
//!
//! Agents enforce the capacity of their workers and stop runs whose entry process no longer sends
//! heartbeats. Loss of a process is therefore handled by a timeout: [`LOST_AFTER`] after the last
//! report of an agent, none of the runs that it started for this process is still active.

mod admission;
mod blame;
mod configuration;
mod crash_count;
mod crashes;
mod durable_jobs;
mod forwarding;
mod graceful_stop;
mod held_jobs;
mod io;
mod jobs;
mod links;
mod machine;
mod metrics;
mod orders;
mod peers;
mod pending_counts;
mod placement;
mod priority;
mod requests;
mod run_reports;
mod run_time_model;
mod scarcity;
mod shard_claims;
mod shard_loading;
mod shard_release;
mod shard_turns;
mod shard_writes;
mod shards;
mod shortages;
mod stalled_jobs;
mod store;
mod store_clock;
mod stored_job;
mod workers;

pub use io::{Action, Answer, CallKey, ConfigSource, Input, JobState, Settings};
pub use links::LOST_AFTER;
pub use machine::{BUSY_TICK_INTERVAL, IDLE_TICK_INTERVAL, Machine};
pub use metrics::Metrics;
pub use store::{StoreCall, StoreKey, StoreOutcome, StoreRow};
