//! Messages of the table service.

use knapweedwall_core::store;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Value;

/// Path of the request to run a transaction.
pub const TRANSACT_PATH: &str = "/table/transact";

/// Path of the request to read one row.
pub const GET_PATH: &str = "/table/get";

/// Path of the request to read several rows.
pub const SCAN_PATH: &str = "/table/scan";

/// A row of the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Key of the row.
    pub key: SmolStr,
    /// Version of the row.
    pub version: u64,
    /// Value of the row.
    pub value: Value,
}

/// Precondition of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Condition {
    /// There is no row with this key.
    Absent {
        /// Key of the row.
        key: SmolStr,
    },
    /// The row has this version.
    Version {
        /// Key of the row.
        key: SmolStr,
        /// Version of the row.
        version: u64,
    },
}

/// Write to a single row.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Write {
    /// Creates or replaces the row.
    Put {
        /// Key of the row.
        key: SmolStr,
        /// Value of the row.
        value: Value,
    },
    /// Deletes the row.
    Delete {
        /// Key of the row.
        key: SmolStr,
    },
}

/// Request to run a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transact {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes to apply if they hold.
    pub writes: Vec<Write>,
}

/// Request to read one row.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GetRow {
    /// Key of the row.
    pub key: SmolStr,
}

/// Request to read rows in key order.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScanRows {
    /// Prefix of the keys to read.
    pub prefix: SmolStr,
    /// Last key of the previous page; empty for the first page.
    pub after: SmolStr,
    /// Maximum number of rows to return.
    pub limit: u32,
}

/// Reply to a transaction that took effect.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Committed {
    /// New version of the rows written.
    pub version: u64,
}

/// A key whose condition failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FailedKey {
    /// Key of the row.
    pub key: SmolStr,
    /// Current row, if there is one.
    pub row: Option<Row>,
}

/// Reply to a transaction whose conditions failed; nothing was written.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Conflict {
    /// The key of each failed condition.
    pub failed: Vec<FailedKey>,
}

/// Reply to [`GetRow`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GetRowReply {
    /// The row; `null` if there is none.
    #[serde(deserialize_with = "Option::deserialize")]
    pub row: Option<Row>,
}

/// Reply to [`ScanRows`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScanRowsReply {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
}

impl From<store::Row> for Row {
    fn from(row: store::Row) -> Self {
        Self {
            key: row.key,
            version: row.version,
            value: Value(row.value),
        }
    }
}

impl From<Row> for store::Row {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            version: row.version,
            value: row.value.0,
        }
    }
}

impl From<store::Condition> for Condition {
    fn from(condition: store::Condition) -> Self {
        match condition {
            store::Condition::Absent(key) => Self::Absent { key },
            store::Condition::Version(key, version) => Self::Version { key, version },
        }
    }
}

impl From<Condition> for store::Condition {
    fn from(condition: Condition) -> Self {
        match condition {
            Condition::Absent { key } => Self::Absent(key),
            Condition::Version { key, version } => Self::Version(key, version),
        }
    }
}

impl From<store::Write> for Write {
    fn from(write: store::Write) -> Self {
        match write {
            store::Write::Put(key, value) => Self::Put {
                key,
                value: Value(value),
            },
            store::Write::Delete(key) => Self::Delete { key },
        }
    }
}

impl From<Write> for store::Write {
    fn from(write: Write) -> Self {
        match write {
            Write::Put { key, value } => Self::Put(key, value.0),
            Write::Delete { key } => Self::Delete(key),
        }
    }
}

impl From<store::Transaction> for Transact {
    fn from(transaction: store::Transaction) -> Self {
        Self {
            conditions: transaction.conditions.into_iter().map(Into::into).collect(),
            writes: transaction.writes.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Transact> for store::Transaction {
    fn from(transact: Transact) -> Self {
        Self {
            conditions: transact.conditions.into_iter().map(Into::into).collect(),
            writes: transact.writes.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<(SmolStr, Option<store::Row>)> for FailedKey {
    fn from((key, row): (SmolStr, Option<store::Row>)) -> Self {
        Self {
            key,
            row: row.map(Into::into),
        }
    }
}

impl From<FailedKey> for (SmolStr, Option<store::Row>) {
    fn from(failed: FailedKey) -> Self {
        (failed.key, failed.row.map(Into::into))
    }
}
