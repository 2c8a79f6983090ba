//! Shards of durable jobs.

use crate::ids::{JobId, Shard};

/// Number of shards. Each has one owner among the entry processes and is one part of the store,
/// whose transactions touch one part only.
pub const SHARDS: u32 = 16;

/// Shard of a job; none for an id that no job has.
#[must_use]
pub fn shard_of(id: &str) -> Option<Shard> {
    let id = JobId::parse(id).ok()?;
    Some(id.key().shard(SHARDS))
}
