//! State machine of an agent that runs tasks on its local worker under a lease.
//!
//! A run is one attempt at a task. Only the agent starts runs on its worker, so it can enforce the
//! worker's resource limits. It renews the lease that covers all runs; when the lease expires, the
//! worker ends them. The worker lists its running and ended runs, and a restarted agent recovers its
//! state from these lists. Each call to the worker carries a fencing token, the fence: the worker
//! rejects calls with a lower fence than the highest one it has accepted.
//!
//! The agent reports the end of each run to the run's owner, the entry process that ordered it. It
//! stops a run if it has no contact with the owner for [`OWNER_SILENCE_TIMEOUT`].

mod announced;
mod crashes;
mod durable_runs;
mod heartbeats;
mod io;
mod lifetimes;
mod machine;
mod metrics;
mod owners;
mod pending_calls;
mod registration;
mod renewals;
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
