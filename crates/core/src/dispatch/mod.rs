//! Dispatch decisions: which waiting task starts next, and on which worker.

mod configure;
mod credits;
mod demand;
mod dispatcher;
mod door;
mod ended;
mod expiry;
mod fleet;
mod health;
mod intake;
mod jobs;
mod learning;
mod limits;
mod placement;
mod queues;
mod start;
mod status;
mod suspects;
mod worker;

pub use credits::Credits;
pub use dispatcher::{Assignment, Dispatcher};
pub use door::Refusal;
pub use ended::Ended;
pub use limits::Limits;
pub use placement::{Placement, Request, SpeedMatch};
pub use status::{ClassStatus, Status, WorkerStatus};
pub use worker::WorkerKey;
