//! Integration tests of the agent process with simulated entry processes and endpoints.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed expectation ends the test"
)]

mod check_command;
mod endpoint_faults;
mod graceful_stop;
mod harness;
mod non_idempotent_tasks;
mod reconnection;
