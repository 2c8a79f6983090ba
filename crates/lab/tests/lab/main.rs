//! The test side's own instruments: a fault that they miss would make other tests pass wrongly.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod answer_checks;
mod proxy_faults;
mod reserved_ports;
mod seeded_load;
