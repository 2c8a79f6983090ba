//! Stand-ins, demonstration, measurements and integration tests.

pub mod client;
pub mod cluster;
pub mod dispatch_trial;
pub mod http;
pub mod lab;
pub mod load;
pub mod process;
pub mod proxy;
pub mod scenario;
pub mod site;
pub mod soak;
pub mod standin_endpoint;
pub mod standin_store;
pub mod table;

mod chance;

pub use chance::{Chance, Share, ShareError};
