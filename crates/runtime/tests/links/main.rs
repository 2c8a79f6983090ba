//! Links between processes: hand-shake, frames, faults and bounds.
#![allow(clippy::unwrap_used, reason = "a failure in a fixture fails its test")]

mod bounds;
mod exchange;
mod faults;
mod fixture;
mod pairing;
