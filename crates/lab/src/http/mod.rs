//! HTTP server parts that both stand-ins use.

mod answer;
mod connection;
mod gate;
mod merge;
mod server;

pub use answer::{Answer, text};
pub use connection::Handler;
pub use gate::Gate;
pub use merge::{MergeError, merge};
pub use server::Server;

pub(crate) use answer::{json, read_body};
