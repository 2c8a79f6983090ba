//! Agent process beside an endpoint: starts tasks and remembers what started.

pub mod endpoint;

mod decide;
mod inputs;
mod options;
mod process;
mod settings;
mod sink;

pub use inputs::{Ended, Inputs};
pub use options::{Options, run};
pub use process::{Error, Process, Result, Stopper};
pub use settings::Settings;
