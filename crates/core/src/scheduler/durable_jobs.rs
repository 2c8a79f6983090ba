//! Durable jobs: acknowledged once they are stored, and completed even if processes fail.
//!
//! A job is stored before its first task starts, and its outcome before it is reported. A worker
//! retains the end of each run. The owner of the shard stores the end and then settles it, that is,
//! tells the agent that the worker may discard the end. A later owner of the shard thus finds every
//! ended run either in the row or at the worker.

use std::time::Duration;

use knapweedwall_wire as wire;

use super::io::{Action, Answer, CallKey, JobState};
use super::jobs::{Job, JobKey, Progress, Task, TaskState};
use super::machine::{Machine, log, ms};
use super::shard_loading::adopt_run;
use super::shards::Ownership;
use super::stored_job::{DurableState, JobEnd, StoredState};
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::ids::Shard;
use crate::job::{JobRequest, RunId, shard_of};

/// Longest time before a job's progress is written. The delay allows rows to be written together.
pub(super) const PROGRESS_WRITE_DELAY: Duration = Duration::from_millis(100);

/// Time for which an ended job is kept, in milliseconds.
const RETENTION_MS: u64 = 150_000;

/// Longest time for which a state query is held while the job is about to end.
const QUERY_WAIT_LIMIT: Duration = Duration::from_millis(50);

/// Each epoch of a shard has a range of this many attempt numbers, so that the attempts of an owner
/// are numbered above those of its predecessors.
const ATTEMPTS_PER_EPOCH: u64 = 1_000;

/// Number of open jobs at which durable submissions are refused.
const MAX_OPEN_JOBS: usize = 20_000;

/// A state query that is held because its job is about to end.
#[derive(Debug)]
pub(super) struct HeldQuery {
    /// Time at which the query is answered even if the job has not ended.
    deadline: Duration,
    job: JobKey,
    call: CallKey,
}

impl Machine {
    /// Adds a job to a shard that this process owns. The caller is answered when the job is stored.
    pub(super) fn submit_durable(
        &mut self,
        now: Now,
        call: CallKey,
        request: JobRequest,
        shard: Shard,
        out: &mut Vec<Action>,
    ) {
        if let Some(key) = self.jobs.find(&request.id) {
            return self.resubmit_durable(key, call, &request, out);
        }
        let catalog = self.configuration.catalog.as_ref();
        let Some(queue_config) = catalog.and_then(|catalog| catalog.queue(&request.queue)) else {
            return self.refuse(call, &request.id, "queue not known yet", out);
        };
        if self.jobs.open_len() >= MAX_OPEN_JOBS {
            return self.refuse(call, &request.id, "too many open jobs", out);
        }
        let queue_config = queue_config.clone();
        let objective = self.objective(&queue_config, &request);
        self.log_received(now, &request, objective, Duration::ZERO, out);
        let mut job = Job::new(now.mono, None, request, queue_config, objective);
        let arrived_ms = self.store_clock.now_ms(now.mono);
        let mut durable = DurableState::new(shard, arrived_ms.unwrap_or_default());
        durable.submit_calls.push(call);
        job.durable = Some(durable);
        let key = self.jobs.insert(job);
        self.mark_dirty(now, key, Duration::ZERO);
    }

    /// Handles a submission whose id is in use. Submissions of a durable job are idempotent.
    pub(super) fn resubmit_durable(
        &mut self,
        key: JobKey,
        call: CallKey,
        request: &JobRequest,
        out: &mut Vec<Action>,
    ) {
        let fields = vec![("job", request.id.to_string())];
        log(out, 302, "job submitted again", false, fields);
        let durable = self.jobs.get_mut(key).and_then(|job| job.durable.as_mut());
        match durable {
            Some(durable) if durable.stored == StoredState::Nothing => {
                durable.submit_calls.push(call)
            }
            Some(_) => self.reply(call, Answer::Accepted, out),
            None => self.refuse(call, &request.id, "the id is in use", out),
        }
    }

    /// Settles the end of a run: tells the agents that reported it that their workers may discard
    /// it.
    pub(super) fn settle_run_end(&mut self, run: wire::RunRef) {
        for (_, worker) in self.workers.iter_mut() {
            if worker.unsettled.remove(&RunId::from(run.clone())) {
                worker.outbox.settled.push(run.clone());
            }
        }
    }

    /// Records a run end that the worker retains until it is settled. If the job is non-durable or
    /// unknown, the owner of the shard to which the job id maps settles the end immediately. The
    /// end of an attempt that succeeded or failed and is older than the task's latest one is voided
    /// instead: the result is not used, and the worker discards the end once the worker's lease has
    /// expired. A failure that is not counted must not be settled either: the worker would count it.
    pub(super) fn record_retained_end(
        &mut self,
        now: Now,
        from: WorkerKey,
        run: &RunId,
        outcome: wire::RunOutcome,
    ) {
        let Some(shard) = shard_of(&run.task.job) else {
            return;
        };
        // A process that may have lost the shard may not know its newer jobs, so it must not settle
        // their runs. It asks for their ends again once it has confirmed its ownership.
        let has_lease = self.shards.has_lease(now.mono);
        let state = self.shards.get_mut(shard);
        if !has_lease {
            state.doubt_ownership();
        }
        if state.ownership != Ownership::Owned || !state.ownership_confirmed {
            return;
        }
        let Some(worker) = self.workers.get_mut(from) else {
            return;
        };
        worker.unsettled.insert(run.clone());
        let key = self.jobs.find(&run.task.job);
        let job = key.and_then(|key| Some((key, self.jobs.get_mut(key)?)));
        let Some((key, job)) = job.filter(|(_, job)| job.durable.is_some()) else {
            return self.settle_run_end(run.into());
        };
        let task = job.task(run.task.phase, run.task.index).cloned();
        let has_result = matches!(outcome, wire::RunOutcome::Done | wire::RunOutcome::Failed);
        if has_result && task.as_ref().is_some_and(|task| task.supersedes(run)) {
            worker.unsettled.remove(run);
            return worker.outbox.voided.push(run.into());
        }
        if let Some(durable) = &mut job.durable {
            durable.run_ends.push(run.into());
        }
        let accepted = task.is_some_and(|task| task.accepts_end(run));
        if accepted && has_result && job.progress != Progress::Closed {
            adopt_run(job, run, from);
        }
        self.mark_dirty(now, key, PROGRESS_WRITE_DELAY);
    }

    /// Ends a run that has got lost without a report from its agent. It may have ended `done` all the
    /// same.
    pub(super) fn lose_run(
        &mut self,
        now: Now,
        from: WorkerKey,
        run: &RunId,
        out: &mut Vec<Action>,
    ) {
        let key = self.jobs.find(&run.task.job);
        if let Some(job) = key.and_then(|key| self.jobs.get_mut(key))
            && let Some(durable) = &mut job.durable
        {
            durable.unreported = true;
            if let Some(task) = job.task_mut(run.task.phase, run.task.index) {
                task.unreported = task.unreported.max(run.attempt);
            }
        }
        self.end_run(now, from, run, wire::RunOutcome::Lost, Duration::ZERO, out);
    }

    /// Supersedes the attempts of unplaced tasks that may have ended without a report, before these
    /// tasks are started again. The row must say so first: a later owner of the shard that learns of
    /// such an end would otherwise count it beside that of the new attempt.
    pub(super) fn supersede_unreported(&mut self, now: Now) {
        let mut keys: Vec<JobKey> = Vec::new();
        for (key, job) in self.jobs.iter_open() {
            let durable = job.durable.as_ref();
            let unreported = durable.is_some_and(|durable| durable.unreported);
            if unreported && job.waiting_tasks > 0 && self.may_place(now, job) {
                keys.push(key);
            }
        }
        for key in keys {
            self.supersede_attempts(now, key);
        }
    }

    fn supersede_attempts(&mut self, now: Now, key: JobKey) {
        let epoch = self.jobs.get(key).map_or(0, |job| self.shard_epoch(job));
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(durable) = &mut job.durable else {
            return;
        };
        durable.unreported = false;
        let earlier = if durable.loaded {
            last_earlier_attempt(epoch)
        } else {
            0
        };
        let mut any = false;
        for task in job.phases.iter_mut().flat_map(|phase| &mut phase.tasks) {
            if !task.is_unplaced() {
                continue;
            }
            // The attempts of this epoch are known.
            let unknown = if task.attempt <= earlier { earlier } else { 0 };
            let latest = task.unreported.max(unknown);
            if latest > task.superseded {
                task.superseded = latest;
                any = true;
            }
        }
        if !any {
            return;
        }
        durable.superseding = true;
        self.mark_dirty(now, key, Duration::ZERO);
    }

    /// Sets the outcome of a durable job. It is reported to callers once it is stored.
    pub(super) fn end_durable(
        &mut self,
        now: Now,
        key: JobKey,
        end: JobEnd,
        cause: &'static str,
        out: &mut Vec<Action>,
    ) {
        self.stop_job(key);
        let ended_ms = self.store_clock.now_ms(now.mono);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.progress = Progress::Closed;
        self.jobs.remove_from_open(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let fields = job_end_fields(now, job, cause);
        let took = now.since(job.submitted_at);
        if let Some(durable) = &mut job.durable {
            durable.end = Some(end);
            durable.ended_ms = ended_ms.unwrap_or_default();
        }
        log(out, 304, "job ended", end != JobEnd::Completed, fields);
        self.metrics.observe_end(&end_answer(end), took);
        self.mark_dirty(now, key, Duration::ZERO);
    }

    /// Answers with the stored state of a durable job. The query is held while the outcome is being
    /// stored, and for up to [`QUERY_WAIT_LIMIT`] while only placed tasks remain, which saves
    /// callers a further query.
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
        let queued = state.is_some_and(|job| job.is_queued());
        let nears_end = state.is_some_and(|job| job.waiting_tasks == 0 && job.placed_tasks > 0);
        let Some(durable) = job.and_then(|job| job.durable.as_mut()) else {
            return self.reply(call, Answer::NoJob, out);
        };
        let answer = match (durable.stored, durable.end) {
            (StoredState::Nothing, _) => Answer::NoJob,
            (StoredState::Ended, Some(end)) => end_answer(end),
            (_, Some(_)) => return durable.query_calls.push(call),
            (StoredState::Open, None) if nears_end => {
                durable.query_calls.push(call);
                let deadline = now.mono + QUERY_WAIT_LIMIT;
                let held = key.map(|job| HeldQuery {
                    deadline,
                    job,
                    call,
                });
                return self.held_queries.extend(held);
            }
            _ if queued => Answer::State(JobState::Queued),
            _ => Answer::State(JobState::Running),
        };
        let fields = vec![("job", id.to_owned()), ("state", format!("{answer:?}"))];
        log(out, 325, "job state reported", false, fields);
        self.reply(call, answer, out);
    }

    /// Answers held state queries with [`JobState::Running`] when their deadline has passed.
    pub(super) fn expire_queries(&mut self, now: Now, out: &mut Vec<Action>) {
        while self
            .held_queries
            .front()
            .is_some_and(|query| query.deadline <= now.mono)
        {
            let Some(HeldQuery { job, call, .. }) = self.held_queries.pop_front() else {
                return;
            };
            let durable = self.jobs.get_mut(job).and_then(|job| job.durable.as_mut());
            let Some(durable) = durable.filter(|durable| durable.end.is_none()) else {
                continue;
            };
            let held = durable.query_calls.len();
            durable.query_calls.retain(|held_call| *held_call != call);
            if durable.query_calls.len() < held {
                self.reply(call, Answer::State(JobState::Running), out);
            }
        }
    }

    /// Cancels a durable job. The caller is answered when the outcome is stored.
    pub(super) fn cancel_durable(
        &mut self,
        now: Now,
        key: JobKey,
        call: CallKey,
        out: &mut Vec<Action>,
    ) {
        let Some(durable) = self.jobs.get_mut(key).and_then(|job| job.durable.as_mut()) else {
            return;
        };
        if durable.stored == StoredState::Ended {
            let answer = match durable.end {
                Some(JobEnd::Cancelled) => Answer::Cancelled,
                _ => Answer::NoJob,
            };
            return self.reply(call, answer, out);
        }
        durable.cancel_calls.push(call);
        if durable.end.is_none() {
            self.end_durable(now, key, JobEnd::Cancelled, "cancelled", out);
        }
    }

    /// Returns whether tasks of the job may be placed.
    pub(super) fn may_place(&self, now: Now, job: &Job) -> bool {
        let Some(durable) = &job.durable else {
            return !self.awaits_acknowledgement(now, job);
        };
        let state = self.shards.get(durable.shard);
        let owned = state.ownership == Ownership::Owned && state.ownership_confirmed;
        let runs_known = !durable.loaded || state.runs_known;
        owned
            && runs_known
            && !durable.superseding
            && durable.stored == StoredState::Open
            && self.shards.has_lease(now.mono)
    }

    /// Returns the epoch of the shard of a durable job, or 0 for a non-durable one.
    pub(super) fn shard_epoch(&self, job: &Job) -> u64 {
        let durable = job.durable.as_ref();
        durable.map_or(0, |durable| self.shards.get(durable.shard).epoch)
    }
}

impl Task {
    /// Returns whether the task is unplaced and the run is a later attempt than all known ones.
    pub(super) fn accepts_run(&self, run: &RunId) -> bool {
        self.is_unplaced() && run.attempt > self.attempt
    }

    /// Returns whether the task is waiting or blocked. Even a blocked task may have runs: an
    /// earlier owner may have learned that the phases before it are complete, but not have stored
    /// this.
    fn is_unplaced(&self) -> bool {
        matches!(self.state, TaskState::Waiting | TaskState::Blocked)
    }

    /// Returns whether the task is unplaced, and the run is its latest attempt or a later one and
    /// not known to have failed. The end of such a run has not been recorded yet: the run had
    /// been treated as lost, or had been ordered by an earlier owner.
    pub(super) fn accepts_end(&self, run: &RunId) -> bool {
        let latest = run.attempt >= self.attempt && run.attempt > self.last_failed_attempt;
        self.is_unplaced() && latest && !self.supersedes(run)
    }

    /// Returns whether the task was started again, or is about to be, without knowledge of the end of
    /// this run.
    fn supersedes(&self, run: &RunId) -> bool {
        self.attempt > run.attempt || self.superseded >= run.attempt
    }
}

impl Job {
    /// Returns the shard of the job if it is durable.
    pub(super) fn shard(&self) -> Option<Shard> {
        self.durable.as_ref().map(|durable| durable.shard)
    }

    /// Returns whether the job was accepted and no task of it has been started, as far as is known. A
    /// task that an agent returned has not been.
    pub(super) fn is_queued(&self) -> bool {
        let stored = self.durable.as_ref();
        let stored = stored.is_none_or(|durable| durable.stored == StoredState::Open);
        let any_done = || {
            let mut phases = self.phases.iter();
            phases.any(|phase| (phase.unfinished_tasks as usize) < phase.tasks.len())
        };
        stored && self.progress != Progress::Closed && self.is_unstarted() && !any_done()
    }

    /// Returns whether the job ended so long before `store_ms`, the present time on the store's clock, that
    /// its row can be deleted.
    pub(super) fn is_retention_over(&self, store_ms: u64) -> bool {
        let durable = self.durable.as_ref();
        durable.is_some_and(|durable| {
            durable.stored == StoredState::Ended
                && self.placed_tasks == 0
                && durable.ended_ms > 0
                && durable.ended_ms.saturating_add(RETENTION_MS) < store_ms
        })
    }
}

/// Returns the number of a task's next attempt in an epoch. `last` is the number of its latest
/// known attempt. Each epoch has its own range of numbers, since attempts of earlier epochs may be
/// unknown after the job was loaded.
pub(super) fn next_attempt(last: u32, epoch: u64) -> u32 {
    last.max(last_earlier_attempt(epoch)).saturating_add(1)
}

/// Returns the highest number that an attempt of an earlier epoch can have.
fn last_earlier_attempt(epoch: u64) -> u32 {
    let last = epoch.saturating_sub(1).saturating_mul(ATTEMPTS_PER_EPOCH);
    u32::try_from(last).unwrap_or(u32::MAX - 1)
}

/// Converts the outcome of a durable job to an answer.
pub(super) fn end_answer(end: JobEnd) -> Answer {
    match end {
        JobEnd::Completed => Answer::Completed,
        JobEnd::Failed => Answer::Failed,
        JobEnd::Cancelled => Answer::Cancelled,
    }
}

/// Returns the fields of the log event for an ended job. Some keys differ from what they hold:
/// `outcome` is the cause of the end, `first_start_ms` the time from the submission to the first
/// placement of a task, and `stopped` the number of tasks that were still placed at the end.
pub(super) fn job_end_fields(
    now: Now,
    job: &Job,
    cause: &'static str,
) -> Vec<(&'static str, String)> {
    let first_placement = job
        .first_placed_at
        .map(|at| at.saturating_sub(job.submitted_at));
    vec![
        ("job", job.request.id.to_string()),
        ("queue", job.request.queue.to_string()),
        ("outcome", cause.to_owned()),
        ("took_ms", ms(now.since(job.submitted_at))),
        ("objective_ms", ms(job.objective)),
        (
            "first_start_ms",
            first_placement.map(ms).unwrap_or_default(),
        ),
        ("starts", job.starts.to_string()),
        ("stopped", job.placed_tasks.to_string()),
    ]
}
