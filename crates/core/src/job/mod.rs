//! The job model: jobs, phases, tasks and runs, and the resources that they use on workers.

mod id;
mod request;
mod resources;
mod shard;

pub use id::{RunId, TaskId};
pub use request::{
    JobRequest, MAX_PHASES, MAX_TASKS, PhaseSpec, QueueCatalog, QueueConfig, UnsupportedFeature,
};
pub use resources::Resources;
pub use shard::{SHARD_COUNT, shard_of};
