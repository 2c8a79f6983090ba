//! Dispatcher: decides which waiting task starts next and on which worker.

mod admission;
mod assignment;
mod configure;
mod credit_index;
mod demand;
mod dispatcher;
mod estimates;
mod expiry;
mod health;
mod job;
mod jobs;
mod limits;
mod outlier_detection;
mod placement;
mod queues;
mod status;
mod task_end;
mod worker;
mod workers;

pub use admission::Refusal;
pub use credit_index::CreditIndex;
pub use dispatcher::{Assignment, Dispatcher};
pub use limits::Limits;
pub use placement::{FastestFirst, Placement, PlacementRequest};
pub use status::{ClassStatus, Status, WorkerStatus};
pub use task_end::TaskEnd;
pub use worker::WorkerKey;
