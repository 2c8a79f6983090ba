//! Requests to the store, an external table service and object store, and their results.

use bytes::Bytes;
use smol_str::SmolStr;

/// Maximum size of a row's value, in bytes.
pub const MAX_ROW_BYTES: usize = 1024 * 1024;

/// A row of the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key; unique in the table.
    pub key: SmolStr,
    /// Number of the transaction that last wrote the row; transaction numbers increase.
    pub version: u64,
    /// Value of the row.
    pub value: Bytes,
}

/// Precondition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// No row with this key exists.
    Absent(SmolStr),
    /// The row has this version.
    Version(SmolStr, u64),
}

/// Write to a single row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Creates or replaces the row.
    Put(SmolStr, Bytes),
    /// Deletes the row if it exists.
    Delete(SmolStr),
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Transaction {
    /// Conditions, checked against the state before the transaction.
    pub conditions: Vec<Condition>,
    /// Writes; all written rows get the same new version.
    pub writes: Vec<Write>,
}

/// A request to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Runs a transaction.
    Transact(Transaction),
    /// Reads one row.
    Get(SmolStr),
    /// Reads rows whose keys start with `prefix` and are greater than `after`, in key order.
    Scan {
        /// Prefix of the keys.
        prefix: SmolStr,
        /// Last key of the previous page; empty for the first page.
        after: SmolStr,
        /// Maximum number of rows to return.
        limit: u32,
    },
    /// Writes an object.
    PutObject(SmolStr, Bytes),
    /// Reads an object.
    GetObject(SmolStr),
    /// Deletes an object if it exists.
    DeleteObject(SmolStr),
}

/// Reply to a [`Request`] that the platform executed, or rejected because a condition failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The transaction was committed; its rows have this version.
    Committed(u64),
    /// Some conditions failed and nothing was written. Contains each failed key and its current row.
    Conflict(Vec<(SmolStr, Option<Row>)>),
    /// The requested row, if it exists.
    Row(Option<Row>),
    /// Rows in key order, and whether more rows follow.
    Rows(Vec<Row>, bool),
    /// The requested object, if it exists.
    Object(Option<Bytes>),
    /// The object was written or deleted.
    Done,
}

/// Failure of a request that was not executed, or whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The request had no effect: it was not sent, or the platform replied that it was not
    /// applied.
    NotApplied(SmolStr),
    /// The request may have taken effect, but there was no valid reply.
    Unknown(SmolStr),
}

/// Result of a request.
pub type Outcome = std::result::Result<Reply, Failure>;
