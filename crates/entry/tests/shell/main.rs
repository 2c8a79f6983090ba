//! The entry process with scripted decisions and a fake platform: API, limits, store and stop.
#![allow(clippy::unwrap_used, reason = "a failure in a fixture fails its test")]

mod bad_input;
mod callers;
mod concurrent_calls;
mod fakes;
mod fixture;
mod operators;
mod slow_callers;
mod stopping;
mod store_calls;
