//! HTTP implementation of [`Platform`](crate::Platform).

mod client;
mod decode;
mod encode;

pub use client::HttpPlatform;
