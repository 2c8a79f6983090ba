//! Group commit of journal records.
//!
//! One write is in flight at a time and takes all records that wait, up to a size. Its row is put
//! only if absent, so a write whose reply was lost is repeated unchanged until its outcome is
//! known: the row can be written once.

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
use super::rows;
use super::shards::OwnedRow;
use crate::ids::{Epoch, Instance, JobKey, Shard};
use crate::store::{Condition, Failure, Outcome, Reply, Transaction, Write};

/// Largest batch, in bytes. One record may be larger, up to [`MAX_RECORD_BYTES`].
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Largest record, in bytes; leaves room for the row's overhead below the store's limit.
pub const MAX_RECORD_BYTES: usize = 900 * 1024;

/// Most records that wait; more are not taken.
const MAX_WAITING: usize = 4_096;

/// Most bytes of records that wait.
const MAX_WAITING_BYTES: usize = 32 * 1024 * 1024;

/// Writes that may be sent without a pause after an idle time.
const BURST_WRITES: f64 = 4.0;

/// How long records that no caller waits for may wait for others, to share a write.
const LAZY_DELAY: Duration = Duration::from_millis(50);

/// First and longest pause before a write is repeated.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// Number of the field `records` of `JournalBatch`.
const RECORDS_FIELD: u32 = 1;

/// Most bytes of the key and the length of a record in a batch.
const MAX_RECORD_HEAD: usize = 6;

/// A record with what must hold for it to be written.
#[derive(Debug, Clone)]
struct Waiting {
    subject: Subject,
    guard: Guard,
    encoded: Bytes,
    since: Duration,
    urgent: bool,
}

impl Waiting {
    /// Whether the record may be written as far as this process knows.
    fn is_owned(&self, owned: &BTreeMap<Shard, OwnedRow>) -> bool {
        match self.guard {
            Guard::Shard(shard, epoch) => owned.get(&shard).is_some_and(|row| row.epoch == epoch),
            Guard::All => true,
        }
    }
}

/// What a record is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The admission of this job.
    Admission(JobKey),
    /// The end of this job.
    End(JobKey),
    /// The right to send starts to this agent.
    Roster(Instance),
}

/// Which shards must still be owned when a record is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// This shard, in this epoch. A shard that was lost and claimed again has another epoch, and
    /// another process may have served it in between.
    Shard(Shard, Epoch),
    /// All shards that the process owns.
    All,
}

/// The write in flight.
#[derive(Debug)]
struct Flight {
    op: Option<StoreOpId>,
    records: Vec<Waiting>,
    value: Bytes,
    covered: Vec<Shard>,
    attempts: u32,
    retry: Duration,
}

/// What became of a write.
#[derive(Debug)]
pub enum Verdict {
    /// The outcome is not known, or nothing was applied; the write will be repeated.
    Again,
    /// These records are durable, and every attempt was conditional on the ownership of all of
    /// these shards if it held a record with [`Guard::All`].
    Durable(Vec<Subject>, Vec<Shard>),
    /// These shards' rows have changed: the present rows. The write goes on without them if they
    /// are lost.
    Moved(Vec<(SmolStr, Option<crate::store::Row>)>),
    /// The row holds something else: another process writes to this log.
    Foreign,
}

/// The journal of this process.
#[derive(Debug)]
pub struct Journal {
    log: Instance,
    seq: u64,
    waiting: VecDeque<Waiting>,
    bytes: usize,
    urgent: usize,
    flight: Option<Flight>,
    tokens: f64,
    refilled: Duration,
    rate: f64,
    jitter: ChaCha8Rng,
    writes: u64,
}

impl Journal {
    /// An empty journal with the writer's instance as its name.
    pub fn new(log: Instance, rate: f64) -> Self {
        Self {
            log,
            seq: 0,
            waiting: VecDeque::new(),
            bytes: 0,
            urgent: 0,
            flight: None,
            tokens: BURST_WRITES,
            refilled: Duration::ZERO,
            rate,
            jitter: ChaCha8Rng::seed_from_u64(log.0),
            writes: 0,
        }
    }

    /// Sets the writes a second that this process may use.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate.max(1.0);
    }

    /// Whether a record of `bytes` can be taken for a new job.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.waiting.len() < MAX_WAITING && self.bytes + bytes <= MAX_WAITING_BYTES
    }

    /// Number of the last row that is known durable; 0 for none.
    pub fn durable_seq(&self) -> u64 {
        self.seq
    }

    /// Rows written so far.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Records that wait or are in flight.
    pub fn depth(&self) -> usize {
        self.waiting.len()
            + self
                .flight
                .as_ref()
                .map_or(0, |flight| flight.records.len())
    }

    /// Whether no record waits or is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.flight.is_none()
    }

    /// Adds a record. `urgent` records go out with the next write; others may wait a little.
    pub fn push(
        &mut self,
        now: Duration,
        (subject, record): (Subject, &JournalRecord),
        guard: Guard,
        urgent: bool,
    ) {
        let encoded = Bytes::from(record.encode_to_vec());
        self.bytes += encoded.len();
        self.urgent += usize::from(urgent);
        self.waiting.push_back(Waiting {
            subject,
            guard,
            encoded,
            since: now,
            urgent,
        });
    }

    /// Removes the admission of a job, if it waits.
    pub fn withdraw(&mut self, job: JobKey) {
        self.remove(|waiting| waiting.subject == Subject::Admission(job));
    }

    /// Removes the records of a shard that wait.
    pub fn withdraw_shard(&mut self, shard: Shard) {
        self.remove(|waiting| matches!(waiting.guard, Guard::Shard(of, _) if of == shard));
    }

    fn remove(&mut self, gone: impl Fn(&Waiting) -> bool) {
        let (bytes, urgent) = (&mut self.bytes, &mut self.urgent);
        self.waiting.retain(|waiting| {
            let gone = gone(waiting);
            if gone {
                *bytes -= waiting.encoded.len();
                *urgent -= usize::from(waiting.urgent);
            }
            !gone
        });
    }

    /// Starts the next write, or repeats the one in flight, if it is time.
    ///
    /// `owned` gives the row of each shard that this process owns; records of other shards or
    /// epochs are dropped. Calls `sent` for each record that goes into its first write.
    pub fn next(
        &mut self,
        now: Duration,
        op: StoreOpId,
        owned: &BTreeMap<Shard, OwnedRow>,
        mut sent: impl FnMut(Subject),
    ) -> Option<Transaction> {
        self.refill(now);
        if self.tokens < 1.0 {
            return None;
        }
        match &self.flight {
            None => {
                if !self.is_due(now) {
                    return None;
                }
                self.fill(owned, &mut sent);
            }
            Some(flight) if flight.op.is_some() || flight.retry > now => return None,
            Some(_) => {}
        }
        let key = rows::journal(self.log, self.seq + 1);
        let flight = self.flight.as_mut()?;
        flight.op = Some(op);
        flight.attempts += 1;
        self.tokens -= 1.0;
        let mut conditions = vec![Condition::Absent(key.clone())];
        conditions.extend(guards(&flight.records, owned));
        Some(Transaction {
            conditions,
            writes: vec![Write::Put(key, flight.value.clone())],
        })
    }

    /// Takes the outcome of a write. `None` when `op` is not the write in flight.
    pub fn outcome(&mut self, now: Duration, op: StoreOpId, outcome: Outcome) -> Option<Verdict> {
        let flight = self.flight.as_mut()?;
        if flight.op != Some(op) {
            return None;
        }
        flight.op = None;
        let verdict = match outcome {
            Ok(Reply::Committed(_)) => self.durable(),
            Ok(Reply::Conflict(rows)) => self.conflict(rows),
            Ok(_) | Err(Failure::NotApplied(_) | Failure::Unknown(_)) => {
                self.delay(now);
                Verdict::Again
            }
        };
        Some(verdict)
    }

    /// Takes the records of lost shards out of the write in flight.
    ///
    /// An earlier attempt with these records cannot take effect any more, since the rows that it
    /// is conditional on have newer versions.
    pub fn strip(&mut self, owned: &BTreeMap<Shard, OwnedRow>) {
        let Some(mut flight) = self.flight.take() else {
            return;
        };
        flight.records.retain(|waiting| waiting.is_owned(owned));
        flight.value = encode(&flight.records);
        if !flight.records.is_empty() {
            self.flight = Some(flight);
        }
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled);
        self.refilled = now;
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(BURST_WRITES);
    }

    fn is_due(&self, now: Duration) -> bool {
        let Some(first) = self.waiting.front() else {
            return false;
        };
        now.saturating_sub(first.since) >= LAZY_DELAY || self.urgent > 0
    }

    fn fill(&mut self, owned: &BTreeMap<Shard, OwnedRow>, sent: &mut impl FnMut(Subject)) {
        let mut records = Vec::new();
        let mut size = 0;
        while let Some(waiting) = self.waiting.front() {
            if !records.is_empty() && size + waiting.encoded.len() > MAX_BATCH_BYTES {
                break;
            }
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            self.bytes -= waiting.encoded.len();
            self.urgent -= usize::from(waiting.urgent);
            if !waiting.is_owned(owned) {
                continue;
            }
            sent(waiting.subject);
            size += waiting.encoded.len();
            records.push(waiting);
        }
        if records.is_empty() {
            return;
        }
        let value = encode(&records);
        let covered = owned.keys().copied().collect();
        let retry = Duration::ZERO;
        self.flight = Some(Flight {
            op: None,
            records,
            value,
            covered,
            attempts: 0,
            retry,
        });
    }

    fn durable(&mut self) -> Verdict {
        let Some(flight) = self.flight.take() else {
            return Verdict::Again;
        };
        self.seq += 1;
        self.writes += 1;
        let mut subjects = Vec::with_capacity(flight.records.len());
        for waiting in flight.records {
            subjects.push(waiting.subject);
        }
        Verdict::Durable(subjects, flight.covered)
    }

    fn conflict(&mut self, rows: Vec<(SmolStr, Option<crate::store::Row>)>) -> Verdict {
        let key = rows::journal(self.log, self.seq + 1);
        let Some(flight) = &self.flight else {
            return Verdict::Again;
        };
        for (name, row) in &rows {
            if *name != key {
                continue;
            }
            let applied = row.as_ref().is_some_and(|row| row.value == flight.value);
            return if applied {
                self.durable()
            } else {
                Verdict::Foreign
            };
        }
        Verdict::Moved(rows)
    }

    fn delay(&mut self, now: Duration) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        let doubled = RETRY_RANGE.0 * 2_u32.saturating_pow(flight.attempts.min(10));
        let pause = doubled.min(RETRY_RANGE.1);
        // Half of the pause is random, so that processes do not repeat their writes together.
        let share = f64::from(self.jitter.next_u32()) / f64::from(u32::MAX);
        flight.retry = now + pause.mul_f64(0.5 + share / 2.0);
    }
}

/// Encodes a `JournalBatch` from its encoded records.
fn encode(waiting: &[Waiting]) -> Bytes {
    let size: usize = waiting.iter().map(|waiting| waiting.encoded.len()).sum();
    let mut batch = Vec::with_capacity(size + waiting.len() * MAX_RECORD_HEAD);
    for waiting in waiting {
        encode_key(RECORDS_FIELD, WireType::LengthDelimited, &mut batch);
        encode_varint(waiting.encoded.len() as u64, &mut batch);
        batch.extend_from_slice(&waiting.encoded);
    }
    batch.into()
}

fn guards(records: &[Waiting], owned: &BTreeMap<Shard, OwnedRow>) -> Vec<Condition> {
    let mut versions = BTreeMap::new();
    for waiting in records {
        match waiting.guard {
            Guard::Shard(shard, epoch) => {
                let row = owned.get(&shard).filter(|row| row.epoch == epoch);
                // Without the epoch the record must not be written: version 0 never exists, so
                // the write fails and the record is taken out.
                let version = row.map_or(0, |row| row.version);
                let lowest = versions.entry(shard).or_insert(version);
                *lowest = version.min(*lowest);
            }
            Guard::All => {
                for (shard, row) in owned {
                    versions.entry(*shard).or_insert(row.version);
                }
            }
        }
    }
    let mut conditions = Vec::with_capacity(versions.len());
    for (shard, version) in versions {
        conditions.push(Condition::Version(rows::owner(shard), version));
    }
    conditions
}

/// Reads a journal row.
///
/// # Errors
/// The decoder's error when the row is not a batch.
pub fn decode(value: &[u8]) -> Result<JournalBatch, prost::DecodeError> {
    JournalBatch::decode(value)
}

/// Short description of a failure for the log.
pub fn describe(outcome: &Outcome) -> SmolStr {
    match outcome {
        Ok(reply) => format_smolstr!("{reply:?}"),
        Err(Failure::NotApplied(text)) => format_smolstr!("not applied: {text}"),
        Err(Failure::Unknown(text)) => format_smolstr!("outcome unknown: {text}"),
    }
}
