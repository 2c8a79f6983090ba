//! Starts real processes from written settings and ends them again.

mod binaries;
mod build;
#[expect(
    clippy::module_inception,
    reason = "the module is named after what it launches"
)]
mod cluster;
mod conditions;
mod dir;
mod error;
mod metrics;
mod node;
mod ports;
mod process;
mod settings;
mod spec;
mod usage;
mod wait;

pub use binaries::find;
pub use cluster::{Cluster, READY_LIMIT};
pub use dir::Dir;
pub(crate) use error::SystemSnafu;
pub use error::{Error, Result};
pub use metrics::{Sample, parse};
pub use node::{Node, Role};
pub use ports::Port;
pub use process::{Launch, Process};
pub use spec::{AgentSpec, Spec};
pub use usage::{Usage, usage};
pub use wait::eventually;
