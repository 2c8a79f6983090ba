//! The whole system: real processes of all kinds on loopback.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod bad_input;
mod cancel;
mod end_to_end;
mod graceful_stop;
mod place;
mod resubmission;
mod scenarios;
mod shard_takeover;
