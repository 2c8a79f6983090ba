//! Calls to the store of durable jobs.

use bytes::Bytes;
use derive_more::{From, Into};
use smol_str::SmolStr;

use crate::ids::{Instance, Shard};

/// Identifies a call to the store; allocated by the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct StoreKey(pub u64);

/// A call to the store. Each shard has an owner row and one row per job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the owner row of a shard.
    ReadOwner(Shard),
    /// Reads the rows of jobs in the order of their ids, starting after the job `after`, or at the
    /// beginning if it is empty.
    ReadJobs {
        /// The shard.
        shard: Shard,
        /// Id of the last job already read.
        after: SmolStr,
    },
    /// Writes rows if the owner row has the version `expected`, where 0 means that it doesn't
    /// exist. The owner row is always written, so that a call that is repeated or executed late
    /// finds another version.
    Write {
        /// The shard.
        shard: Shard,
        /// Expected version of the owner row.
        expected: u64,
        /// New content of the owner row.
        owner: Bytes,
        /// Rows of jobs by id; `None` deletes the row.
        jobs: Vec<(SmolStr, Option<Bytes>)>,
    },
    /// Writes the heartbeat of this process.
    WriteHeartbeat,
    /// Reads the heartbeat of another process.
    ReadHeartbeat(Instance),
}

/// A row of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Id of the job; empty for owner rows and heartbeats.
    pub id: SmolStr,
    /// Content.
    pub value: Bytes,
    /// Version; increases with each write.
    pub version: u64,
}

/// Outcome of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOutcome {
    /// Rows in the order of their ids, and whether more follow.
    Rows(Vec<StoreRow>, bool),
    /// The rows were written with this version.
    Written(u64),
    /// The owner row had another version than expected; its present content.
    Conflict(Option<StoreRow>),
    /// The call was not executed.
    Declined,
    /// No answer was received; the call may have been executed or may still be.
    NoAnswer,
}
