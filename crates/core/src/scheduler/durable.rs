//! Durable jobs: accepted once they are stored, and run to their end whatever process fails.
//!
//! A job is stored before its first task starts, and its end before it is shown. The end of a run
//! is stored before its agent lets the worker forget it, so that a later owner of the shard finds
//! each end either in the row or at the worker.

use std::time::Duration;

use knapweedwall_wire as wire;

use super::io::{Action, Answer, CallKey, JobState};
use super::jobs::{Job, JobKey, Place, Progress, Task};
use super::machine::{Machine, log, ms};
use super::record::{End, Record, Stored};
use super::shards::Holding;
use super::takeover::adopt_run;
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::ids::Shard;
use crate::job::{JobRequest, RunId, shard_of};

/// Longest time that progress of a job waits for other rows to be written with.
pub(super) const PROGRESS_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a job is known after its end.
const RETENTION_MS: u64 = 150_000;

/// Longest time that a caller's question waits for an end that may come any moment.
const QUERY_WAIT: Duration = Duration::from_millis(50);

/// Numbers of starts that one owner may use for a task; the next owner begins above them.
const ATTEMPTS_OF_EPOCH: u64 = 1_000;

/// Jobs that may be open; further ones are refused.
const OPEN_JOBS: usize = 20_000;

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
    pub(super) fn accept_again(
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

    /// Lets the agent of a worker settle the end of a run.
    pub(super) fn settle(&mut self, run: wire::RunRef) {
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
    /// for; so is one that may come any moment, for at most [`QUERY_WAIT`], so that callers need not
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
                let until = now.mono + QUERY_WAIT;
                return self.queries.extend(key.map(|key| (until, key, call)));
            }
            _ if queued => Answer::State(JobState::Queued),
            _ => Answer::State(JobState::Running),
        };
        let fields = vec![("job", id.to_owned()), ("state", format!("{answer:?}"))];
        log(out, 325, "state told", false, fields);
        self.reply(call, answer, out);
    }

    /// Answers callers who have waited for an end that has not come.
    pub(super) fn expire_queries(&mut self, now: Now, out: &mut Vec<Action>) {
        while self.queries.front().is_some_and(|look| look.0 <= now.mono) {
            let Some((_, key, call)) = self.queries.pop_front() else {
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
}

impl Task {
    /// Whether the task waits and nothing is known yet of this run of it.
    pub(super) fn awaits(&self, run: &RunId) -> bool {
        self.is_unplaced() && run.attempt > self.attempt
    }

    /// Whether it waits, also for a phase before its own: an earlier owner may have known that
    /// phase as done.
    fn is_unplaced(&self) -> bool {
        matches!(self.place, Place::Waiting | Place::Blocked)
    }

    /// Whether the task waits and the end of its last start, or of a later one, is not known yet:
    /// the run was given up for lost, or ordered by an earlier owner.
    pub(super) fn awaits_end(&self, run: &RunId) -> bool {
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
    pub(super) fn is_forgotten(&self, wall_ms: u64) -> bool {
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

/// Answer that says how a durable job ended.
pub(super) fn answer_of(end: End) -> Answer {
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
