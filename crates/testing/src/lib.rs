//! Stand-ins, demonstration, measurements and integration tests.

pub mod dispatch_trial;
pub mod http;
pub mod process;
pub mod standin_endpoint;
pub mod standin_store;
pub mod table;

mod chance;

pub use chance::{Chance, Share, ShareError};
