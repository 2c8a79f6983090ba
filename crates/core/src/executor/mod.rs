//! Decisions of an agent that runs tasks on the worker beside it under a lease.
//!
//! The agent is the one place that starts tasks on its worker, so it keeps the worker within its
//! room. It holds the lease of everything that runs, and reports each end to the entry process
//! that ordered the run. The worker lists what runs and what ended; after a restart the agent
//! takes over from these lists.
//!
//! A run ends when its owner, the entry process that ordered it, is silent for [`OWNER_SILENCE_TIMEOUT`].

mod durable;
mod io;
mod machine;
mod metrics;
mod owners;
mod pending_calls;
mod run_lists;
mod runs;
mod starts;
mod timeouts;
mod worker;

pub use io::{
    Action, CallKey, EndCause, EndedRun, Heartbeat, Input, Refusal, RenewalOutcome, RunLists,
    RunningRun, Settings, StartOutcome, StartRequest, StopOutcome,
};
pub use machine::Machine;
pub use metrics::Metrics;
pub use owners::OWNER_SILENCE_TIMEOUT;
