//! Calls to the HTTP API of the entry processes.

mod address;
mod client;

pub(crate) use address::Address;
pub(crate) use client::{Client, check};
