//! Decisions of an entry process that places the tasks of jobs on workers.
//!
//! A job that need not be kept belongs to the entry process that received it, and to the connection
//! on which its caller waits. A durable job belongs to the owner of its shard. Agents keep their workers within their room and stop runs whose entry process is silent,
//! so a lost process is a matter of time: after [`LOST_AFTER`] nothing that it could reach runs.

mod durable_jobs;
mod forwarding;
mod io;
mod jobs;
mod links;
mod machine;
mod metrics;
mod peers;
mod placement;
mod requests;
mod run_reports;
mod run_time_model;
mod shard_claims;
mod shard_loading;
mod shard_release;
mod shard_writes;
mod shards;
mod store;
mod stored_job;
mod workers;

pub use io::{Action, Answer, CallKey, Input, JobState, Settings};
pub use links::LOST_AFTER;
pub use machine::Machine;
pub use metrics::Metrics;
pub use store::{StoreCall, StoreKey, StoreOutcome, StoreRow};
