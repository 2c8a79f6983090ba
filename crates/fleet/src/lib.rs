//! Event loops of the processes that run jobs on workers with room and leases.
//!
//! Each process has one thread for its decisions and ports, since only one thread runs at a time on
//! a small host, and one for the links to other processes.

mod clock;
mod entry;
mod executor;
mod inbox;

pub use clock::Clock;
pub use entry::{EntryLoop, EntryPort};
pub use executor::{AgentLoop, Hold, WorkerPort};
pub use inbox::{Inbox, LinkInbox, inbox};
