//! Decisions of an entry process that places the tasks of jobs on workers.
//!
//! A job that need not be kept belongs to the entry process that received it, and to the connection
//! on which its caller waits. A durable job belongs to the owner of its shard. Agents keep their workers within their room and stop runs whose entry process is silent,
//! so a lost process is a matter of time: after [`LOST_AFTER`] nothing that it could reach runs.

mod claims;
mod durable;
mod forwarding;
mod handover;
mod intake;
mod io;
mod jobs;
mod learning;
mod links;
mod machine;
mod metrics;
mod peers;
mod place;
mod record;
mod reports;
mod shards;
mod store;
mod takeover;
mod workers;
mod writes;

pub use io::{Action, Answer, CallKey, Input, JobState, Settings};
pub use links::LOST_AFTER;
pub use machine::Machine;
pub use metrics::Metrics;
pub use store::{StoreCall, StoreKey, StoreOutcome, StoreRow};
