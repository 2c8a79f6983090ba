//! The state machines of the dispatcher, without I/O.
//!
//! A state machine takes an input and a clock reading ([`Now`]), updates its state and returns
//! actions. The processes connect the state machines to threads, sockets and timers; tests drive
//! them directly.

pub mod agent;
pub mod config;
pub mod dispatch;
pub mod entry;
pub mod executor;
pub mod job;
pub mod scheduler;
pub mod store;

mod clock;
mod deterministic;
mod event;
mod ids;
mod peer;

pub use clock::Now;
pub use event::Event;
pub use ids::{Epoch, Instance, JobId, JobKey, Shard, TaskRef};
pub use peer::{LinkKey, PeerInfo, Role};
