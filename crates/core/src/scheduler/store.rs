//! Calls to the store that keeps durable jobs.

use bytes::Bytes;
use derive_more::{From, Into};
use smol_str::SmolStr;

use crate::ids::{Instance, Shard};

/// One call to the store; made by the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct StoreKey(pub u64);

/// A call to the store. Each shard has a first row, which names its owner, and a row a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the first row of a shard.
    ReadOwner(Shard),
    /// Reads rows of jobs after the job `after`; all when it is empty.
    ReadJobs {
        /// The shard.
        shard: Shard,
        /// Id of the last job that was read.
        after: SmolStr,
    },
    /// Writes rows if the first row has the version `expected`; 0 stands for no row. The first row
    /// is always written, so that a late repetition of the call finds another version.
    Write {
        /// The shard.
        shard: Shard,
        /// Version of the first row.
        expected: u64,
        /// New first row.
        owner: Bytes,
        /// Rows of jobs by id; none removes the row.
        jobs: Vec<(SmolStr, Option<Bytes>)>,
    },
    /// Writes the process's sign of life.
    WriteHeartbeat,
    /// Reads the sign of life of another process.
    ReadHeartbeat(Instance),
}

/// A row of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Id of the job; empty for other rows.
    pub id: SmolStr,
    /// Content.
    pub value: Bytes,
    /// Version; grows with each write.
    pub version: u64,
}

/// Outcome of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOutcome {
    /// Rows in the order of their ids, and whether there are more.
    Rows(Vec<StoreRow>, bool),
    /// The rows were written; the new version.
    Written(u64),
    /// The condition did not hold; the first row as it is.
    Conflict(Option<StoreRow>),
    /// Nothing was done.
    Declined,
    /// No answer; the call may be carried out, also later.
    NoAnswer,
}
