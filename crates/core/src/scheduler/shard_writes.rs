//! Writes to shards: collecting rows, handling outcomes, and the answers that depend on them.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire as wire;
use prost::Message;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::durable_jobs::{PROGRESS_WRITE_DELAY, end_answer};
use super::forwarding::ForwardedRequest;
use super::io::{Action, Answer};
use super::jobs::JobKey;
use super::machine::{Machine, log};
use super::shards::{Ownership, RELEASED_RUN_GRACE, WriteBatch};
use super::store::{StoreCall, StoreRow};
use super::stored_job::{DurableState, JobEnd, StoredState, contains_superseded, encode_job};
use crate::clock::Now;
use crate::ids::Shard;
use crate::job::SHARD_COUNT;

/// Maximum number of jobs in one write.
const MAX_BATCH_JOBS: usize = 60;

/// Size in bytes at which no more rows are added to a write. Well below the store's limit of 1 MB,
/// which includes the encoding of the call.
const MAX_BATCH_BYTES: usize = 400_000;

/// A submission that is not stored is refused once it is this old and the store has failed for this
/// long.
const REFUSE_UNSTORED_AFTER: Duration = Duration::from_millis(250);

/// Interval of the search for ended jobs past their retention.
const PURGE_INTERVAL: Duration = Duration::from_secs(2);

/// Content of a write: rows by job id, the jobs, and the ended runs whose results the rows contain.
type BatchRows = (
    Vec<(SmolStr, Option<Bytes>)>,
    Vec<JobKey>,
    Vec<wire::RunRef>,
);

impl Machine {
    /// Performs the periodic work on an owned shard: writes dirty rows, and confirms the ownership
    /// if necessary.
    pub(super) fn update_owned(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let has_lease = self.shards.has_lease(now.mono);
        self.update_runs_known(now, shard);
        let state = self.shards.get(shard);
        let due = state.write_at.is_some_and(|at| now.mono >= at);
        let unconfirmed = !state.ownership_confirmed && has_lease;
        if state.batch.is_some() || due || unconfirmed {
            self.write_shard(now, shard, false, out);
        }
    }

    /// Writes the dirty rows of a shard, or repeats a write that has no known outcome.
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
            let owner = self.new_owner_row(self.shards.get(shard), releases);
            self.shards.get_mut(shard).batch = Some(WriteBatch {
                owner: owner.encode_to_vec().into(),
                rows,
                jobs,
                run_ends: ends,
                releases,
                may_be_applied: false,
            });
        }
        let state = self.shards.get(shard);
        let Some(batch) = &state.batch else {
            return;
        };
        let call = StoreCall::Write {
            shard,
            expected: state.owner_row_version,
            owner: batch.owner.clone(),
            jobs: batch.rows.clone(),
        };
        self.call_store(now, shard, call, out);
    }

    /// Handles a write that found another version of the owner row than expected: usually an earlier
    /// call already applied the write, or another process has claimed the shard.
    pub(super) fn handle_write_conflict(
        &mut self,
        now: Now,
        shard: Shard,
        row: Option<StoreRow>,
        out: &mut Vec<Action>,
    ) {
        self.update_owner_row(shard, row.as_ref());
        let own = self.settings.instance.0;
        let state = self.shards.get(shard);
        let row = state.owner_row.as_ref();
        let row = row.filter(|row| row.instance == own && row.epoch == state.epoch);
        let applied = row.is_some_and(|row| row.sequence == state.sequence);
        if !applied && row.is_some_and(|row| row.sequence == state.written_sequence) {
            // The row still holds this process's previous write, so only the expected version was
            // wrong: the store's reply to the previous write had a higher version than the row has.
            // The new write is repeated with the version just read.
            return;
        }
        match state.ownership {
            Ownership::Claiming if applied => self.begin_loading(now, shard, out),
            Ownership::Owned | Ownership::Releasing | Ownership::Released(_) if applied => {
                self.finish_write(now, shard, out);
            }
            Ownership::Owned
            | Ownership::Releasing
            | Ownership::Released(_)
            | Ownership::Loading => {
                let owner = state.owner_row.as_ref().map(|row| row.name.clone());
                let fields = vec![
                    ("shard", shard.to_string()),
                    ("epoch", state.epoch.to_string()),
                    ("owner", owner.unwrap_or_default()),
                ];
                log(out, 322, "shard lost to another process", true, fields);
                self.stop_shard_runs(shard);
                self.drop_shard(now, shard, Ownership::NotOwned, out);
            }
            _ => self
                .shards
                .get_mut(shard)
                .reset_ownership(Ownership::NotOwned),
        }
    }

    /// Completes a successful write, and the release of the shard if the write included it.
    pub(super) fn finish_write(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        let confirms = !state.ownership_confirmed && state.call_confirms;
        state.ownership_confirmed |= confirms;
        state.runs_stopped = false;
        state.written_sequence = state.sequence;
        if confirms && state.ownership == Ownership::Owned {
            self.request_runs(shard, out);
        }
        let state = self.shards.get_mut(shard);
        let Some(batch) = state.batch.take() else {
            return;
        };
        state.write_at = (!state.dirty.is_empty()).then_some(now.mono);
        self.apply_written_batch(&batch, out);
        if batch.releases {
            let state = self.shards.get_mut(shard);
            state.ownership = Ownership::Released(now.mono + RELEASED_RUN_GRACE);
            let fields = vec![
                ("shard", shard.to_string()),
                ("epoch", state.epoch.to_string()),
                ("successor", state.successor.to_string()),
            ];
            log(out, 321, "shard released", false, fields);
            self.send_peer_beats(now, false, out);
        }
    }

    /// Cancels and returns the shard's write if it was certainly not applied.
    pub(super) fn cancel_batch(&mut self, shard: Shard) -> Option<WriteBatch> {
        let state = self.shards.get_mut(shard);
        let owned = matches!(state.ownership, Ownership::Owned | Ownership::Releasing);
        let not_applied = owned
            && !state.call_in_flight
            && state
                .batch
                .as_ref()
                .is_some_and(|batch| !batch.may_be_applied);
        state.batch.take_if(|_| not_applied)
    }

    /// Schedules a write of the job's row, to be sent within `wait`.
    pub(super) fn mark_dirty(&mut self, now: Now, key: JobKey, wait: Duration) {
        let Some(durable) = self.jobs.get_mut(key).and_then(|job| job.durable.as_mut()) else {
            return;
        };
        let state = self.shards.get_mut(durable.shard);
        if !durable.dirty {
            durable.dirty = true;
            state.dirty.push(key);
        }
        let at = now.mono + wait;
        state.write_at = Some(state.write_at.map_or(at, |known| known.min(at)));
    }

    /// Takes the next rows to write, within the limits of one write. Rows of jobs whose retention
    /// is over are deleted.
    pub(super) fn collect_rows(&mut self, now: Now, shard: Shard) -> BatchRows {
        let store_ms = self.store_clock.now_ms(now.mono).unwrap_or_default();
        let state = self.shards.get_mut(shard);
        state.write_at = None;
        let mut dirty = std::mem::take(&mut state.dirty);
        let (mut rows, mut keys, mut ends) = (Vec::new(), Vec::new(), Vec::new());
        let mut bytes = 0;
        let mut taken = 0;
        for &key in &dirty {
            if rows.len() >= MAX_BATCH_JOBS || bytes >= MAX_BATCH_BYTES {
                break;
            }
            taken += 1;
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let delete = job.is_retention_over(store_ms);
            let row = encode_job(job).filter(|_| !delete);
            let id = job.request.id.clone();
            let Some(durable) = &mut job.durable else {
                continue;
            };
            durable.dirty = false;
            ends.extend(durable.run_ends.drain(..));
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

    /// If the store has failed for [`REFUSE_UNSTORED_AFTER`], refuses submissions of at least that age
    /// that were certainly not stored.
    pub(super) fn refuse_unstored_jobs(&mut self, now: Now, out: &mut Vec<Action>) {
        let failing = self.shards.failing_since();
        if failing.is_none_or(|since| now.since(since) < REFUSE_UNSTORED_AFTER) {
            return;
        }
        for at in 0..SHARD_COUNT {
            let shard = Shard(at);
            if let Some(batch) = self.cancel_batch(shard) {
                self.requeue_batch(now, batch);
            }
            let state = self.shards.get(shard);
            // The row of a job that was cancelled before it was stored may be in an earlier write, too.
            let sent = state.batch.as_ref();
            let sent = |key: &JobKey| sent.is_some_and(|batch| batch.jobs.contains(key));
            let late = |key: &&JobKey| {
                let job = self.jobs.get(**key).filter(|_| !sent(key));
                job.is_some_and(|job| {
                    let unstored = |durable: &DurableState| durable.stored == StoredState::Nothing;
                    let unstored = job.durable.as_ref().is_some_and(unstored);
                    unstored && now.since(job.submitted_at) >= REFUSE_UNSTORED_AFTER
                })
            };
            let refused: Vec<JobKey> = state.dirty.iter().filter(late).copied().collect();
            for key in refused {
                let Some(job) = self.jobs.remove(key) else {
                    continue;
                };
                let Some(durable) = job.durable else {
                    continue;
                };
                for call in durable.submit_calls {
                    self.refuse(call, &job.request.id, "the store does not answer", out);
                }
                for call in durable.cancel_calls {
                    // Another process may own the shard by now and have accepted the job.
                    let cancel = ForwardedRequest::Cancel(job.request.id.clone());
                    self.route_to_owner(now, call, cancel, out);
                }
            }
        }
    }

    /// Schedules the content of a cancelled write to be written again.
    pub(super) fn requeue_batch(&mut self, now: Now, batch: WriteBatch) {
        for run in batch.run_ends {
            let key = self.jobs.find(&run.job);
            let job = key.and_then(|key| self.jobs.get_mut(key));
            if let Some(durable) = job.and_then(|job| job.durable.as_mut()) {
                durable.run_ends.push(run);
            }
        }
        for key in batch.jobs {
            self.mark_dirty(now, key, Duration::ZERO);
        }
    }

    /// Answers the callers that waited for these rows, and settles the ended runs that they
    /// contain.
    pub(super) fn apply_written_batch(&mut self, batch: &WriteBatch, out: &mut Vec<Action>) {
        for ((_, row), &key) in batch.rows.iter().zip(&batch.jobs) {
            if row.is_none() {
                self.jobs.remove(key);
                continue;
            }
            self.apply_written_row(key, row.as_ref(), out);
        }
        for run in &batch.run_ends {
            self.settle_run_end(run.clone());
        }
        self.placement_pending = true;
    }

    /// Updates a job after its row was written, and answers the callers that waited for this.
    pub(super) fn apply_written_row(
        &mut self,
        key: JobKey,
        row: Option<&Bytes>,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let written = row.and_then(|row| wire::StoredJob::decode(row.clone()).ok());
        let superseded = written
            .as_ref()
            .is_some_and(|row| contains_superseded(row, job));
        let Some(durable) = &mut job.durable else {
            return;
        };
        durable.superseding &= !superseded;
        let ended = written.is_some_and(|row| row.end() != wire::JobAnswer::Unspecified);
        durable.stored = if ended {
            StoredState::Ended
        } else {
            StoredState::Open
        };
        let submit_calls = std::mem::take(&mut durable.submit_calls);
        let (mut cancel_calls, mut query_calls) = (SmallVec::new(), SmallVec::new());
        if ended {
            cancel_calls = std::mem::take(&mut durable.cancel_calls);
            query_calls = std::mem::take(&mut durable.query_calls);
        }
        let query_answer = durable.end.map_or(Answer::NoJob, end_answer);
        let cancel_answer = match durable.end {
            Some(JobEnd::Cancelled) => Answer::Cancelled,
            _ => Answer::NoJob,
        };
        for call in submit_calls {
            self.reply(call, Answer::Accepted, out);
        }
        for call in query_calls {
            self.reply(call, query_answer.clone(), out);
        }
        for call in cancel_calls {
            self.reply(call, cancel_answer.clone(), out);
        }
    }

    /// Schedules the deletion of rows of jobs whose retention is over. A job without a time of its end, or
    /// with one that is still to come, is retained as if it had ended now.
    pub(super) fn purge_ended_jobs(&mut self, now: Now) {
        if now.since(self.last_purge) < PURGE_INTERVAL {
            return;
        }
        self.last_purge = now.mono;
        let Some(store_ms) = self.store_clock.now_ms(now.mono) else {
            return;
        };
        let mut old = Vec::new();
        for (key, job) in self.jobs.iter_all_mut() {
            if let Some(durable) = job.durable.as_mut().filter(|durable| durable.end.is_some())
                && (durable.ended_ms == 0 || durable.ended_ms > store_ms)
            {
                durable.ended_ms = store_ms;
            }
            if job.is_retention_over(store_ms) {
                old.push(key);
            }
        }
        for key in old {
            self.mark_dirty(now, key, PROGRESS_WRITE_DELAY);
        }
    }
}
