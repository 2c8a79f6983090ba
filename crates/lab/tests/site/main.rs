//! Stand-ins of the users' platform.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod replaced_runs;
mod restarts;
mod row_rules;
mod run_rules;
