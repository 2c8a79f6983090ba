//! Entry process: takes jobs over HTTP and dispatches their tasks.

mod cli;
mod error;
mod event_loop;
mod events;
mod http;
mod input_queue;
mod process;
mod settings;
mod store;

pub use cli::{Args, Command, run};
pub use error::{Error, Result};
pub use process::{Addresses, Components, Process, Stopper};
pub use settings::Settings;
