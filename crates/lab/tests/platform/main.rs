//! The HTTP adapter against the stand-in store and against servers that break the protocol.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod conflict;
mod fixture;
mod lost_reply;
mod memory_platform;
mod object_store;
mod outage;
mod rate_limit;
mod row_limits;
mod scan_pages;
mod unclear_replies;
mod write_time;
