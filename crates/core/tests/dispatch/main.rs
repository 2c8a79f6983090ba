//! Tests of the dispatcher.

mod admission;
mod cancellation;
mod credits;
mod demand;
mod expiry;
mod harness;
mod invariants;
mod outlier_detection;
mod queue_order;
mod quotas;
mod reserved_slots;
