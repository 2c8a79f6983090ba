//! Client of the platform's table service and object store.

pub mod protocol;

mod http;
mod platform;

pub use http::HttpPlatform;
pub use platform::{CallFuture, Platform};
