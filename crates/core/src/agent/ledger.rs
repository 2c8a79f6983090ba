//! Ledger of the tasks that were started on the endpoint and are not settled yet.
//!
//! A job is settled when an entry process reports that the end of the job is stored durably. The
//! outcomes of its tasks are then no longer needed. A task is settled when it has ended and its job
//! is settled.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{Outcome, TaskReport};
use slotmap::{SlotMap, new_key_type};

use super::io::RunKey;
use super::run::MAX_RESULT_BYTES;
use super::settled_jobs::SettledJobs;
use crate::ids::{JobKey, Shard, TaskRef};

/// Memory of an entry without its result, in bytes: slot map entry, index node and spare capacity.
const ENTRY_BYTES: usize = 256;

new_key_type! {
    /// Key of a ledger entry.
    pub(super) struct LedgerEntryKey;
}

/// Limits of the ledger. A start that would exceed them is refused as `ledger_full`.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Maximum number of entries.
    pub entries: usize,
    /// Maximum memory, in bytes. A running task is counted with the largest possible result.
    pub bytes: usize,
    /// Maximum number of keys of settled jobs. The oldest are dropped first.
    pub settled: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            entries: 65_536,
            bytes: 64 * 1024 * 1024,
            settled: 262_144,
        }
    }
}

/// State of a started task.
#[derive(Debug)]
pub(super) enum LedgerEntryState {
    /// The task runs on the endpoint.
    Running(RunKey),
    /// The task has ended.
    Ended(TaskEnd),
}

/// How a task ended.
#[derive(Debug, Clone)]
pub(super) struct TaskEnd {
    pub(super) outcome: Outcome,
    pub(super) payload: Bytes,
    pub(super) run_us: u32,
    pub(super) code: &'static str,
}

/// A started task.
#[derive(Debug)]
pub(super) struct LedgerEntry {
    pub(super) task: TaskRef,
    pub(super) shard: Shard,
    pub(super) state: LedgerEntryState,
    /// Whether the job is settled, so that the entry is removed when the task ends.
    settled: bool,
}

impl LedgerEntry {
    /// Converts the entry to a report for an owner.
    pub(super) fn report(&self) -> TaskReport {
        let mut report = TaskReport {
            job: self.task.job.to_bytes(),
            index: self.task.index,
            shard: self.shard.0,
            outcome: Outcome::Running.into(),
            ..TaskReport::default()
        };
        if let LedgerEntryState::Ended(end) = &self.state {
            report.outcome = end.outcome.into();
            report.payload = end.payload.clone();
            report.run_us = end.run_us;
            report.code = end.code.to_owned();
        }
        report
    }
}

/// The tasks that were started on the endpoint and are not settled yet.
#[derive(Debug)]
pub(super) struct Ledger {
    limits: LedgerLimits,
    entries: SlotMap<LedgerEntryKey, LedgerEntry>,
    index: BTreeMap<TaskRef, LedgerEntryKey>,
    bytes: usize,
    settled: SettledJobs,
}

impl Ledger {
    pub(super) fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            entries: SlotMap::with_key(),
            index: BTreeMap::new(),
            bytes: 0,
            settled: SettledJobs::new(limits.settled),
        }
    }

    /// Whether the task was started before or its job was settled recently.
    pub(super) fn is_known(&self, task: &TaskRef) -> bool {
        self.index.contains_key(task) || self.settled.contains(task.job)
    }

    /// Whether there is room for one more task with the largest result.
    pub(super) fn has_room(&self) -> bool {
        let bytes = self.bytes + ENTRY_BYTES + MAX_RESULT_BYTES;
        self.entries.len() < self.limits.entries && bytes <= self.limits.bytes
    }

    /// Records the start of a task.
    pub(super) fn insert(&mut self, task: TaskRef, shard: Shard, run: RunKey) -> LedgerEntryKey {
        let entry = LedgerEntry {
            task,
            shard,
            state: LedgerEntryState::Running(run),
            settled: false,
        };
        let key = self.entries.insert(entry);
        self.index.insert(task, key);
        self.bytes += ENTRY_BYTES + MAX_RESULT_BYTES;
        key
    }

    /// Records the end of a running task and returns its report. `None` if it has already ended.
    pub(super) fn end(&mut self, key: LedgerEntryKey, end: TaskEnd) -> Option<(Shard, TaskReport)> {
        let entry = self.entries.get_mut(key)?;
        if !matches!(entry.state, LedgerEntryState::Running(_)) {
            return None;
        }
        self.bytes -= MAX_RESULT_BYTES;
        self.bytes += end.payload.len();
        entry.state = LedgerEntryState::Ended(end);
        let reported = (entry.shard, entry.report());
        if entry.settled {
            self.remove(key);
        }
        Some(reported)
    }

    /// Removes a running task that turned out not to have started. `None` if it has already ended.
    pub(super) fn remove_unstarted(&mut self, key: LedgerEntryKey) -> Option<(TaskRef, Shard)> {
        let entry = self.entries.get(key)?;
        if !matches!(entry.state, LedgerEntryState::Running(_)) {
            return None;
        }
        let removed = (entry.task, entry.shard);
        self.remove(key);
        Some(removed)
    }

    /// Marks a job as settled and removes its ended tasks. Its running tasks are removed when they
    /// end.
    pub(super) fn settle(&mut self, now: Duration, job: JobKey) {
        for key in self.keys_of(job) {
            let Some(entry) = self.entries.get_mut(key) else {
                continue;
            };
            entry.settled = true;
            if matches!(entry.state, LedgerEntryState::Ended(_)) {
                self.remove(key);
            }
        }
        self.settled.insert(now, job);
    }

    /// Drops expired keys of settled jobs.
    pub(super) fn expire(&mut self, now: Duration) {
        self.settled.expire(now);
    }

    /// Running tasks of a job, with their shards.
    pub(super) fn running_tasks_of(&self, job: JobKey) -> Vec<(RunKey, Shard)> {
        let mut running = Vec::new();
        for key in self.keys_of(job) {
            let entry = &self.entries[key];
            if let LedgerEntryState::Running(run) = entry.state {
                running.push((run, entry.shard));
            }
        }
        running
    }

    /// Reports on all tasks of a shard.
    pub(super) fn reports_of(&self, shard: Shard) -> impl Iterator<Item = TaskReport> {
        let of_shard = self.entries.values().filter(move |e| e.shard == shard);
        of_shard.map(LedgerEntry::report)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    fn keys_of(&self, job: JobKey) -> Vec<LedgerEntryKey> {
        let first = TaskRef { job, index: 0 };
        let last = TaskRef {
            job,
            index: u32::MAX,
        };
        let keys = self.index.range(first..=last).map(|(_, key)| *key);
        keys.collect()
    }

    fn remove(&mut self, key: LedgerEntryKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.index.remove(&entry.task);
        let result = match &entry.state {
            LedgerEntryState::Running(_) => MAX_RESULT_BYTES,
            LedgerEntryState::Ended(end) => end.payload.len(),
        };
        self.bytes -= ENTRY_BYTES + result;
    }
}
