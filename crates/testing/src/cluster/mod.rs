//! Starts real processes from written settings and ends them again.

mod binaries;
mod dir;
mod error;
mod ports;
mod process;

pub use binaries::find;
pub use dir::Dir;
pub use error::{Error, Result};
pub use ports::reserve;
pub use process::{Launch, Process};
