//! Queueing model that drives the real dispatch decisions with virtual time.
//!
//! It compares placement policies with a reference: one queue without any delay that knows the
//! true run times and speeds. There are no processes and no network; a message takes a fixed time.

mod baselines;
mod model;
mod reference;
mod report;
mod scenario;

pub use baselines::{PushRandom, PushTwoChoices};
pub use model::{Outcome, Policy, RunResult, run};
pub use reference::run_reference;
pub use report::{Figures, write_report};
pub use scenario::{Scenario, Workload, scenarios};
