//! Stand-in for an endpoint: tasks that sleep, faults, and a ledger of every start.

mod control;
mod ledger;
mod options;
mod payload;
mod plan;
mod run;
mod server;
mod settings;
mod state;

pub use ledger::{Doubled, Outcome, Start, Summary};
pub use options::Options;
pub use server::{OpenError, StandinEndpoint};
pub use settings::{Controls, Settings, Speed, SpeedError, Stall};
