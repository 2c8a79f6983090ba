//! Stand-ins, demonstration, measurements and integration tests

pub mod cluster;
pub mod http;
pub mod load;
pub mod proxy;
