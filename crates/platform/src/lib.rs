//! Ports of the platform and their adapters.

pub mod protocol;

mod http;
mod port;

pub use http::HttpPlatform;
pub use port::{Calls, Platform};
