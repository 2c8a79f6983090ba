//! State machine of the agent.

mod addresses;
mod credits;
mod event;
mod fence;
mod io;
mod ledger;
mod links;
mod metrics;
mod run;
mod settled_jobs;
mod shards;
mod shutdown;
mod start;
mod state_machine;

pub use credits::{CreditAction, CreditAllocator};
pub use io::{Action, Input, RunEnd, RunKey, RunTask, Settings};
pub use ledger::LedgerLimits;
pub use metrics::Metrics;
pub use run::MAX_RESULT_BYTES;
pub use state_machine::Agent;
