//! Journal compaction: writes a snapshot of the process's shards as an object, then deletes the
//! journal rows that it covers.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{Admit, Checkpoint, CheckpointJob, End, OwnerRow, Roster as RosterRecord};
use prost::Message;
use smol_str::SmolStr;

use super::agents::Agents;
use super::io::StoreOpId;
use super::jobs::{Admission, CollectedJob, Job, JobOutcome, Jobs};
use super::shards::{ShardRole, Shards};
use super::store_keys;
use crate::ids::{Epoch, Instance, JobKey, Shard};
use crate::store::{Condition, Outcome, Reply, Request, Row, Transaction, Write};

/// Minimum number of new journal rows before a checkpoint is written.
const MIN_ROWS: u64 = 500;

/// Minimum interval between checkpoints.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of rows deleted in one transaction.
const MAX_DELETED_ROWS: u64 = 200;

/// Delay before an unfinished step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Shards in a snapshot, with the epochs in which they were owned.
type SnapshotShards = Vec<(Shard, Epoch)>;

/// The operation in flight.
#[derive(Debug)]
enum Step {
    Idle,
    /// The snapshot is being written.
    Object {
        op: StoreOpId,
        seq: u64,
        shards: SnapshotShards,
    },
    /// The snapshot is durable; the pointer row that refers to it is pending or being written.
    Pointer {
        op: Option<StoreOpId>,
        seq: u64,
        retry_at: Duration,
        shards: SnapshotShards,
        rows: Vec<(Shard, OwnerRow)>,
    },
    /// Rows up to `last_seq` are being deleted.
    Delete {
        op: StoreOpId,
        last_seq: u64,
    },
}

/// Checkpoint progress of a process.
#[derive(Debug)]
pub struct Checkpoints {
    journal: Instance,
    step: Step,
    number: u64,
    pointer_version: u64,
    checkpointed_seq: u64,
    deleted_seq: u64,
    next_due: Duration,
}

/// Result of a completed store operation.
#[derive(Debug, PartialEq, Eq)]
pub enum StepOutcome {
    /// No action is required.
    None,
    /// The pointer is durable together with these owner rows, all at this version.
    Durable(u64, Vec<(Shard, OwnerRow)>),
    /// The pointer was not written because it or owner rows have changed; contains the current
    /// rows.
    Conflict(Vec<(SmolStr, Option<Row>)>),
}

impl Checkpoints {
    pub fn new(journal: Instance) -> Self {
        Self {
            journal,
            step: Step::Idle,
            number: 0,
            pointer_version: 0,
            checkpointed_seq: 0,
            deleted_seq: 0,
            next_due: Duration::ZERO,
        }
    }

    /// Returns whether a checkpoint is due. `force` is set if shards still refer to journals of
    /// former owners or the roster has shrunk.
    pub fn is_due(&self, now: Duration, seq: u64, force: bool) -> bool {
        let grown = seq.saturating_sub(self.checkpointed_seq) >= MIN_ROWS;
        matches!(self.step, Step::Idle) && now >= self.next_due && (grown || force) && seq > 0
    }

    /// Starts a checkpoint with the given snapshot.
    pub fn start(
        &mut self,
        now: Duration,
        op: StoreOpId,
        (seq, snapshot): (u64, Bytes),
        shards: &Shards,
    ) -> Request {
        self.next_due = now + MIN_INTERVAL;
        // Each attempt uses a new number, so that a delayed write of an older snapshot cannot
        // replace it.
        self.number += 1;
        let shards = served_shards(shards);
        self.step = Step::Object { op, seq, shards };
        Request::PutObject(store_keys::checkpoint(self.journal, self.number), snapshot)
    }

    /// Returns the transaction that publishes the new snapshot and makes this journal the only
    /// source of its shards, if it is due.
    ///
    /// The `sources` of an owner row name the journals that a successor reads to recover the shard.
    /// Both changes must be atomic: without the snapshot, a successor that reads only this journal
    /// would miss the records in the former sources. The transaction is conditional on the
    /// ownership of all shards in the snapshot, since a successor may be reading the previous
    /// snapshot, which can list agents that the new one omits. Shards claimed after the snapshot
    /// was taken keep their sources.
    pub fn next_pointer_write(
        &mut self,
        now: Duration,
        op: StoreOpId,
        shards: &Shards,
    ) -> Option<Request> {
        let Step::Pointer {
            op: in_flight_op @ None,
            seq,
            retry_at,
            shards: served_shards,
            rows,
        } = &mut self.step
        else {
            return None;
        };
        if now < *retry_at {
            return None;
        }
        let Some((changed_rows, mut transaction)) =
            plan_source_update(self.journal, served_shards, shards)
        else {
            self.step = Step::Idle;
            return None;
        };
        *in_flight_op = Some(op);
        *rows = changed_rows;
        let key = store_keys::checkpoint_pointer(self.journal);
        transaction.conditions.push(match self.pointer_version {
            0 => Condition::Absent(key.clone()),
            version => Condition::Version(key.clone(), version),
        });
        transaction.writes.push(Write::Put(
            key,
            store_keys::checkpoint_pointer_value(self.number, *seq),
        ));
        Some(Request::Transact(transaction))
    }

    /// Handles the outcome of an operation. Returns `None` if `op` is not in flight here.
    pub fn handle_outcome(
        &mut self,
        now: Duration,
        op: StoreOpId,
        outcome: &Outcome,
    ) -> Option<StepOutcome> {
        match &mut self.step {
            Step::Object {
                op: in_flight_op,
                seq,
                shards,
            } if *in_flight_op == op => {
                let applied = matches!(outcome, Ok(Reply::Done));
                let pointer = Step::Pointer {
                    op: None,
                    seq: *seq,
                    retry_at: now,
                    shards: std::mem::take(shards),
                    rows: Vec::new(),
                };
                self.step = if applied { pointer } else { Step::Idle };
                Some(StepOutcome::None)
            }
            Step::Pointer {
                op: in_flight_op,
                retry_at,
                ..
            } if *in_flight_op == Some(op) => {
                *in_flight_op = None;
                *retry_at = now + RETRY_DELAY;
                Some(self.handle_pointer_outcome(outcome))
            }
            Step::Delete {
                op: in_flight_op,
                last_seq,
            } if *in_flight_op == op => {
                if matches!(outcome, Ok(Reply::Committed(_))) {
                    self.deleted_seq = *last_seq;
                }
                self.step = Step::Idle;
                Some(StepOutcome::None)
            }
            _ => None,
        }
    }

    fn handle_pointer_outcome(&mut self, outcome: &Outcome) -> StepOutcome {
        let Step::Pointer { seq, .. } = self.step else {
            return StepOutcome::None;
        };
        match outcome {
            Ok(Reply::Committed(version)) => self.finish_pointer_write(seq, *version),
            Ok(Reply::Conflict(rows)) => {
                let key = store_keys::checkpoint_pointer(self.journal);
                let pointer = rows.iter().find(|(name, _)| *name == key);
                match pointer.and_then(|(_, row)| row.as_ref()) {
                    // An earlier attempt took effect, but its reply was lost.
                    Some(row)
                        if row.value == store_keys::checkpoint_pointer_value(self.number, seq) =>
                    {
                        self.finish_pointer_write(seq, row.version)
                    }
                    other => {
                        // An attempt of an abandoned checkpoint may have taken effect.
                        self.pointer_version =
                            other.map_or(self.pointer_version, |row| row.version);
                        self.step = Step::Idle;
                        StepOutcome::Conflict(rows.clone())
                    }
                }
            }
            // The transaction is conditional, so it is retried until its outcome is known.
            _ => StepOutcome::None,
        }
    }

    fn finish_pointer_write(&mut self, seq: u64, version: u64) -> StepOutcome {
        self.pointer_version = version;
        self.checkpointed_seq = seq;
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Pointer { rows, .. } => StepOutcome::Durable(version, rows),
            _ => StepOutcome::None,
        }
    }

    /// Returns a transaction that deletes a batch of journal rows covered by the latest checkpoint.
    pub fn next_deletion(&mut self, op: StoreOpId) -> Option<Request> {
        if !matches!(self.step, Step::Idle) || self.deleted_seq >= self.checkpointed_seq {
            return None;
        }
        let last_seq = self
            .checkpointed_seq
            .min(self.deleted_seq + MAX_DELETED_ROWS);
        let mut writes = Vec::new();
        for seq in self.deleted_seq + 1..=last_seq {
            writes.push(Write::Delete(store_keys::journal(self.journal, seq)));
        }
        self.step = Step::Delete { op, last_seq };
        Some(Request::Transact(Transaction {
            conditions: Vec::new(),
            writes,
        }))
    }
}

/// Encodes a snapshot of the shards owned by this process, up to the durable journal row `seq`.
pub fn snapshot(seq: u64, jobs: &Jobs, agents: &Agents, shards: &Shards) -> Bytes {
    let mut checkpoint = Checkpoint {
        seq,
        ..Checkpoint::default()
    };
    for shard in shards.owned().keys() {
        checkpoint.shards.push(shard.0);
    }
    for (_, agent) in agents.iter() {
        let instance = agent.info.instance.0;
        let name = agent.info.name.to_string();
        checkpoint.roster.push(RosterRecord { instance, name });
    }
    for job in jobs.iter_open() {
        if job.admission == Admission::Durable {
            checkpoint.jobs.push(open_record(job));
        }
    }
    for ended_job in jobs.iter_ended() {
        let admit = Admit {
            job: ended_job.id.key().to_bytes(),
            id: ended_job.id.to_string(),
            digest: ended_job.digest,
            expires_ms: ended_job.expires_ms,
            ..Admit::default()
        };
        let end = Some(ended_job.end_record());
        checkpoint.jobs.push(CheckpointJob {
            shard: ended_job.shard.0,
            admit: Some(admit),
            end,
        });
    }
    for (key, collected) in jobs.iter_collected() {
        checkpoint.jobs.push(collected_record(key, collected));
    }
    checkpoint.encode_to_vec().into()
}

fn open_record(job: &Job) -> CheckpointJob {
    CheckpointJob {
        shard: job.shard.0,
        admit: Some(job.admit.clone()),
        end: None,
    }
}

/// The admission of a collected job has no id; `expires_ms` holds the end of the id's retention.
fn collected_record(key: JobKey, collected: &CollectedJob) -> CheckpointJob {
    let admit = Admit {
        job: key.to_bytes(),
        digest: collected.digest,
        expires_ms: collected.retain_until_ms,
        ..Admit::default()
    };
    let end = End {
        job: key.to_bytes(),
        code: collected.failure_code.to_string(),
        ..End::default()
    };
    CheckpointJob {
        shard: collected.shard.0,
        admit: Some(admit),
        end: Some(end),
    }
}

/// Decodes the outcome of a job from its end record.
pub fn job_outcome(end: &End) -> JobOutcome {
    if end.code.is_empty() {
        return JobOutcome::Complete(end.results.clone());
    }
    JobOutcome::Failed(super::replies::JobFailure::new(&end.code, &end.text))
}

/// Returns the shards served by this process, with their epochs.
fn served_shards(shards: &Shards) -> SnapshotShards {
    let mut served_shards = SnapshotShards::new();
    for (shard, info) in shards.iter() {
        if info.role == ShardRole::Serving {
            served_shards.push((shard, Epoch(info.row.epoch)));
        }
    }
    served_shards
}

/// Plans the update that makes this process's journal the only source of the shards in a snapshot.
///
/// Returns the new owner rows and the transaction that writes them, or `None` if a shard has been
/// lost since the snapshot was taken.
fn plan_source_update(
    journal: Instance,
    served_shards: &SnapshotShards,
    shards: &Shards,
) -> Option<(Vec<(Shard, OwnerRow)>, Transaction)> {
    let mut transaction = Transaction::default();
    let mut changed_rows = Vec::new();
    for &(shard, epoch) in served_shards {
        let info = shards.get(shard)?;
        if info.role != ShardRole::Serving || Epoch(info.row.epoch) != epoch {
            return None;
        }
        let key = store_keys::owner(shard);
        let condition = Condition::Version(key.clone(), info.version);
        transaction.conditions.push(condition);
        if info.row.sources == [journal.0] {
            continue;
        }
        let mut row = info.row.clone();
        row.sources = vec![journal.0];
        let write = Write::Put(key, row.encode_to_vec().into());
        transaction.writes.push(write);
        changed_rows.push((shard, row));
    }
    Some((changed_rows, transaction))
}
