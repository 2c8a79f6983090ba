//! Randomized soak: the programs of the users' platform as real processes on loopback, beside
//! stand-ins of the platform, with faults from outside and checks of what callers and workers see.
//!
//! A plan of faults is drawn from a seed. Signals and network faults overlap; callers go on
//! submitting jobs throughout, on connections that they keep until the process is gone.

mod args;
mod caller;
mod calm;
mod connection;
mod faults;
mod fleet;
mod job;
mod load;
mod node;
mod observations;
mod operator;
mod plan;
mod record;
mod restarts;
mod rules;
mod run;
mod witness;

pub use args::Args;
pub use calm::Calm;
pub use job::{Job, Phase};
pub use plan::{Fault, Harm, Mix, Plan, Step};
pub use restarts::{Flood, Restart, Throttle};
pub use rules::{Answer, Rule, Violation};
pub use run::{Outcome, Sizes, run, soak};
pub use witness::Witness;
