//! Group commit of journal records.
//!
//! At most one write is in flight. It contains all pending records up to a size limit. The row is
//! put only if absent, so a write with a lost reply can be repeated unchanged until its outcome is
//! known without being applied twice.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{JournalBatch, JournalRecord};
use prost::Message;
use prost::encoding::{WireType, encode_key, encode_varint};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

use super::io::StoreOpId;
use super::shards::OwnedRow;
use super::store_keys;
use crate::ids::{Epoch, Instance, JobKey, Shard};
use crate::store::{Condition, Failure, Outcome, Reply, Transaction, Write};

/// Maximum size of a batch. A single record may be larger, up to [`MAX_RECORD_BYTES`].
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Maximum size of a record; leaves room for the overhead of the row below the store's limit.
pub const MAX_RECORD_BYTES: usize = 900 * 1024;

/// Maximum number of pending records; new jobs are refused above it.
const MAX_PENDING_RECORDS: usize = 4_096;

/// Maximum total size of pending records; new jobs are refused above it.
const MAX_PENDING_BYTES: usize = 32 * 1024 * 1024;

/// Number of writes that may be sent without a delay after an idle period.
const BURST_WRITES: f64 = 4.0;

/// Maximum delay of non-urgent records, which no caller waits for, so that they share a write with
/// others.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Minimum and maximum delay before a write is retried.
const RETRY_DELAY_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// Field number of `records` in `JournalBatch`.
const RECORDS_FIELD: u32 = 1;

/// Maximum encoded size of the field key and length of a record in a batch.
const MAX_RECORD_OVERHEAD: usize = 6;

/// A record with its precondition.
#[derive(Debug, Clone)]
struct PendingRecord {
    kind: RecordKind,
    ownership: OwnershipCheck,
    encoded: Bytes,
    queued_at: Duration,
    urgent: bool,
}

impl PendingRecord {
    /// Returns whether the precondition holds as far as this process knows.
    fn is_owned(&self, owned: &BTreeMap<Shard, OwnedRow>) -> bool {
        match self.ownership {
            OwnershipCheck::Shard(shard, epoch) => {
                owned.get(&shard).is_some_and(|row| row.epoch == epoch)
            }
            OwnershipCheck::All => true,
        }
    }
}

/// The event described by a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKind {
    /// Admission of this job.
    Admission(JobKey),
    /// End of this job.
    End(JobKey),
    /// Addition of this agent to the roster. Once it is durable, this process may send task starts
    /// to the agent.
    Roster(Instance),
}

/// Shards that must still be owned when a record is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipCheck {
    /// This shard in this epoch. A shard that was lost and claimed again has a new epoch, and
    /// another process may have served it in between.
    Shard(Shard, Epoch),
    /// All shards owned by the process.
    All,
}

#[derive(Debug)]
struct InFlightWrite {
    op: Option<StoreOpId>,
    records: Vec<PendingRecord>,
    value: Bytes,
    owned_shards: Vec<Shard>,
    attempts: u32,
    retry_at: Duration,
}

/// Outcome of a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The outcome is unknown or the write was not applied; it will be retried.
    Retry,
    /// The write is durable.
    Durable {
        /// The records in the write.
        records: Vec<RecordKind>,
        /// Shards owned when the write was built. If it contains a record with
        /// [`OwnershipCheck::All`], every attempt was conditional on owning all of them.
        owned_shards: Vec<Shard>,
    },
    /// Owner rows have changed; contains the current rows. The write is retried without the records
    /// of lost shards.
    OwnersChanged(Vec<(SmolStr, Option<crate::store::Row>)>),
    /// The row has other content: another process is writing to this journal.
    ForeignRow,
}

/// The journal of this process.
#[derive(Debug)]
pub struct Journal {
    instance: Instance,
    seq: u64,
    pending: VecDeque<PendingRecord>,
    pending_bytes: usize,
    urgent_count: usize,
    in_flight: Option<InFlightWrite>,
    tokens: f64,
    refilled_at: Duration,
    rate: f64,
    jitter: ChaCha8Rng,
    rows_written: u64,
}

impl Journal {
    /// Creates an empty journal named after the instance of its writer.
    pub fn new(instance: Instance, rate: f64) -> Self {
        Self {
            instance,
            seq: 0,
            pending: VecDeque::new(),
            pending_bytes: 0,
            urgent_count: 0,
            in_flight: None,
            tokens: BURST_WRITES,
            refilled_at: Duration::ZERO,
            rate,
            jitter: ChaCha8Rng::seed_from_u64(instance.0),
            rows_written: 0,
        }
    }

    /// Sets the maximum number of writes per second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate.max(1.0);
    }

    /// Returns whether a new job's record of `bytes` bytes can be accepted.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.pending.len() < MAX_PENDING_RECORDS && self.pending_bytes + bytes <= MAX_PENDING_BYTES
    }

    /// Returns the number of the last row known to be durable; 0 if there is none.
    pub fn durable_seq(&self) -> u64 {
        self.seq
    }

    pub fn rows_written(&self) -> u64 {
        self.rows_written
    }

    /// Returns the number of records that are pending or in flight.
    pub fn depth(&self) -> usize {
        self.pending.len()
            + self
                .in_flight
                .as_ref()
                .map_or(0, |in_flight| in_flight.records.len())
    }

    /// Returns whether no record is pending or in flight.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Adds a record. An `urgent` record triggers the next write; others may be delayed by
    /// [`BATCH_DELAY`].
    pub fn push(
        &mut self,
        now: Duration,
        (kind, record): (RecordKind, &JournalRecord),
        ownership: OwnershipCheck,
        urgent: bool,
    ) {
        let encoded = Bytes::from(record.encode_to_vec());
        self.pending_bytes += encoded.len();
        self.urgent_count += usize::from(urgent);
        self.pending.push_back(PendingRecord {
            kind,
            ownership,
            encoded,
            queued_at: now,
            urgent,
        });
    }

    /// Removes the admission of a job if it is still pending.
    pub fn cancel_admission(&mut self, job: JobKey) {
        self.remove(|pending| pending.kind == RecordKind::Admission(job));
    }

    /// Removes the pending records of a shard.
    pub fn remove_shard_records(&mut self, shard: Shard) {
        self.remove(|pending| match pending.ownership {
            OwnershipCheck::Shard(record_shard, _) => record_shard == shard,
            OwnershipCheck::All => false,
        });
    }

    fn remove(&mut self, should_remove: impl Fn(&PendingRecord) -> bool) {
        let (bytes, urgent) = (&mut self.pending_bytes, &mut self.urgent_count);
        self.pending.retain(|pending| {
            let should_remove = should_remove(pending);
            if should_remove {
                *bytes -= pending.encoded.len();
                *urgent -= usize::from(pending.urgent);
            }
            !should_remove
        });
    }

    /// Returns the next write, or a retry of the write in flight, if due.
    ///
    /// `owned` contains the owner rows of shards owned by this process; records of other shards or
    /// epochs are dropped. Calls `sent` for each record when it is added to its first write.
    pub fn next_write(
        &mut self,
        now: Duration,
        op: StoreOpId,
        owned: &BTreeMap<Shard, OwnedRow>,
        mut sent: impl FnMut(RecordKind),
    ) -> Option<Transaction> {
        self.refill(now);
        if self.tokens < 1.0 {
            return None;
        }
        match &self.in_flight {
            None => {
                if !self.is_due(now) {
                    return None;
                }
                self.start_batch(owned, &mut sent);
            }
            Some(in_flight) if in_flight.op.is_some() || in_flight.retry_at > now => return None,
            Some(_) => {}
        }
        let key = store_keys::journal(self.instance, self.seq + 1);
        let in_flight = self.in_flight.as_mut()?;
        in_flight.op = Some(op);
        in_flight.attempts += 1;
        self.tokens -= 1.0;
        let mut conditions = vec![Condition::Absent(key.clone())];
        conditions.extend(ownership_conditions(&in_flight.records, owned));
        Some(Transaction {
            conditions,
            writes: vec![Write::Put(key, in_flight.value.clone())],
        })
    }

    /// Handles the outcome of a write. Returns `None` if `op` is not the write in flight.
    pub fn handle_outcome(
        &mut self,
        now: Duration,
        op: StoreOpId,
        outcome: Outcome,
    ) -> Option<WriteOutcome> {
        let in_flight = self.in_flight.as_mut()?;
        if in_flight.op != Some(op) {
            return None;
        }
        in_flight.op = None;
        let outcome = match outcome {
            Ok(Reply::Committed(_)) => self.finish_write(),
            Ok(Reply::Conflict(rows)) => self.handle_conflict(rows),
            Ok(_) | Err(Failure::NotApplied(_) | Failure::Unknown(_)) => {
                self.schedule_retry(now);
                WriteOutcome::Retry
            }
        };
        Some(outcome)
    }

    /// Removes the records of lost shards from the write in flight.
    ///
    /// Earlier attempts with these records can no longer take effect, since the owner rows in their
    /// conditions have newer versions.
    pub fn drop_lost_records(&mut self, owned: &BTreeMap<Shard, OwnedRow>) {
        let Some(mut in_flight) = self.in_flight.take() else {
            return;
        };
        in_flight.records.retain(|pending| pending.is_owned(owned));
        in_flight.value = encode(&in_flight.records);
        if !in_flight.records.is_empty() {
            self.in_flight = Some(in_flight);
        }
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(BURST_WRITES);
    }

    fn is_due(&self, now: Duration) -> bool {
        let Some(first) = self.pending.front() else {
            return false;
        };
        now.saturating_sub(first.queued_at) >= BATCH_DELAY || self.urgent_count > 0
    }

    fn start_batch(
        &mut self,
        owned: &BTreeMap<Shard, OwnedRow>,
        sent: &mut impl FnMut(RecordKind),
    ) {
        let mut records = Vec::new();
        let mut size = 0;
        while let Some(pending) = self.pending.front() {
            if !records.is_empty() && size + pending.encoded.len() > MAX_BATCH_BYTES {
                break;
            }
            let Some(pending) = self.pending.pop_front() else {
                break;
            };
            self.pending_bytes -= pending.encoded.len();
            self.urgent_count -= usize::from(pending.urgent);
            if !pending.is_owned(owned) {
                continue;
            }
            sent(pending.kind);
            size += pending.encoded.len();
            records.push(pending);
        }
        if records.is_empty() {
            return;
        }
        let value = encode(&records);
        let owned_shards = owned.keys().copied().collect();
        self.in_flight = Some(InFlightWrite {
            op: None,
            records,
            value,
            owned_shards,
            attempts: 0,
            retry_at: Duration::ZERO,
        });
    }

    fn finish_write(&mut self) -> WriteOutcome {
        let Some(in_flight) = self.in_flight.take() else {
            return WriteOutcome::Retry;
        };
        self.seq += 1;
        self.rows_written += 1;
        let mut records = Vec::with_capacity(in_flight.records.len());
        for pending in in_flight.records {
            records.push(pending.kind);
        }
        WriteOutcome::Durable {
            records,
            owned_shards: in_flight.owned_shards,
        }
    }

    fn handle_conflict(&mut self, rows: Vec<(SmolStr, Option<crate::store::Row>)>) -> WriteOutcome {
        let key = store_keys::journal(self.instance, self.seq + 1);
        let Some(in_flight) = &self.in_flight else {
            return WriteOutcome::Retry;
        };
        for (name, row) in &rows {
            if *name != key {
                continue;
            }
            let applied = row.as_ref().is_some_and(|row| row.value == in_flight.value);
            return if applied {
                self.finish_write()
            } else {
                WriteOutcome::ForeignRow
            };
        }
        WriteOutcome::OwnersChanged(rows)
    }

    fn schedule_retry(&mut self, now: Duration) {
        let Some(in_flight) = self.in_flight.as_mut() else {
            return;
        };
        let backoff = RETRY_DELAY_RANGE.0 * 2_u32.saturating_pow(in_flight.attempts.min(10));
        let delay = backoff.min(RETRY_DELAY_RANGE.1);
        // Half of the delay is random, so that processes do not retry in lockstep.
        let random_fraction = f64::from(self.jitter.next_u32()) / f64::from(u32::MAX);
        in_flight.retry_at = now + delay.mul_f64(0.5 + random_fraction / 2.0);
    }
}

/// Encodes a `JournalBatch` from encoded records.
fn encode(pending: &[PendingRecord]) -> Bytes {
    let size: usize = pending.iter().map(|pending| pending.encoded.len()).sum();
    let mut batch = Vec::with_capacity(size + pending.len() * MAX_RECORD_OVERHEAD);
    for pending in pending {
        encode_key(RECORDS_FIELD, WireType::LengthDelimited, &mut batch);
        encode_varint(pending.encoded.len() as u64, &mut batch);
        batch.extend_from_slice(&pending.encoded);
    }
    batch.into()
}

fn ownership_conditions(
    records: &[PendingRecord],
    owned: &BTreeMap<Shard, OwnedRow>,
) -> Vec<Condition> {
    let mut versions = BTreeMap::new();
    for pending in records {
        match pending.ownership {
            OwnershipCheck::Shard(shard, epoch) => {
                let row = owned.get(&shard).filter(|row| row.epoch == epoch);
                // A record must not be written unless the shard is owned in the record's epoch. No
                // owner row has version 0, so the write fails and the record is removed. Version 0
                // takes precedence if other records of the shard have the current epoch.
                let version = row.map_or(0, |row| row.version);
                let expected = versions.entry(shard).or_insert(version);
                *expected = version.min(*expected);
            }
            OwnershipCheck::All => {
                for (shard, row) in owned {
                    versions.entry(*shard).or_insert(row.version);
                }
            }
        }
    }
    let mut conditions = Vec::with_capacity(versions.len());
    for (shard, version) in versions {
        conditions.push(Condition::Version(store_keys::owner(shard), version));
    }
    conditions
}

/// Decodes a journal row.
///
/// # Errors
///
/// Returns the decoder's error if the row is not a batch.
pub fn decode_batch(value: &[u8]) -> Result<JournalBatch, prost::DecodeError> {
    JournalBatch::decode(value)
}

/// Formats the outcome of a store operation for the log.
pub fn describe_outcome(outcome: &Outcome) -> SmolStr {
    match outcome {
        Ok(reply) => format_smolstr!("{reply:?}"),
        Err(Failure::NotApplied(text)) => format_smolstr!("not applied: {text}"),
        Err(Failure::Unknown(text)) => format_smolstr!("outcome unknown: {text}"),
    }
}
