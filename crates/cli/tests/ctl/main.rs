//! `knapweedctl` against a small HTTP server with scripted replies.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod config_apply;
mod exit_codes;
mod job_commands;
mod output_forms;
mod server;
