//! Stand-in for the platform: table service and object store over HTTP, with faults.

mod control;
mod limits;
mod options;
mod parse;
mod respond;
mod server;
mod service;
mod settings;
mod state;
mod stats;

pub use options::Options;
pub use server::{OpenError, StandinStore};
pub use settings::{Controls, LostAs, Outage, Settings};
pub use stats::{Latency, Stats};
