//! Decisions of the agent.

mod addresses;
mod credits;
mod event;
mod fence;
mod io;
mod leave;
mod ledger;
mod links;
mod machine;
mod metrics;
mod run;
mod settled;
mod shards;
mod start;

pub use credits::{Credits, Move};
pub use io::{Action, Input, RunEnd, RunKey, RunTask, Settings};
pub use ledger::LedgerLimits;
pub use machine::Agent;
pub use metrics::Metrics;
pub use run::MAX_RESULT_BYTES;
