//! Runs tasks on the endpoint, on a thread of its own.

mod client;
mod connection;
mod http;
mod pool;
mod reachability;
mod thread;

pub use client::{CheckFuture, EndpointClient, RunFuture};
pub use http::HttpEndpointClient;
pub use thread::{Command, EndpointThread};
