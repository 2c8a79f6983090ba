//! Durable jobs: accepted once they are stored, and run to their end whatever process fails.
//!
//! A job is stored before its first task starts, and its end before it is shown. The end of a run
//! is stored before its agent lets the worker forget it, so that a later owner of the shard finds
//! each end either in the row or at the worker.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire as wire;
use prost::Message;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::io::{Action, Answer, CallKey, JobState};
use super::jobs::{Job, JobKey, Place, Progress, Task};
use super::machine::{Machine, log, ms};
use super::record::{End, Record, Stored, decode_request, encode, restore, stored_rules};
use super::shards::Holding;
use super::store::StoreRow;
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::ids::Shard;
use crate::work::{JobRequest, RunId, SHARDS, shard_of};

/// Jobs of one write.
const BATCH_JOBS: usize = 60;

/// Bytes of one write, well below the store's limit of 1 MB with the encoding of its calls.
const BATCH_BYTES: usize = 400_000;

/// Longest time that progress of a job waits for other rows to be written with.
const PROGRESS_PAUSE: Duration = Duration::from_millis(100);

/// Longest time that a caller's question waits for an end that may come any moment.
const LOOK_WAIT: Duration = Duration::from_millis(50);

/// Time for which the store fails before submissions are refused, and their age at that time.
const REFUSE_AFTER: Duration = Duration::from_millis(250);

/// Time for which a job is known after its end.
const RETENTION_MS: u64 = 150_000;

/// Pause between two looks for jobs that may be forgotten.
const SWEEP_PAUSE: Duration = Duration::from_secs(2);

/// Numbers of starts that one owner may use for a task; the next owner begins above them.
const ATTEMPTS_OF_EPOCH: u64 = 1_000;

/// Jobs that may be open; further ones are refused.
const OPEN_JOBS: usize = 20_000;

/// Rows of a write: rows by id, jobs, ends of runs that they contain.
type Rows = (
    Vec<(SmolStr, Option<Bytes>)>,
    Vec<JobKey>,
    Vec<wire::RunRef>,
);

impl Machine {
    /// Takes a job into a shard that this process owns.
    pub(super) fn accept(
        &mut self,
        now: Now,
        call: CallKey,
        request: JobRequest,
        shard: Shard,
        out: &mut Vec<Action>,
    ) {
        if let Some(key) = self.jobs.find(&request.id) {
            return self.accept_again(key, call, &request, out);
        }
        let catalog = self.catalog.as_ref();
        let Some(rules) = catalog.and_then(|catalog| catalog.queue(&request.queue)) else {
            return self.refuse(call, &request.id, "queue not known yet", out);
        };
        if self.jobs.len() >= OPEN_JOBS {
            return self.refuse(call, &request.id, "too many open jobs", out);
        }
        let rules = rules.clone();
        let objective = self.objective(&rules, &request);
        self.log_received(&request, objective, out);
        let mut job = Job::new(now.mono, None, request, rules, objective);
        let mut record = Record::new(shard, now.wall_ms);
        record.accepting.push(call);
        job.record = Some(record);
        let key = self.jobs.insert(job);
        self.mark_dirty(now, key, Duration::ZERO);
    }

    /// The job is known: it is accepted once.
    fn accept_again(
        &mut self,
        key: JobKey,
        call: CallKey,
        request: &JobRequest,
        out: &mut Vec<Action>,
    ) {
        let fields = vec![("job", request.id.to_string())];
        log(out, 302, "job submitted again", false, fields);
        let record = self.jobs.get_mut(key).and_then(|job| job.record.as_mut());
        match record {
            Some(record) if record.stored == Stored::Nothing => record.accepting.push(call),
            Some(_) => self.reply(call, Answer::Accepted, out),
            None => self.refuse(call, &request.id, "the id is in use", out),
        }
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
        for at in 0..SHARDS {
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
    fn restore_batch(&mut self, now: Now, batch: super::shards::Batch) {
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
    pub(super) fn rows_written(&mut self, batch: &super::shards::Batch, out: &mut Vec<Action>) {
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

    fn row_written(&mut self, key: JobKey, row: Option<&Bytes>, out: &mut Vec<Action>) {
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

    /// Lets the agent of a worker settle the end of a run.
    fn settle(&mut self, run: wire::RunRef) {
        for (_, worker) in self.workers.iter_mut() {
            if worker.unsettled.remove(&RunId::from(run.clone())) {
                worker.outbox.settled.push(run.clone());
            }
        }
    }

    /// Notes the end of a run that its worker keeps until it is settled. Ends of jobs that are not
    /// durable are settled at once by the owner of the shard that the job would belong to.
    pub(super) fn take_kept_end(
        &mut self,
        now: Now,
        from: WorkerKey,
        run: &RunId,
        outcome: wire::RunOutcome,
    ) {
        let Some(shard) = shard_of(&run.task.job) else {
            return;
        };
        // A process that may have lost the shard knows nothing of its newer jobs.
        let state = self.shards.get(shard);
        let owned = state.holding == Holding::Owned && state.verified;
        if !owned || !self.shards.has_lease(now.mono) {
            return;
        }
        let Some(worker) = self.workers.get_mut(from) else {
            return;
        };
        worker.unsettled.insert(run.clone());
        let key = self.jobs.find(&run.task.job);
        let job = key.and_then(|key| Some((key, self.jobs.get_mut(key)?)));
        let Some((key, job)) = job.filter(|(_, job)| job.record.is_some()) else {
            return self.settle(run.into());
        };
        let task = job.task(run.task.phase, run.task.index).cloned();
        let done = outcome == wire::RunOutcome::Done;
        if done && task.as_ref().is_some_and(|task| task.attempt > run.attempt) {
            worker.unsettled.remove(run);
            return worker.outbox.voided.push(run.into());
        }
        if let Some(record) = &mut job.record {
            record.ends.push(run.into());
        }
        let waits = task.is_some_and(|task| task.awaits_end(run));
        let counts = done || outcome == wire::RunOutcome::Failed;
        if waits && counts && job.progress != Progress::Closing {
            adopt_run(job, run, from);
        }
        self.mark_dirty(now, key, PROGRESS_PAUSE);
    }

    /// A durable job has ended: the end is stored before it is shown.
    pub(super) fn end_durable(
        &mut self,
        now: Now,
        key: JobKey,
        end: End,
        cause: &'static str,
        out: &mut Vec<Action>,
    ) {
        self.stop_tasks(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.progress = Progress::Closing;
        self.jobs.retire(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let fields = end_fields(now, job, cause);
        let took = now.since(job.arrived);
        if let Some(record) = &mut job.record {
            record.end = Some(end);
            record.ended_ms = now.wall_ms;
        }
        log(out, 304, "job ended", end != End::Completed, fields);
        self.metrics.observe_end(&answer_of(end), took);
        self.mark_dirty(now, key, Duration::ZERO);
    }

    /// Answers with the state of a durable job, as stored. An end that is being stored is waited
    /// for; so is one that may come any moment, for at most [`LOOK_WAIT`], so that callers need not
    /// ask again.
    pub(super) fn query_durable(
        &mut self,
        now: Now,
        call: CallKey,
        id: &str,
        out: &mut Vec<Action>,
    ) {
        let key = self.jobs.find(id);
        let job = key.and_then(|key| self.jobs.get_mut(key));
        let state = job.as_ref();
        let queued = state.is_some_and(|job| job.progress == Progress::Queued);
        let nears_end = state.is_some_and(|job| job.waiting == 0 && job.out > 0);
        let Some(record) = job.and_then(|job| job.record.as_mut()) else {
            return self.reply(call, Answer::NoJob, out);
        };
        let answer = match (record.stored, record.end) {
            (Stored::Nothing, _) => Answer::NoJob,
            (Stored::Ended, Some(end)) => answer_of(end),
            (_, Some(_)) => return record.asking.push(call),
            (Stored::Open, None) if nears_end => {
                record.asking.push(call);
                let until = now.mono + LOOK_WAIT;
                return self.looks.extend(key.map(|key| (until, key, call)));
            }
            _ if queued => Answer::State(JobState::Queued),
            _ => Answer::State(JobState::Running),
        };
        let fields = vec![("job", id.to_owned()), ("state", format!("{answer:?}"))];
        log(out, 325, "state told", false, fields);
        self.reply(call, answer, out);
    }

    /// Answers callers who have waited for an end that has not come.
    pub(super) fn tend_looks(&mut self, now: Now, out: &mut Vec<Action>) {
        while self.looks.front().is_some_and(|look| look.0 <= now.mono) {
            let Some((_, key, call)) = self.looks.pop_front() else {
                return;
            };
            let record = self.jobs.get_mut(key).and_then(|job| job.record.as_mut());
            let Some(record) = record.filter(|record| record.end.is_none()) else {
                continue;
            };
            let waiting = record.asking.len();
            record.asking.retain(|asking| *asking != call);
            if record.asking.len() < waiting {
                self.reply(call, Answer::State(JobState::Running), out);
            }
        }
    }

    /// Cancels a durable job; the caller is answered when this is stored.
    pub(super) fn cancel_durable(
        &mut self,
        now: Now,
        key: JobKey,
        call: CallKey,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.jobs.get_mut(key).and_then(|job| job.record.as_mut()) else {
            return;
        };
        if record.stored == Stored::Ended {
            let answer = match record.end {
                Some(End::Cancelled) => Answer::Cancelled,
                _ => Answer::NoJob,
            };
            return self.reply(call, answer, out);
        }
        record.cancelling.push(call);
        if record.end.is_none() {
            self.end_durable(now, key, End::Cancelled, "cancelled", out);
        }
    }

    /// Whether tasks of the job may be placed.
    pub(super) fn may_place(&self, now: Now, job: &Job) -> bool {
        let Some(record) = &job.record else {
            return true;
        };
        let state = self.shards.get(record.shard);
        let owned = state.holding == Holding::Owned && state.verified;
        let proven = !record.loaded || state.proven;
        owned && proven && record.stored == Stored::Open && self.shards.has_lease(now.mono)
    }

    /// Epoch of the shard of a durable job, for its orders; 0 for another job.
    pub(super) fn epoch_of(&self, job: &Job) -> u64 {
        let record = job.record.as_ref();
        record.map_or(0, |record| self.shards.get(record.shard).epoch)
    }

    /// Takes jobs that were read from the store.
    pub(super) fn load_jobs(
        &mut self,
        now: Now,
        shard: Shard,
        rows: &[StoreRow],
        more: bool,
        out: &mut Vec<Action>,
    ) {
        for row in rows {
            match wire::StoredJob::decode(row.value.clone()) {
                Ok(stored) => self.load_job(now, shard, &stored),
                Err(error) => {
                    let fields = vec![("job", row.id.to_string()), ("error", error.to_string())];
                    log(out, 323, "row of a job cannot be read", true, fields);
                }
            }
        }
        if let (true, Some(last)) = (more, rows.last()) {
            self.shards.get_mut(shard).read = last.id.clone();
            return;
        }
        let jobs = self.jobs.iter_all();
        let jobs = jobs.filter(|(_, job)| job.shard() == Some(shard)).count();
        let fields = vec![
            ("shard", shard.to_string()),
            ("epoch", self.shards.get(shard).epoch.to_string()),
            ("jobs", jobs.to_string()),
        ];
        log(out, 324, "jobs of a shard read", false, fields);
        self.finish_loading(shard, out);
    }

    fn load_job(&mut self, now: Now, shard: Shard, stored: &wire::StoredJob) {
        if self.jobs.find(&stored.id).is_some() {
            return;
        }
        let catalog = self.catalog.as_ref();
        let known = catalog.and_then(|catalog| catalog.queue(&stored.queue));
        let rules = known.cloned().unwrap_or_else(|| stored_rules(stored));
        let request = decode_request(stored);
        let objective = self.objective(&rules, &request);
        let age = Duration::from_millis(now.wall_ms.saturating_sub(stored.arrived_ms));
        let job = restore(stored, shard, (now.mono, age), rules, objective);
        self.jobs.insert(job);
    }

    /// Forgets the jobs of a shard; callers who wait are told that the outcome is not known.
    pub(super) fn drop_jobs(&mut self, shard: Shard, out: &mut Vec<Action>) {
        for (_, worker) in self.workers.iter_mut() {
            worker
                .unsettled
                .retain(|run| shard_of(&run.task.job) != Some(shard));
        }
        let jobs = self.jobs.iter_all();
        let jobs = jobs.filter(|(_, job)| job.shard() == Some(shard));
        for key in jobs.map(|(key, _)| key).collect::<Vec<_>>() {
            let Some(job) = self.jobs.remove(key) else {
                continue;
            };
            for (_, worker) in self.workers.iter_mut() {
                worker.runs.retain(|run| run.task.job != job.request.id);
            }
            let record = job.record.into_iter();
            let waiting = record.flat_map(|record| {
                let waiting = record.accepting.into_iter().chain(record.cancelling);
                waiting.chain(record.asking)
            });
            for call in waiting {
                self.reply(call, Answer::GaveUp, out);
            }
        }
    }

    /// Orders the stop of everything that runs of a shard; its tasks wait again.
    pub(super) fn stop_shard(&mut self, shard: Shard) {
        let jobs = self.jobs.iter_all();
        let jobs = jobs.filter(|(_, job)| job.shard() == Some(shard));
        for key in jobs.map(|(key, _)| key).collect::<Vec<_>>() {
            self.stop_runs(key);
        }
    }

    /// Takes what an agent knows of the jobs of shards that this process has claimed.
    pub(super) fn take_shard_runs(
        &mut self,
        now: Now,
        from: WorkerKey,
        runs: wire::ShardRuns,
        out: &mut Vec<Action>,
    ) {
        for end in &runs.ended {
            self.take_end(now, from, end, out);
        }
        for run in runs.open {
            self.claim_run(from, &run.into());
        }
        if let Some(worker) = self.workers.get_mut(from) {
            worker.claim_seen = worker.claim_seen.max(runs.number);
        }
    }

    /// Goes on with a run of an earlier owner, or stops it.
    fn claim_run(&mut self, from: WorkerKey, run: &RunId) {
        let Some(shard) = shard_of(&run.task.job) else {
            return;
        };
        let state = self.shards.get(shard);
        if state.holding != Holding::Owned {
            return;
        }
        let proven = state.proven;
        let key = self.jobs.find(&run.task.job);
        let Some(job) = key.and_then(|key| self.jobs.get_mut(key)) else {
            return self.stop_unknown(from, run);
        };
        let loaded = job.record.as_ref().is_some_and(|record| record.loaded);
        let task = job.task(run.task.phase, run.task.index);
        let waits = task.is_some_and(|task| task.awaits(run));
        if loaded && waits && !proven && job.progress != Progress::Closing {
            adopt_run(job, run, from);
            if let Some(worker) = self.workers.get_mut(from) {
                worker.runs.insert(run.clone());
            }
        }
        self.claim(from, run);
    }

    fn stop_unknown(&mut self, from: WorkerKey, run: &RunId) {
        if let Some(worker) = self.workers.get_mut(from) {
            worker.outbox.stops.push(run.into());
        }
    }

    /// Tells an agent that has just connected which shards this process owns.
    pub(super) fn introduce_shards(&mut self, to: WorkerKey, out: &mut Vec<Action>) {
        let owned: Vec<wire::ShardEpoch> = self.shards.owned().collect();
        if owned.is_empty() {
            return;
        }
        let number = self.shards.claims;
        self.send_shard_claim(Some(to), number, owned, out);
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

impl Task {
    /// Whether the task waits and nothing is known yet of this run of it.
    fn awaits(&self, run: &RunId) -> bool {
        self.is_unplaced() && run.attempt > self.attempt
    }

    /// Whether it waits, also for a phase before its own: an earlier owner may have known that
    /// phase as done.
    fn is_unplaced(&self) -> bool {
        matches!(self.place, Place::Waiting | Place::Blocked)
    }

    /// Whether the task waits and the end of its last start, or of a later one, is not known yet:
    /// the run was given up for lost, or ordered by an earlier owner.
    fn awaits_end(&self, run: &RunId) -> bool {
        let last = run.attempt >= self.attempt && run.attempt > self.counted;
        self.is_unplaced() && last
    }
}

impl Job {
    /// Shard of a durable job.
    pub(super) fn shard(&self) -> Option<Shard> {
        self.record.as_ref().map(|record| record.shard)
    }

    /// Whether it is accepted and waits for its first start.
    pub(super) fn is_queued(&self) -> bool {
        let stored = self.record.as_ref();
        let stored = stored.is_none_or(|record| record.stored == Stored::Open);
        stored && self.progress == Progress::Queued
    }

    /// Whether it ended so long ago that its row may go.
    fn is_forgotten(&self, wall_ms: u64) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| {
            record.stored == Stored::Ended
                && self.out == 0
                && record.ended_ms + RETENTION_MS < wall_ms
        })
    }
}

/// Number of the next start of a task.
pub(super) fn next_attempt(last: u32, epoch: u64) -> u32 {
    let first = epoch.saturating_sub(1) * ATTEMPTS_OF_EPOCH;
    let first = u32::try_from(first).unwrap_or(u32::MAX - 1);
    last.max(first) + 1
}

/// Notes that a task of a loaded job runs at an agent, or has ended there.
fn adopt_run(job: &mut Job, run: &RunId, from: WorkerKey) {
    job.set_place(run.task.phase, run.task.index, Place::Placed(from));
    job.progress = Progress::Running;
    if let Some(task) = job.task_mut(run.task.phase, run.task.index) {
        task.attempt = run.attempt;
    }
}

/// Answer that says how a durable job ended.
fn answer_of(end: End) -> Answer {
    match end {
        End::Completed => Answer::Completed,
        End::Failed => Answer::Failed,
        End::Cancelled => Answer::Cancelled,
    }
}

/// Fields of the event of a job's end.
pub(super) fn end_fields(now: Now, job: &Job, cause: &'static str) -> Vec<(&'static str, String)> {
    let first = job.placed.map(|at| at.saturating_sub(job.arrived));
    vec![
        ("job", job.request.id.to_string()),
        ("queue", job.request.queue.to_string()),
        ("outcome", cause.to_owned()),
        ("took_ms", ms(now.since(job.arrived))),
        ("objective_ms", ms(job.objective)),
        ("first_start_ms", first.map(ms).unwrap_or_default()),
        ("starts", job.starts.to_string()),
        ("stopped", job.out.to_string()),
    ]
}
