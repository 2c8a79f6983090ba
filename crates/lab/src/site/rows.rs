//! Rows of the platform's store, without network.

use std::collections::{BTreeMap, VecDeque};

/// Changes that are kept for readers of the feed.
const HISTORY: usize = 2_000;

/// Name of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Table.
    pub table: String,
    /// Part of the table; may be empty.
    pub part: String,
    /// Key.
    pub key: String,
}

/// A row as it is, or as it was when it was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its name.
    pub id: RowKey,
    /// Its value; none when it was removed.
    pub value: Option<String>,
    /// Version of the transaction that wrote it.
    pub version: u64,
}

/// Version that a row must have; 0 stands for a row that does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The row.
    pub id: RowKey,
    /// Its version.
    pub version: u64,
}

/// One change of a transaction: a new value, or none to remove the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The row.
    pub id: RowKey,
    /// New value.
    pub value: Option<String>,
}

/// A condition did not hold; the rows of all conditions as they are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict(pub Vec<Row>);

/// The changes that were asked for are no longer kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryGone;

/// All rows.
#[derive(Debug, Default)]
pub struct Rows {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
    history: VecDeque<(u64, RowKey)>,
    /// Version of the newest change that is not kept any more.
    dropped: u64,
}

impl Rows {
    /// Version of the last transaction.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies all changes, or none if a condition does not hold. Returns the new version.
    ///
    /// # Errors
    /// [`Conflict`] with the present rows.
    pub fn transact(
        &mut self,
        conditions: &[Condition],
        changes: Vec<Change>,
    ) -> Result<u64, Conflict> {
        let held = |condition: &Condition| {
            let row = self.rows.get(&condition.id);
            row.map_or(0, |row| row.version) == condition.version
        };
        if !conditions.iter().all(held) {
            let rows = conditions.iter().filter_map(|c| self.rows.get(&c.id));
            return Err(Conflict(rows.cloned().collect()));
        }
        self.version += 1;
        for change in changes {
            self.history.push_back((self.version, change.id.clone()));
            let Some(value) = change.value else {
                self.rows.remove(&change.id);
                continue;
            };
            let row = Row {
                id: change.id.clone(),
                value: Some(value),
                version: self.version,
            };
            self.rows.insert(change.id, row);
        }
        while self.history.len() > HISTORY {
            if let Some((version, _)) = self.history.pop_front() {
                self.dropped = version;
            }
        }
        Ok(self.version)
    }

    /// Rows of one part of a table in the order of their keys, from `from` on and before `target`;
    /// at most `limit`. Also whether rows were left out.
    #[must_use]
    pub fn read(
        &self,
        table: &str,
        part: &str,
        range: (&str, Option<&str>),
        limit: usize,
    ) -> (Vec<Row>, bool) {
        let mut found = Vec::new();
        for (id, row) in &self.rows {
            let inside = id.table == table && id.part == part && id.key.as_str() >= range.0;
            if !inside || range.1.is_some_and(|target| id.key.as_str() >= target) {
                continue;
            }
            if found.len() == limit {
                return (found, true);
            }
            found.push(row.clone());
        }
        (found, false)
    }

    /// Names of the parts of a table after `after`.
    #[must_use]
    pub fn parts(&self, table: &str, after: &str) -> Vec<String> {
        let of_table = self.rows.keys().filter(|id| id.table == table);
        let mut parts: Vec<String> = of_table.map(|id| id.part.clone()).collect();
        parts.dedup();
        parts.retain(|part| after.is_empty() || part.as_str() > after);
        parts
    }

    /// Rows of a table that changed after a version, in order, each as it is now.
    ///
    /// # Errors
    /// [`HistoryGone`] when changes after that version are no longer kept.
    pub fn changes(&self, table: &str, after: u64) -> Result<Vec<Row>, HistoryGone> {
        if after < self.dropped {
            return Err(HistoryGone);
        }
        let mut changed: Vec<Row> = Vec::new();
        for (version, id) in &self.history {
            if *version <= after || id.table != table {
                continue;
            }
            changed.retain(|row| row.id != *id);
            let removed = || Row {
                id: id.clone(),
                value: None,
                version: *version,
            };
            changed.push(self.rows.get(id).cloned().unwrap_or_else(removed));
        }
        Ok(changed)
    }

    /// Forgets all changes so far; the rows stay.
    pub fn drop_history(&mut self) {
        self.history.clear();
        self.dropped = self.version;
    }
}
