//! Jobs made of phases, the tasks in them, and the room that tasks take on workers.

mod job;
mod reference;
mod room;
mod shard;

pub use job::{Catalog, Feature, JobRequest, PhaseSpec, QueueRules};
pub use reference::{RunId, TaskId};
pub use room::Room;
pub use shard::{SHARDS, shard_of};
