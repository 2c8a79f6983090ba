//! Event loops of entry processes and agents.
//!
//! An event loop receives inputs from a bounded queue, steps the process's state machine and
//! executes the resulting actions. The state machine, HTTP and the calls to the store or
//! the worker share one thread, because a small host runs only one thread at a time. The links to
//! other processes have a thread of their own.

mod agent;
mod clock;
mod entry;
mod input_queue;

pub use agent::{AgentLoop, RenewalRequest, WorkerAdapter};
pub use clock::Clock;
pub use entry::{EntryAdapter, EntryLoop};
pub use input_queue::{InputSender, LinkEventSink, input_queue};
