//! Stand-ins, demonstration, measurements and integration tests

pub mod dispatch_trial;
