//! `knapweedctl`, the operators' command line: arguments, calls to the HTTP API, output.

mod api;
mod args;
mod commands;
mod diff;
mod error;
mod output;
mod run;
mod table;

pub use args::Args;
pub use error::{Error, Result};
pub use run::run;
