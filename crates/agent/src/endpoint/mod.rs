//! The thread that runs tasks on the endpoint.

mod connection;
mod http;
mod pool;
mod port;
mod probe;
mod thread;

pub use http::HttpEndpoint;
pub use port::{Checks, Endpoint, Runs};
pub use thread::{Command, EndpointThread};
