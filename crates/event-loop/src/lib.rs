//! Event loops of entry processes and agents.
//!
//! An event loop receives inputs from a bounded queue, steps the process's state machine and
//! executes the resulting actions. Each process has one thread for its state machine and ports,
//! because a small host runs only one thread at a time, and a second one for the links to other
//! processes.

mod agent;
mod clock;
mod entry;
mod input_queue;

pub use agent::{AgentLoop, RenewalRequest, WorkerPort};
pub use clock::Clock;
pub use entry::{EntryLoop, EntryPort};
pub use input_queue::{InputSender, LinkEventSink, input_queue};
