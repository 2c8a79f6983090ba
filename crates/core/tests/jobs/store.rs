//! Model of the store: shards as parts with conditional writes.

use std::collections::BTreeMap;

use knapweedwall_core::scheduler::{StoreCall, StoreKey, StoreOutcome, StoreRow};
use knapweedwall_core::{Instance, Shard};
use smol_str::SmolStr;

/// Time of a call.
const CALL_MS: u64 = 12;

/// Time after which a call without an answer is given up by its client.
const LIMIT_MS: u64 = 900;

/// Rows of one reading.
const PAGE_ROWS: usize = 3;

/// Offset of the store's clock, to tell it apart from others.
const CLOCK_OFFSET_MS: u64 = 500_000;

/// A call on its way.
#[derive(Debug)]
struct Pending {
    due_ms: u64,
    entry: usize,
    instance: u64,
    key: StoreKey,
    call: StoreCall,
    /// The answer is lost.
    lost: bool,
}

/// An outcome: entry process, its run, the call, what became of it.
pub type Outcome = (usize, u64, StoreKey, StoreOutcome);

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    rows: BTreeMap<(Shard, SmolStr), StoreRow>,
    owners: BTreeMap<Shard, StoreRow>,
    beats: BTreeMap<Instance, u64>,
    version: u64,
    pending: Vec<Pending>,
    timeouts: Vec<(u64, Outcome)>,
    /// It answers nothing and does nothing.
    pub down: bool,
    /// Entry processes that cannot reach it.
    pub cut: Vec<usize>,
    /// Every so many writes lose their answer, and take effect at once or much later by turns.
    pub lose_each: u64,
    writes: u64,
    /// Calls of all entry processes.
    pub calls: u64,
    /// Entry process whose calls take longer, and by how much.
    pub slow: Option<(usize, u64)>,
    /// Answers to writes tell a later version than that of the rows.
    pub tells_later: bool,
}

impl Store {
    pub fn call(
        &mut self,
        now_ms: u64,
        (entry, instance): (usize, u64),
        key: StoreKey,
        call: StoreCall,
    ) {
        self.calls += 1;
        let timeout = (entry, instance, key, StoreOutcome::NoAnswer);
        if self.down || self.cut.contains(&entry) {
            return self.timeouts.push((now_ms + LIMIT_MS, timeout));
        }
        let writes = matches!(call, StoreCall::Write { .. });
        self.writes += u64::from(writes);
        let lost = writes && self.lose_each > 0 && self.writes.is_multiple_of(self.lose_each);
        let late = lost && (self.writes / self.lose_each).is_multiple_of(2);
        if lost {
            self.timeouts.push((now_ms + LIMIT_MS, timeout));
        }
        let slow = self.slow.filter(|(at, _)| *at == entry);
        let call_ms = CALL_MS + slow.map_or(0, |(_, ms)| ms);
        let due_ms = now_ms + if late { 3_000 } else { call_ms };
        self.pending.push(Pending {
            due_ms,
            entry,
            instance,
            key,
            call,
            lost,
        });
    }

    /// Writes a row as another program would, without a condition.
    pub fn put_job(&mut self, shard: Shard, id: &str, value: bytes::Bytes) {
        self.version += 1;
        let row = StoreRow {
            id: id.into(),
            value,
            version: self.version,
        };
        self.rows.insert((shard, id.into()), row);
    }

    /// Number of stored jobs.
    pub fn job_rows(&self) -> usize {
        self.rows.len()
    }

    /// The store's clock in a response.
    pub fn clock(&self, now_ms: u64, outcome: &StoreOutcome) -> Option<u64> {
        let response = !matches!(outcome, StoreOutcome::Declined | StoreOutcome::NoAnswer);
        response.then_some(now_ms + CLOCK_OFFSET_MS)
    }

    /// Outcomes that are due.
    pub fn pass(&mut self, now_ms: u64) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let pending = std::mem::take(&mut self.pending);
        for call in pending {
            if call.due_ms > now_ms {
                self.pending.push(call);
                continue;
            }
            let outcome = self.carry_out(&call);
            if !call.lost {
                outcomes.push((call.entry, call.instance, call.key, outcome));
            }
        }
        let timeouts = std::mem::take(&mut self.timeouts);
        for (due_ms, outcome) in timeouts {
            if due_ms > now_ms {
                self.timeouts.push((due_ms, outcome));
            } else {
                outcomes.push(outcome);
            }
        }
        outcomes
    }

    fn carry_out(&mut self, pending: &Pending) -> StoreOutcome {
        match &pending.call {
            StoreCall::ReadOwner(shard) => {
                let row = self.owners.get(shard).cloned();
                StoreOutcome::Rows(row.into_iter().collect(), false)
            }
            StoreCall::ReadJobs { shard, after } => {
                let rows = self.rows.iter();
                let rows = rows.filter(|((of, id), _)| of == shard && id > after);
                let mut rows: Vec<StoreRow> = rows.map(|(_, row)| row.clone()).collect();
                let more = rows.len() > PAGE_ROWS;
                rows.truncate(PAGE_ROWS);
                StoreOutcome::Rows(rows, more)
            }
            StoreCall::Write {
                shard,
                expected,
                owner,
                jobs,
            } => {
                let present = self.owners.get(shard);
                if present.map_or(0, |row| row.version) != *expected {
                    return StoreOutcome::Conflict(present.cloned());
                }
                self.version += 1;
                let row = |id: &SmolStr, value: &bytes::Bytes| StoreRow {
                    id: id.clone(),
                    value: value.clone(),
                    version: self.version,
                };
                self.owners.insert(*shard, row(&SmolStr::default(), owner));
                for (id, value) in jobs {
                    let key = (*shard, id.clone());
                    match value {
                        Some(value) => self.rows.insert(key, row(id, value)),
                        None => self.rows.remove(&key),
                    };
                }
                // The store may tell a version that it has reached meanwhile.
                self.version += u64::from(self.tells_later);
                StoreOutcome::Written(self.version)
            }
            StoreCall::WriteHeartbeat => {
                self.version += 1;
                self.beats.insert(Instance(pending.instance), self.version);
                StoreOutcome::Written(self.version)
            }
            StoreCall::ReadHeartbeat(instance) => {
                let version = self.beats.get(instance).copied();
                let row = version.map(|version| StoreRow {
                    id: SmolStr::default(),
                    value: bytes::Bytes::new(),
                    version,
                });
                StoreOutcome::Rows(row.into_iter().collect(), false)
            }
        }
    }
}
