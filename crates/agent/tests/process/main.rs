//! The agent as a process, between an entry process and an endpoint.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed expectation ends the test"
)]

mod bench;
mod endpoint_faults;
mod marked_tasks;
mod planned_stop;
mod reconnects;
mod settings_check;
