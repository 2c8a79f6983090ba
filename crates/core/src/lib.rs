//! Decisions of the dispatcher: no I/O, no clock of their own.
//!
//! Inputs, state and a [`Now`] go in; actions come out. The processes run these decisions behind
//! their threads, sockets and timers; tests run them directly.

pub mod agent;
pub mod config;
pub mod dispatch;
pub mod entry;
pub mod executor;
pub mod scheduler;
pub mod store;
pub mod work;

mod clock;
mod event;
mod ids;
mod maps;
mod peer;

pub use clock::Now;
pub use event::Event;
pub use ids::{Epoch, Instance, JobId, JobKey, Shard, TaskRef};
pub use peer::{LinkKey, PeerInfo, Role};
