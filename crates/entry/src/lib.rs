//! Entry process: takes jobs over HTTP and dispatches their tasks.

mod cli;
mod decide;
mod error;
mod events;
mod http;
mod process;
mod ring;
mod settings;
mod store;

pub use cli::{Args, Command, run};
pub use error::{Error, Result};
pub use process::{Addresses, Parts, Process, Stopper};
pub use settings::Settings;
