//! Semantics of the table service and the object store.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;
use knapweedwall_core::store::{Condition, MAX_ROW_BYTES, Reply, Request, Row, Transaction, Write};
use knapweedwall_platform::protocol::{MAX_OBJECT_BYTES, is_object_key};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// Bytes of values after which a scan returns no further row.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// Result of applying a request.
pub type Result<T, E = Invalid> = std::result::Result<T, E>;

/// Reasons for declining a request; nothing was applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum Invalid {
    /// The value of a row exceeds [`MAX_ROW_BYTES`].
    #[snafu(display("the row {key} has {found} bytes, at most {MAX_ROW_BYTES} are allowed"))]
    RowSize {
        /// Key of the row.
        key: SmolStr,
        /// Bytes found.
        found: usize,
    },
    /// An object exceeds [`MAX_OBJECT_BYTES`].
    #[snafu(display("the object {key} has {found} bytes, at most {MAX_OBJECT_BYTES} are allowed"))]
    ObjectSize {
        /// Key of the object.
        key: SmolStr,
        /// Bytes found.
        found: usize,
    },
    /// The key of a row is empty.
    #[snafu(display("the key of a row is empty"))]
    RowKey,
    /// The text is not the key of an object.
    #[snafu(display("{key:?} is not a key of an object"))]
    ObjectKey {
        /// Text found.
        key: SmolStr,
    },
}

/// Rows and objects.
#[derive(Debug, Default)]
pub struct Engine {
    rows: BTreeMap<SmolStr, Row>,
    objects: BTreeMap<SmolStr, Bytes>,
    version: u64,
}

impl Engine {
    /// Applies one request as a whole, or declines it.
    ///
    /// # Errors
    /// [`Invalid`] when the request breaks a rule of the service; it then has no effect.
    pub fn apply(&mut self, request: Request) -> Result<Reply> {
        match request {
            Request::Transact(transaction) => self.transact(transaction),
            Request::Get(key) => Ok(Reply::Row(self.rows.get(&key).cloned())),
            Request::Scan {
                prefix,
                after,
                limit,
            } => Ok(self.scan(&prefix, &after, limit)),
            Request::PutObject(key, content) => self.put_object(key, content),
            Request::GetObject(key) => {
                check_object_key(&key)?;
                Ok(Reply::Object(self.objects.get(&key).cloned()))
            }
            Request::DeleteObject(key) => {
                check_object_key(&key)?;
                self.objects.remove(&key);
                Ok(Reply::Done)
            }
        }
    }

    /// Checks all conditions, then writes all rows with one new version.
    fn transact(&mut self, transaction: Transaction) -> Result<Reply> {
        for write in &transaction.writes {
            check_write(write)?;
        }
        let failed = self.failed(&transaction.conditions);
        if !failed.is_empty() {
            return Ok(Reply::Conflict(failed));
        }
        self.version += 1;
        for write in transaction.writes {
            match write {
                Write::Put(key, value) => self.put(key, value),
                Write::Delete(key) => {
                    self.rows.remove(&key);
                }
            }
        }
        Ok(Reply::Committed(self.version))
    }

    /// Keys of the conditions that do not hold, with their present rows.
    fn failed(&self, conditions: &[Condition]) -> Vec<(SmolStr, Option<Row>)> {
        let mut failed = Vec::new();
        for condition in conditions {
            let (key, wanted) = match condition {
                Condition::Absent(key) => (key, None),
                Condition::Version(key, version) => (key, Some(*version)),
            };
            let row = self.rows.get(key);
            if row.map(|r| r.version) != wanted {
                failed.push((key.clone(), row.cloned()));
            }
        }
        failed
    }

    /// Writes one row with the version of the present transaction.
    fn put(&mut self, key: SmolStr, value: Bytes) {
        let row = Row {
            key: key.clone(),
            version: self.version,
            value,
        };
        self.rows.insert(key, row);
    }

    /// Reads a page of rows; a page that holds any row is never empty because of its size.
    fn scan(&self, prefix: &SmolStr, after: &SmolStr, limit: u32) -> Reply {
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let mut rows = Vec::new();
        let mut bytes = 0;
        for (key, row) in self.rows.range::<SmolStr, _>((start, Bound::Unbounded)) {
            if !key.starts_with(prefix.as_str()) {
                break;
            }
            bytes += row.value.len();
            if rows.len() >= limit || (bytes > MAX_PAGE_BYTES && !rows.is_empty()) {
                return Reply::Rows(rows, true);
            }
            rows.push(row.clone());
        }
        Reply::Rows(rows, false)
    }

    /// Writes an object.
    fn put_object(&mut self, key: SmolStr, content: Bytes) -> Result<Reply> {
        check_object_key(&key)?;
        let found = content.len();
        ensure!(found <= MAX_OBJECT_BYTES, ObjectSizeSnafu { key, found });
        self.objects.insert(key, content);
        Ok(Reply::Done)
    }
}

/// Checks the key and the size of a write.
fn check_write(write: &Write) -> Result<()> {
    let (key, found) = match write {
        Write::Put(key, value) => (key, value.len()),
        Write::Delete(key) => (key, 0),
    };
    ensure!(!key.is_empty(), RowKeySnafu);
    ensure!(
        found <= MAX_ROW_BYTES,
        RowSizeSnafu {
            key: key.clone(),
            found
        }
    );
    Ok(())
}

/// Checks the key of an object.
fn check_object_key(key: &SmolStr) -> Result<()> {
    ensure!(is_object_key(key), ObjectKeySnafu { key: key.clone() });
    Ok(())
}
