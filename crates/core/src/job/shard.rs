//! Mapping of durable jobs to shards.

use crate::ids::{JobId, Shard};

/// Number of shards. One entry process owns each shard. A shard is stored in a single partition of
/// the store, because a store transaction cannot span partitions.
pub const SHARD_COUNT: u32 = 16;

/// Returns the shard of a job, or `None` if `id` is not a valid job id.
#[must_use]
pub fn shard_of(id: &str) -> Option<Shard> {
    let id = JobId::parse(id).ok()?;
    Some(id.key().shard(SHARD_COUNT))
}
