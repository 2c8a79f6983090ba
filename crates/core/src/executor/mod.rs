//! Decisions of an agent that runs tasks on the worker beside it under a lease.
//!
//! The agent is the one place that starts tasks on its worker, so it keeps the worker within its
//! room. It holds the lease of everything that runs, and reports each end to the entry process
//! that ordered the run. The worker lists what runs and what ended; after a restart the agent
//! takes over from these lists.
//!
//! A run ends when its owner, the entry process that ordered it, is silent for [`OWNER_SILENCE`].

mod calls;
mod io;
mod kept;
mod lists;
mod machine;
mod metrics;
mod owners;
mod runs;
mod starts;
mod sweep;
mod worker;

pub use io::{
    Action, CallKey, EndCause, EndedRow, Heartbeat, HoldOutcome, Holding, Input, Order, Refusal,
    RunningRow, Settings, StartOutcome, StopOutcome,
};
pub use machine::Machine;
pub use metrics::Metrics;
pub use owners::OWNER_SILENCE;
