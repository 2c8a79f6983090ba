//! Links between processes: handshake, frames, protocol errors and backpressure.
#![allow(clippy::unwrap_used, reason = "a failure in a fixture fails its test")]

mod backpressure;
mod fixture;
mod frames;
mod protocol_errors;
mod single_link;
