//! State machine of an agent that runs tasks on its local worker under a lease.
//!
//! Only the agent starts tasks on its worker, so it can enforce the worker's resource limits. It
//! renews the lease that covers all runs, and reports the end of each run to its owner, the entry
//! process that ordered it. The worker lists its running and ended runs; a restarted agent recovers
//! its state from these lists.
//!
//! The agent stops a run if it has no contact with the run's owner for [`OWNER_SILENCE_TIMEOUT`].

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
