//! The binary: `check`, `run` and signals.
#![allow(clippy::unwrap_used, reason = "a failure in a fixture fails its test")]

mod check;
mod fixture;
mod signals;
