//! The stand-ins as processes.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod announced_addresses;
mod child;
mod settings_file;
