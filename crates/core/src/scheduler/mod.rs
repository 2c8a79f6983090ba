//! Decisions of an entry process that places the tasks of jobs on workers.
//!
//! A job belongs to the entry process that received it, and to the connection on which its caller
//! waits. Agents keep their workers within their room and stop runs whose entry process is silent,
//! so a lost process is a matter of time: after [`LOST_AFTER`] nothing that it could reach runs.

mod intake;
mod io;
mod jobs;
mod learning;
mod links;
mod machine;
mod metrics;
mod place;
mod reports;
mod workers;

pub use io::{Action, Answer, CallKey, Input, JobState, Settings};
pub use links::LOST_AFTER;
pub use machine::Machine;
pub use metrics::Metrics;
