//! Dispatch decisions.

mod bench;
mod cancel;
mod credits;
mod order;
