//! Fault-injecting TCP proxy for the links between processes.
//!
//! A cut holds the bytes back and delivers them after the repair, as TCP does across a network
//! that loses packets for a while. (The crate `noxious` drops the bytes of a connection that
//! stays open, which no network does, and does not tell the port that the system chose.)

mod pump;
mod rules;
mod server;

pub use rules::{Direction, Rules};
pub use server::Proxy;
