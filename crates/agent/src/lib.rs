//! Agent process, which runs next to an endpoint, starts tasks on it and records which tasks have
//! started.

pub mod endpoint;

mod cli;
mod event_loop;
mod input_queue;
mod link_sink;
mod process;
mod settings;

pub use cli::{Cli, run};
pub use input_queue::{InputSender, QueueClosed};
pub use process::{Error, Process, Result, StopHandle};
pub use settings::Settings;
