//! Reads the records of claimed shards from the journals of their former owners.

use std::collections::VecDeque;
use std::time::Duration;

use knapweedwall_wire::{Admit, Checkpoint, End, JournalRecord, journal_record::Body};
use prost::Message;
use smol_str::SmolStr;

use super::io::StoreOpId;
use super::{journal, store_keys};
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::ids::{Instance, JobKey, Shard};
use crate::store::{Outcome, Reply, Request, Row};

/// Maximum number of rows in one read.
const PAGE_ROWS: u32 = 200;

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Journal records of a job.
#[derive(Debug, Clone, Default)]
pub struct JobRecord {
    pub admit: Option<Admit>,
    pub end: Option<End>,
    pub shard: Shard,
}

/// The next read, or the read in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    /// The row that refers to the latest checkpoint.
    Pointer,
    /// The checkpoint with this number, which covers the journal up to row `seq`.
    Checkpoint { number: u64, seq: u64 },
    /// The rows after `after`; reading started with checkpoint `number`.
    Rows { number: u64, after: SmolStr },
    /// The pointer again. If a newer checkpoint was written in the meantime, rows may have been
    /// deleted before they were read, so the journal is read again from its start.
    Verify(u64),
}

/// Reader of the journals of former owners, for shards that were claimed together.
#[derive(Debug)]
pub struct Recovery {
    /// Shards to recover.
    pub shards: DeterministicSet<Shard>,
    /// Jobs found so far.
    pub jobs: DeterministicMap<JobKey, JobRecord>,
    /// Agent instances that may have started tasks of the shards.
    pub roster: DeterministicSet<Instance>,
    /// Monotonic time at which the claim became durable.
    pub claimed_at: Duration,
    journals: VecDeque<Instance>,
    step: Step,
    op: Option<StoreOpId>,
    retry_at: Duration,
    decode_errors: u64,
}

impl Recovery {
    /// Creates a reader of `journals`, which are ordered oldest first.
    pub fn new(
        now: Duration,
        shards: DeterministicSet<Shard>,
        journals: VecDeque<Instance>,
    ) -> Self {
        Self {
            shards,
            jobs: DeterministicMap::default(),
            roster: DeterministicSet::default(),
            claimed_at: now,
            journals,
            step: Step::Pointer,
            op: None,
            retry_at: Duration::ZERO,
            decode_errors: 0,
        }
    }

    /// Returns whether all journals have been read.
    pub fn is_done(&self) -> bool {
        self.journals.is_empty()
    }

    /// Returns the number of rows and records that could not be decoded.
    pub fn decode_errors(&self) -> u64 {
        self.decode_errors
    }

    /// Returns the next read, unless one is in flight or everything has been read.
    pub fn next_read(&mut self, now: Duration, op: StoreOpId) -> Option<Request> {
        let journal = *self.journals.front()?;
        if self.op.is_some() || now < self.retry_at {
            return None;
        }
        self.op = Some(op);
        let request = match &self.step {
            Step::Pointer | Step::Verify(_) => {
                Request::Get(store_keys::checkpoint_pointer(journal))
            }
            Step::Checkpoint { number, .. } => {
                Request::GetObject(store_keys::checkpoint(journal, *number))
            }
            Step::Rows { after, .. } => Request::Scan {
                prefix: store_keys::journal_prefix(journal),
                after: after.clone(),
                limit: PAGE_ROWS,
            },
        };
        Some(request)
    }

    /// Handles the outcome of a read. Returns `false` if `op` is not the read in flight.
    pub fn handle_outcome(&mut self, now: Duration, op: StoreOpId, outcome: Outcome) -> bool {
        if self.op != Some(op) {
            return false;
        }
        self.op = None;
        match outcome {
            Ok(Reply::Row(row)) => self.apply_pointer(row.as_ref()),
            Ok(Reply::Object(object)) => self.handle_checkpoint(object.as_deref()),
            Ok(Reply::Rows(found, more)) => self.apply_rows(&found, more),
            // Reads are idempotent, so they are retried until the store answers.
            _ => self.retry_at = now + RETRY_DELAY,
        }
        true
    }

    fn apply_pointer(&mut self, row: Option<&Row>) {
        let found = row.and_then(|row| store_keys::parse_checkpoint_pointer(&row.value));
        let (number, seq) = found.unwrap_or_default();
        self.step = match self.step {
            Step::Verify(first_number) if first_number == number => {
                self.journals.pop_front();
                Step::Pointer
            }
            _ if number == 0 => Step::Rows {
                number,
                after: SmolStr::default(),
            },
            _ => Step::Checkpoint { number, seq },
        };
    }

    fn handle_checkpoint(&mut self, object: Option<&[u8]>) {
        let (Some(journal), Step::Checkpoint { number, seq }) = (self.journals.front(), &self.step)
        else {
            return;
        };
        let (journal, number, seq) = (*journal, *number, *seq);
        match object.map(Checkpoint::decode) {
            Some(Ok(checkpoint)) => {
                self.apply_checkpoint(checkpoint);
                self.step = Step::Rows {
                    number,
                    after: store_keys::journal(journal, seq),
                };
            }
            Some(Err(_)) => {
                self.decode_errors += 1;
                self.step = Step::Rows {
                    number,
                    after: SmolStr::default(),
                };
            }
            // A newer checkpoint has replaced this one.
            None => self.step = Step::Pointer,
        }
    }

    fn apply_checkpoint(&mut self, checkpoint: Checkpoint) {
        for roster in checkpoint.roster {
            self.roster.insert(Instance(roster.instance));
        }
        for job in checkpoint.jobs {
            let shard = Shard(job.shard);
            if !self.shards.contains(&shard) {
                continue;
            }
            if let Some(admit) = job.admit {
                self.add_admission(shard, admit);
            }
            if let Some(end) = job.end {
                self.add_end(shard, end);
            }
        }
    }

    fn apply_rows(&mut self, found: &[Row], more: bool) {
        for row in found {
            match journal::decode_batch(&row.value) {
                Ok(batch) => {
                    for record in batch.records {
                        self.apply_record(record);
                    }
                }
                Err(_) => self.decode_errors += 1,
            }
        }
        let Step::Rows { number, .. } = self.step else {
            return;
        };
        self.step = match found.last() {
            Some(last) if more => Step::Rows {
                number,
                after: last.key.clone(),
            },
            _ => Step::Verify(number),
        };
    }

    fn apply_record(&mut self, record: JournalRecord) {
        let shard = Shard(record.shard);
        match record.body {
            Some(Body::RosterAdd(roster)) => {
                self.roster.insert(Instance(roster.instance));
            }
            Some(Body::Admit(admit)) if self.shards.contains(&shard) => {
                self.add_admission(shard, admit)
            }
            Some(Body::End(end)) if self.shards.contains(&shard) => self.add_end(shard, end),
            _ => {}
        }
    }

    fn add_admission(&mut self, shard: Shard, admit: Admit) {
        let Ok(key) = JobKey::from_bytes(&admit.job) else {
            self.decode_errors += 1;
            return;
        };
        let record = self.jobs.entry(key).or_default();
        record.shard = shard;
        record.admit = Some(admit);
    }

    fn add_end(&mut self, shard: Shard, end: End) {
        let Ok(key) = JobKey::from_bytes(&end.job) else {
            self.decode_errors += 1;
            return;
        };
        let record = self.jobs.entry(key).or_default();
        record.shard = shard;
        record.end = Some(end);
    }
}

/// Reconciliation of a shard's tasks: waits until agents have reported which of them they started.
#[derive(Debug)]
pub struct Reconciliation {
    /// Agents that have not reported yet.
    pub awaited_agents: DeterministicSet<Instance>,
    /// Whether an agent was lost before it reported.
    pub agent_lost: bool,
    /// Monotonic time after which agents that have not reported count as lost.
    pub deadline: Duration,
}
