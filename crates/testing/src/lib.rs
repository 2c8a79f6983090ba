//! Stand-ins, demonstration, measurements and integration tests
