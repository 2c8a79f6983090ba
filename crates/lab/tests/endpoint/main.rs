//! The stand-in endpoint: its ledger, slots and faults.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod client;
mod control_api;
mod faults;
mod ledger_counts;
mod run_times;
mod slots;
