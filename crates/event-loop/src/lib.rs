//! Event loops of entry processes and agents.
//!
//! An event loop receives inputs from a bounded queue, steps the process's state machine and
//! executes the resulting actions. The state machine, HTTP and the calls to the store or
//! the worker share one thread: on a host with a single CPU core, more threads would not run in
//! parallel. Only the links to other processes run on a second thread.

mod agent;
mod clock;
mod entry;
mod input_queue;

pub use agent::{AgentLoop, RegistrationAdapter, RenewalRequest, WorkerAdapter};
pub use clock::Clock;
pub use entry::{EntryAdapter, EntryLoop};
pub use input_queue::{InputSender, LinkEventSink, input_queue};
