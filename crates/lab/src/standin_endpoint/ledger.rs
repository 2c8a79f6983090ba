//! The endpoint's own record of every start.

use std::collections::{BTreeMap, HashMap};

use knapweedwall_core::JobKey;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

/// Most starts in a ledger, about 300 MB; requests above it are refused, so that none is missing.
const MAX_STARTS: usize = 2_000_000;

/// Most doubled starts that a summary names.
const MAX_NAMED: usize = 100;

/// How a start ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It has not ended.
    Running,
    /// The result was sent.
    Ok,
    /// A failure was sent.
    Failed,
    /// The task ran and the connection was reset.
    Reset,
    /// The task ran and bytes that are no HTTP response were sent.
    Garbage,
    /// The task ran and a result that is not UTF-8 was sent.
    Mangled,
    /// The task ran and its result was sent twice.
    Twice,
    /// The task ran and its result was held back.
    Late,
    /// The client closed the connection while the task ran.
    Dropped,
}

/// One start of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Key of the job, 32 hexadecimal digits.
    pub job: SmolStr,
    /// Position of the task in the job.
    pub index: u32,
    /// Class of the job.
    pub class: SmolStr,
    /// Whether the request was marked as non-idempotent.
    pub marked: bool,
    /// Time of the start, microseconds since 1970.
    pub started: u64,
    /// Time of the end, microseconds since 1970, if it has ended.
    pub ended: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
}

/// A task that started more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubled {
    /// Key of the job, 32 hexadecimal digits.
    pub job: SmolStr,
    /// Position of the task in the job.
    pub index: u32,
    /// Starts of this task.
    pub starts: u32,
}

/// Counts of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Starts.
    pub starts: u64,
    /// Starts beyond the first of a task, summed over all tasks.
    pub doubled: u64,
    /// Tasks that started more than once; the first hundred in order of their keys.
    pub examples: Vec<Doubled>,
    /// Starts while all slots were busy.
    pub violations: u64,
    /// Tasks that run now.
    pub running: u32,
    /// Most tasks that ever ran at once.
    pub peak: u32,
    /// Requests without valid headers; they are not started.
    pub invalid: u64,
    /// Ended starts by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Starts by class.
    pub classes: BTreeMap<SmolStr, u64>,
}

/// A task as its request describes it.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) job: JobKey,
    pub(super) index: u32,
    pub(super) class: SmolStr,
    pub(super) marked: bool,
}

/// One entry of the ledger.
#[derive(Debug)]
struct Entry {
    task: Task,
    started: u64,
    ended: Option<u64>,
    outcome: Outcome,
}

/// Every start since the endpoint opened or its ledger was cleared.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    entries: Vec<Entry>,
    starts: HashMap<(JobKey, u32), u32>,
    /// Tasks that started more than once, with their starts.
    doubled: BTreeMap<(JobKey, u32), u32>,
    outcomes: BTreeMap<Outcome, u64>,
    classes: BTreeMap<SmolStr, u64>,
    /// Entries of ledgers that were cleared.
    cleared: usize,
    running: u32,
    peak: u32,
    violations: u64,
    pub(super) invalid: u64,
}

impl Ledger {
    /// Records a start and returns its number, or `None` when the ledger is full.
    pub(super) fn start(&mut self, task: Task, slots: u32, now: u64) -> Option<usize> {
        if self.entries.len() >= MAX_STARTS {
            return None;
        }
        let starts = self.starts.entry((task.job, task.index)).or_default();
        *starts += 1;
        if *starts > 1 {
            self.doubled.insert((task.job, task.index), *starts);
        }
        *self.classes.entry(task.class.clone()).or_default() += 1;
        self.running += 1;
        self.peak = self.peak.max(self.running);
        if self.running > slots {
            self.violations += 1;
        }
        self.entries.push(Entry {
            task,
            started: now,
            ended: None,
            outcome: Outcome::Running,
        });
        Some(self.cleared + self.entries.len() - 1)
    }

    /// Records the end of start `number`.
    pub(super) fn end(&mut self, number: usize, outcome: Outcome, now: u64) {
        self.running -= 1;
        let position = number.checked_sub(self.cleared);
        let Some(entry) = position.and_then(|p| self.entries.get_mut(p)) else {
            return;
        };
        entry.ended = Some(now);
        entry.outcome = outcome;
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Forgets all starts; tasks that run now still occupy their slots.
    pub(super) fn clear(&mut self) {
        *self = Self {
            cleared: self.cleared + self.entries.len(),
            running: self.running,
            peak: self.running,
            ..Self::default()
        };
    }

    /// All starts in their order.
    pub(super) fn list(&self) -> Vec<Start> {
        let mut starts = Vec::with_capacity(self.entries.len());
        for entry in &self.entries {
            starts.push(Start {
                job: entry.task.job.to_smolstr(),
                index: entry.task.index,
                class: entry.task.class.clone(),
                marked: entry.task.marked,
                started: entry.started,
                ended: entry.ended,
                outcome: entry.outcome,
            });
        }
        starts
    }

    /// Counts.
    pub(super) fn summary(&self) -> Summary {
        let mut summary = Summary {
            starts: u64::try_from(self.entries.len()).unwrap_or(u64::MAX),
            violations: self.violations,
            running: self.running,
            peak: self.peak,
            invalid: self.invalid,
            outcomes: self.outcomes.clone(),
            classes: self.classes.clone(),
            ..Summary::default()
        };
        for (&(job, index), &starts) in &self.doubled {
            summary.doubled += u64::from(starts - 1);
            if summary.examples.len() < MAX_NAMED {
                let job = job.to_smolstr();
                summary.examples.push(Doubled { job, index, starts });
            }
        }
        summary
    }
}
