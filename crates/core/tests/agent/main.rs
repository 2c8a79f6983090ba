//! Decisions of the agent.
#![allow(clippy::unwrap_used, reason = "a failed expectation ends the test")]

mod bench;
mod cancels;
mod credit_moves;
mod credit_property;
mod endpoint_ends;
mod fences;
mod leaving;
mod link_rules;
mod start_property;
mod start_rules;
