//! Writes of shards: the rows that they carry, their outcomes, and what depended on them.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire as wire;
use prost::Message;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::durable::{PROGRESS_PAUSE, answer_of};
use super::io::{Action, Answer};
use super::jobs::JobKey;
use super::machine::{Machine, log};
use super::record::{End, Record, Stored, encode};
use super::shards::{Batch, Holding, RELEASED_RUNS};
use super::store::{StoreCall, StoreRow};
use crate::clock::Now;
use crate::ids::Shard;
use crate::job::SHARD_COUNT;

/// Jobs of one write.
const BATCH_JOBS: usize = 60;

/// Bytes of one write, well below the store's limit of 1 MB with the encoding of its calls.
const BATCH_BYTES: usize = 400_000;

/// Time for which the store fails before submissions are refused, and their age at that time.
const REFUSE_AFTER: Duration = Duration::from_millis(250);

/// Pause between two looks for jobs that may be forgotten.
const SWEEP_PAUSE: Duration = Duration::from_secs(2);

/// Rows of a write: rows by id, jobs, ends of runs that they contain.
type Rows = (
    Vec<(SmolStr, Option<Bytes>)>,
    Vec<JobKey>,
    Vec<wire::RunRef>,
);

impl Machine {
    pub(super) fn update_owned(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let has_lease = self.shards.has_lease(now.mono);
        self.prove(now, shard);
        let state = self.shards.get(shard);
        let due = state.write_at.is_some_and(|at| now.mono >= at);
        let verifies = !state.verified && has_lease;
        if state.batch.is_some() || due || verifies {
            self.write_shard(now, shard, false, out);
        }
    }

    /// Writes the rows that are due, or repeats the write that has no outcome.
    pub(super) fn write_shard(
        &mut self,
        now: Now,
        shard: Shard,
        release: bool,
        out: &mut Vec<Action>,
    ) {
        if self.shards.get(shard).batch.is_none() {
            let (rows, jobs, ends) = self.collect_rows(now, shard);
            let state = self.shards.get_mut(shard);
            state.sequence += 1;
            let releases = release && state.dirty.is_empty();
            let owner = self.owner_row(self.shards.get(shard), releases);
            self.shards.get_mut(shard).batch = Some(Batch {
                owner: owner.encode_to_vec().into(),
                rows,
                jobs,
                ends,
                releases,
                unclear: false,
            });
        }
        let state = self.shards.get(shard);
        let Some(batch) = &state.batch else {
            return;
        };
        let call = StoreCall::Write {
            shard,
            expected: state.version,
            owner: batch.owner.clone(),
            jobs: batch.rows.clone(),
        };
        self.call_store(now, shard, call, out);
    }

    /// A write found another version: either it was carried out before, or the shard is lost.
    pub(super) fn take_conflict(
        &mut self,
        now: Now,
        shard: Shard,
        row: Option<StoreRow>,
        out: &mut Vec<Action>,
    ) {
        self.take_first_row(shard, row.as_ref());
        let own = self.settings.instance.0;
        let state = self.shards.get(shard);
        let row = state.row.as_ref();
        let row = row.filter(|row| row.instance == own && row.epoch == state.epoch);
        let applied = row.is_some_and(|row| row.sequence == state.sequence);
        if !applied && row.is_some_and(|row| row.sequence == state.written) {
            // The version that was told with the last write was a later one; the write is repeated.
            return;
        }
        match state.holding {
            Holding::Claiming if applied => self.begin_loading(now, shard, out),
            Holding::Owned | Holding::Releasing | Holding::Released(_) if applied => {
                self.finish_write(now, shard, out);
            }
            Holding::Owned | Holding::Releasing | Holding::Released(_) | Holding::Loading => {
                let owner = state.row.as_ref().map(|row| row.name.clone());
                let fields = vec![
                    ("shard", shard.to_string()),
                    ("epoch", state.epoch.to_string()),
                    ("owner", owner.unwrap_or_default()),
                ];
                log(out, 322, "shard lost to another process", true, fields);
                self.stop_shard(shard);
                self.drop_shard(shard, Holding::Foreign, out);
            }
            _ => self
                .shards
                .get_mut(shard)
                .forget_ownership(Holding::Foreign),
        }
    }

    /// A write is done: what depended on it follows.
    pub(super) fn finish_write(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        state.verified = true;
        state.stopped = false;
        state.written = state.sequence;
        let Some(batch) = state.batch.take() else {
            return;
        };
        state.write_at = (!state.dirty.is_empty()).then_some(now.mono);
        self.rows_written(&batch, out);
        if batch.releases {
            let state = self.shards.get_mut(shard);
            state.holding = Holding::Released(now.mono + RELEASED_RUNS);
            let fields = vec![
                ("shard", shard.to_string()),
                ("epoch", state.epoch.to_string()),
                ("successor", state.successor.to_string()),
            ];
            log(out, 321, "shard released", false, fields);
            self.tell_peers(out);
        }
    }

    /// Takes back the rows of a write that was certainly not carried out.
    pub(super) fn take_back(&mut self, shard: Shard) -> Option<Batch> {
        let state = self.shards.get_mut(shard);
        let holds = matches!(state.holding, Holding::Owned | Holding::Releasing);
        let waits =
            holds && !state.busy && state.batch.as_ref().is_some_and(|batch| !batch.unclear);
        state.batch.take_if(|_| waits)
    }

    /// Has the row of a job written within `wait`.
    pub(super) fn mark_dirty(&mut self, now: Now, key: JobKey, wait: Duration) {
        let Some(record) = self.jobs.get_mut(key).and_then(|job| job.record.as_mut()) else {
            return;
        };
        let state = self.shards.get_mut(record.shard);
        if !record.dirty {
            record.dirty = true;
            state.dirty.push(key);
        }
        let at = now.mono + wait;
        state.write_at = Some(state.write_at.map_or(at, |known| known.min(at)));
    }

    /// Rows of the jobs that are to be written.
    pub(super) fn collect_rows(&mut self, now: Now, shard: Shard) -> Rows {
        let state = self.shards.get_mut(shard);
        state.write_at = None;
        let mut dirty = std::mem::take(&mut state.dirty);
        let (mut rows, mut keys, mut ends) = (Vec::new(), Vec::new(), Vec::new());
        let mut bytes = 0;
        let mut taken = 0;
        for &key in &dirty {
            if rows.len() >= BATCH_JOBS || bytes >= BATCH_BYTES {
                break;
            }
            taken += 1;
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let forgotten = job.is_forgotten(now.wall_ms);
            let row = encode(job).filter(|_| !forgotten);
            let id = job.request.id.clone();
            let Some(record) = &mut job.record else {
                continue;
            };
            record.dirty = false;
            ends.extend(record.ends.drain(..));
            bytes += row.as_ref().map_or(0, Bytes::len);
            rows.push((id, row));
            keys.push(key);
        }
        dirty.drain(..taken);
        let state = self.shards.get_mut(shard);
        if !dirty.is_empty() {
            state.write_at = Some(now.mono);
        }
        state.dirty = dirty;
        (rows, keys, ends)
    }

    /// Refuses submissions that were certainly not stored while the store fails.
    pub(super) fn refuse_unstored(&mut self, now: Now, out: &mut Vec<Action>) {
        let failing = self.shards.failing();
        if failing.is_none_or(|since| now.since(since) < REFUSE_AFTER) {
            return;
        }
        for at in 0..SHARD_COUNT {
            let shard = Shard(at);
            if let Some(batch) = self.take_back(shard) {
                self.restore_batch(now, batch);
            }
            let state = self.shards.get(shard);
            let late = |key: &&JobKey| {
                let job = self.jobs.get(**key);
                job.is_some_and(|job| {
                    let nothing = |record: &Record| record.stored == Stored::Nothing;
                    let new = job.record.as_ref().is_some_and(nothing);
                    new && now.since(job.arrived) >= REFUSE_AFTER
                })
            };
            let refused: Vec<JobKey> = state.dirty.iter().filter(late).copied().collect();
            for key in refused {
                let Some(job) = self.jobs.remove(key) else {
                    continue;
                };
                let accepting = job.record.map(|record| record.accepting);
                for call in accepting.unwrap_or_default() {
                    self.refuse(call, &job.request.id, "the store does not answer", out);
                }
            }
        }
    }

    /// The rows of a batch are to be written again.
    pub(super) fn restore_batch(&mut self, now: Now, batch: Batch) {
        for run in batch.ends {
            let key = self.jobs.find(&run.job);
            let job = key.and_then(|key| self.jobs.get_mut(key));
            if let Some(record) = job.and_then(|job| job.record.as_mut()) {
                record.ends.push(run);
            }
        }
        for key in batch.jobs {
            self.mark_dirty(now, key, Duration::ZERO);
        }
    }

    /// Rows are stored: callers are answered, and workers may forget the ends.
    pub(super) fn rows_written(&mut self, batch: &Batch, out: &mut Vec<Action>) {
        for ((_, row), &key) in batch.rows.iter().zip(&batch.jobs) {
            if row.is_none() {
                self.jobs.remove(key);
                continue;
            }
            self.row_written(key, row.as_ref(), out);
        }
        for run in &batch.ends {
            self.settle(run.clone());
        }
        self.changed = true;
    }

    pub(super) fn row_written(&mut self, key: JobKey, row: Option<&Bytes>, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(record) = &mut job.record else {
            return;
        };
        let written = row.and_then(|row| wire::StoredJob::decode(row.clone()).ok());
        let ended = written.is_some_and(|row| row.end() != wire::JobAnswer::Unspecified);
        record.stored = if ended { Stored::Ended } else { Stored::Open };
        let accepting = std::mem::take(&mut record.accepting);
        let (mut cancelling, mut asking) = (SmallVec::new(), SmallVec::new());
        if ended {
            cancelling = std::mem::take(&mut record.cancelling);
            asking = std::mem::take(&mut record.asking);
        }
        let state = record.end.map_or(Answer::NoJob, answer_of);
        let answer = match record.end {
            Some(End::Cancelled) => Answer::Cancelled,
            _ => Answer::NoJob,
        };
        for call in accepting {
            self.reply(call, Answer::Accepted, out);
        }
        for call in asking {
            self.reply(call, state.clone(), out);
        }
        for call in cancelling {
            self.reply(call, answer.clone(), out);
        }
    }

    /// Has rows of jobs removed that ended long ago.
    pub(super) fn forget_jobs(&mut self, now: Now) {
        if now.since(self.forgot) < SWEEP_PAUSE {
            return;
        }
        self.forgot = now.mono;
        let jobs = self.jobs.iter_all();
        let old = jobs.filter(|(_, job)| job.is_forgotten(now.wall_ms));
        for key in old.map(|(key, _)| key).collect::<Vec<_>>() {
            self.mark_dirty(now, key, PROGRESS_PAUSE);
        }
    }
}
