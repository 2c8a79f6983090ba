//! HTTP adapter of the port [`Platform`](crate::Platform).

mod adapter;
mod decode;
mod encode;

pub use adapter::HttpPlatform;
