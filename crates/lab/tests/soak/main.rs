//! The randomized soak and its checks.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod broken_promises;
mod plan_seeds;
mod short_soak;
