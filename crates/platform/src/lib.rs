//! Ports of the platform and their adapters.

mod port;

pub use port::{Calls, Platform};
