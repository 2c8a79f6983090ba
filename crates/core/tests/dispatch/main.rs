//! Dispatch decisions.

mod bench;
mod cancel;
mod credits;
mod demand;
mod expiry;
mod held_back;
mod invariants;
mod order;
mod overload;
mod quotas;
mod reserve;
