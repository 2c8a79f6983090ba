//! Requests to the platform's table service and object store, and their outcomes.

use bytes::Bytes;
use smol_str::SmolStr;

/// Largest value of a row, in bytes.
pub const MAX_ROW_BYTES: usize = 1024 * 1024;

/// One row of the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key, unique in the table.
    pub key: SmolStr,
    /// Number of the transaction that wrote the row; grows.
    pub version: u64,
    /// Content.
    pub value: Bytes,
}

/// Condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// No row has this key.
    Absent(SmolStr),
    /// The row has this version.
    Version(SmolStr, u64),
}

/// Change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Writes the row, whether or not it exists.
    Put(SmolStr, Bytes),
    /// Deletes the row, if it exists.
    Delete(SmolStr),
}

/// Writes that take effect together if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Transaction {
    /// Conditions on the rows as they are before the transaction.
    pub conditions: Vec<Condition>,
    /// Writes; all rows get the same new version.
    pub writes: Vec<Write>,
}

/// A request to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Runs a transaction.
    Transact(Transaction),
    /// Reads one row.
    Get(SmolStr),
    /// Reads rows whose keys start with `prefix` and are greater than `after`, in order of keys.
    Scan {
        /// Start of the keys.
        prefix: SmolStr,
        /// Last key already read; empty at the beginning.
        after: SmolStr,
        /// Most rows to return.
        limit: u32,
    },
    /// Writes an object.
    PutObject(SmolStr, Bytes),
    /// Reads an object.
    GetObject(SmolStr),
    /// Deletes an object, if it exists.
    DeleteObject(SmolStr),
}

/// Reply to a [`Request`] that the platform carried out or declined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The transaction took effect; its rows have this version.
    Committed(u64),
    /// Conditions failed and nothing was written: each failed key with its present row.
    Conflict(Vec<(SmolStr, Option<Row>)>),
    /// The row, if there is one.
    Row(Option<Row>),
    /// Rows in order of keys, and whether there are more.
    Rows(Vec<Row>, bool),
    /// The object, if there is one.
    Object(Option<Bytes>),
    /// The object was written or deleted.
    Done,
}

/// Why a request has no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// It certainly had no effect: it was not sent, or the platform declined it.
    NotApplied(SmolStr),
    /// It may have had its effect: the reply is missing.
    Unknown(SmolStr),
}

/// Outcome of a request.
pub type Outcome = std::result::Result<Reply, Failure>;
