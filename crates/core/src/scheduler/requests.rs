//! Requests of callers.

use std::time::Duration;

use smallvec::SmallVec;
use smol_str::SmolStr;

use super::durable_jobs::job_end_fields;
use super::forwarding::{ForwardedRequest, encode_reply, with_time_left};
use super::io::{Action, Answer, CallKey, JobState};
use super::jobs::{Job, JobKey, Progress, Resubmission};
use super::machine::{Machine, log, ms};
use super::priority::Tier;
use super::scarcity::Scarcity;
use super::stored_job::JobEnd;
use crate::clock::Now;
use crate::job::{JobRequest, QueueConfig};

/// Multiple of the objective after which an answer is of no use to the caller.
pub(super) const EXPIRY_FACTOR: u32 = 3;

/// A late job that has not started is abandoned when less than this time remains until it expires.
const MIN_TIME_FOR_LATE_START: Duration = Duration::from_millis(700);

/// How long before the caller's time limit a job is abandoned, so that the reply arrives in time.
pub(super) const REPLY_MARGIN: Duration = Duration::from_millis(20);

/// Number of open jobs at which non-durable submissions are refused.
const MAX_OPEN_JOBS: usize = 5_000;

/// Time after which a submission may be retried that was refused for another reason than load.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Machine {
    /// Handles the submission of a job.
    pub(super) fn submit(
        &mut self,
        now: Now,
        call: CallKey,
        request: JobRequest,
        out: &mut Vec<Action>,
    ) {
        self.metrics.submitted.inc();
        let arrived_at = self.read_delay.earliest_arrival(now.mono);
        self.submit_arrived(now, (call, arrived_at), request, out);
    }

    /// Handles a submission that arrived at the given time, perhaps for the second time after it has
    /// waited for an earlier job with its id.
    pub(super) fn submit_arrived(
        &mut self,
        now: Now,
        (call, arrived_at): (CallKey, Duration),
        request: JobRequest,
        out: &mut Vec<Action>,
    ) {
        let catalog = self.configuration.catalog.as_ref();
        let Some(queue_config) = catalog
            .and_then(|catalog| catalog.queue(&request.queue))
            .cloned()
        else {
            return self.reject_unknown_queue(now, call, out);
        };
        if let Some(feature) = request.unsupported {
            return self.refuse(call, &request.id, &feature.to_string(), out);
        }
        if request.durable {
            return self.route_to_owner(
                now,
                call,
                ForwardedRequest::Submit(Box::new(request)),
                out,
            );
        }
        if let Some(key) = self.jobs.find(&request.id) {
            return self.resubmit(now, key, (call, arrived_at), request, out);
        }
        let request = Box::new(request);
        let Some(request) = self.join_elsewhere(now, (call, arrived_at), request, out) else {
            return;
        };
        // Callers may use their connections for one more request after they are routed elsewhere.
        if self.outlives_process(now, self.objective(&queue_config, &request)) {
            return self.refuse(call, &request.id, "stopping", out);
        }
        if self.jobs.open_len() >= MAX_OPEN_JOBS {
            let retry = self.schedule_retry(now, &request);
            return self.refuse_until(call, &request.id, "too many open jobs", retry, out);
        }
        self.admit(now, (call, arrived_at), *request, queue_config, out);
    }

    /// Adds a non-durable job.
    fn admit(
        &mut self,
        now: Now,
        (call, arrived_at): (CallKey, Duration),
        request: JobRequest,
        queue_config: QueueConfig,
        out: &mut Vec<Action>,
    ) {
        let objective = self.objective(&queue_config, &request);
        let queue = &request.queue;
        let waited = request.wait.map_or(Duration::ZERO, |wait| {
            self.caller_limits.observe(now.mono, queue, wait)
        });
        self.log_received(now, &request, objective, waited, out);
        let mut job = Job::new(now.mono, Some(call), request, queue_config, objective);
        job.arrived_at = arrived_at;
        job.requested_at = now.mono.saturating_sub(waited);
        self.jobs.insert(job);
        self.placement_pending = true;
    }

    /// Returns the response time to aim for: target + stretch * expected run time, where target and
    /// stretch are those of the queue.
    pub(super) fn objective(&self, queue_config: &QueueConfig, request: &JobRequest) -> Duration {
        let run_time = self
            .run_times
            .expected_run_time(&queue_config.name, request.critical_path());
        queue_config.target + run_time.mul_f64(queue_config.stretch)
    }

    pub(super) fn log_received(
        &self,
        now: Now,
        request: &JobRequest,
        objective: Duration,
        waited: Duration,
        out: &mut Vec<Action>,
    ) {
        let fields = vec![
            ("job", request.id.to_string()),
            ("queue", request.queue.to_string()),
            ("tasks", request.tasks().to_string()),
            ("objective_ms", ms(objective)),
            ("wait_ms", request.wait.map(ms).unwrap_or_default()),
            ("waited_ms", ms(waited)),
            ("config", self.configuration.version().to_string()),
            ("config_age_ms", self.config_age_ms(now)),
            ("open_jobs", self.jobs.open_len().to_string()),
            ("owner", self.settings.instance.to_string()),
            ("peers", self.peers.links().count().to_string()),
            ("lost_peers", self.peers.lost_len().to_string()),
        ];
        log(out, 301, "job received", false, fields);
    }

    /// Handles a submission whose id is in use: the caller joins an open job, or its submission is
    /// processed once a closing job is removed.
    fn resubmit(
        &mut self,
        now: Now,
        key: JobKey,
        (call, arrived_at): (CallKey, Duration),
        request: JobRequest,
        out: &mut Vec<Action>,
    ) {
        let fields = vec![("job", request.id.to_string())];
        log(out, 302, "job submitted again", false, fields);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.durable.is_some() {
            return self.refuse(call, &request.id, "the id is in use", out);
        }
        if job.progress != Progress::Closed {
            return self.jobs.add_caller(key, call);
        }
        let received_at = now.mono;
        let replaced = job.resubmission.replace(Box::new(Resubmission {
            call,
            request,
            received_at,
            arrived_at,
        }));
        if let Some(earlier) = replaced {
            self.reply(earlier.call, Answer::OutcomeUnknown, out);
        }
    }

    /// Refuses a submission of which no task was started.
    pub(super) fn refuse(
        &mut self,
        call: CallKey,
        id: &SmolStr,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        self.refuse_until(call, id, reason, RETRY_AFTER, out);
    }

    /// Refuses a submission of which no task was started. Its caller may retry it after `retry`.
    fn refuse_until(
        &mut self,
        call: CallKey,
        id: &SmolStr,
        reason: &str,
        retry: Duration,
        out: &mut Vec<Action>,
    ) {
        self.metrics.refused.inc();
        let fields = vec![
            ("job", id.to_string()),
            ("reason", reason.to_owned()),
            ("retry_ms", ms(retry)),
        ];
        log(out, 303, "submission refused", false, fields);
        let answer = Answer::NotRun {
            reason: reason.into(),
            retry,
        };
        self.reply(call, answer, out);
    }

    /// Reserves capacity for a job that is refused, and returns the time after which its caller may
    /// come back.
    fn schedule_retry(&mut self, now: Now, request: &JobRequest) -> Duration {
        let mut work = 0.0;
        for phase in &request.phases {
            let run_time = self
                .run_times
                .expected_run_time(&request.queue, phase.estimate);
            let cores = f64::from(phase.resources.cpu) * f64::from(phase.count) / 1_000.0;
            work += cores * run_time.as_secs_f64();
        }
        let processes = self.peers.links().count() + 1;
        let cores = self.fleet_view(now).cores / processes as f64;
        self.retry_schedule.reserve(now.mono, work, cores)
    }

    /// Answers a caller, directly or through the process that forwarded its request.
    pub(super) fn reply(&mut self, call: CallKey, answer: Answer, out: &mut Vec<Action>) {
        match self.forwarding.take_remote(call) {
            Some((link, number)) => out.push(Action::Send(link, encode_reply(number, &answer))),
            None => out.push(Action::Reply(call, answer)),
        }
    }

    /// Answers with the state of a local, non-durable job, and passes any other query to the owner
    /// of the job's shard.
    pub(super) fn query(&mut self, now: Now, call: CallKey, id: &str, out: &mut Vec<Action>) {
        let job = self.jobs.find(id).and_then(|key| self.jobs.get(key));
        let Some(job) = job.filter(|job| job.durable.is_none()) else {
            return self.route_to_owner(now, call, ForwardedRequest::Query(id.into()), out);
        };
        let answer = match job.progress {
            Progress::Queued => Answer::State(JobState::Queued),
            Progress::Running => Answer::State(JobState::Running),
            Progress::Closed => Answer::NoJob,
        };
        self.reply(call, answer, out);
    }

    /// Answers with the number of jobs of a queue, at all entry processes, that wait for their first
    /// start.
    pub(super) fn count_pending(
        &mut self,
        now: Now,
        call: CallKey,
        queue: &str,
        out: &mut Vec<Action>,
    ) {
        let known = self.configuration.catalog.as_ref();
        if known.and_then(|catalog| catalog.queue(queue)).is_none() {
            return self.reject_unknown_queue(now, call, out);
        }
        let pending = self.pending_jobs(now, queue);
        self.reply(call, Answer::Pending(pending), out);
    }

    /// Cancels a local, non-durable job. For any other job, passes the cancellation to all other
    /// processes and to the owner of the job's shard.
    pub(super) fn cancel(&mut self, now: Now, call: CallKey, id: &str, out: &mut Vec<Action>) {
        let open = self.jobs.find(id).filter(|key| {
            let job = self.jobs.get(*key);
            job.is_some_and(|job| job.progress != Progress::Closed && job.durable.is_none())
        });
        let Some(key) = open else {
            self.broadcast_cancel(id, out);
            return self.route_to_owner(now, call, ForwardedRequest::Cancel(id.into()), out);
        };
        self.close_job(now, key, Answer::Cancelled, "cancelled", out);
        self.reply(call, Answer::Cancelled, out);
    }

    /// Removes a disconnected caller. A job without other callers is closed, since nobody would
    /// receive its answer.
    pub(super) fn caller_disconnected(&mut self, now: Now, call: CallKey, out: &mut Vec<Action>) {
        let Some((key, was_last)) = self.jobs.remove_caller(call) else {
            return self.forwarding.remove_parked_join(call);
        };
        if was_last {
            self.close_job(now, key, Answer::OutcomeUnknown, "caller gone", out);
        }
    }

    /// Abandons non-durable jobs that would be answered too late.
    pub(super) fn expire_jobs(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut expired: Vec<(JobKey, &'static str)> = Vec::new();
        let fleet = self.fleet_view(now);
        let mut scarcity = Scarcity::default();
        for (key, job) in self.jobs.iter_open() {
            if job.progress == Progress::Closed || job.durable.is_some() {
                continue;
            }
            let age = now.since(job.submitted_at);
            let wait = job.request.wait.unwrap_or(Duration::MAX);
            if age + REPLY_MARGIN >= wait {
                expired.push((key, "caller's time limit"));
                continue;
            }
            let late = |since| self.tier(now, job, fleet, since) != Tier::InTime;
            // That the caller has waited before the submission is an estimate, for which a job is
            // refused only while capacity is scarce.
            let left = (job.objective * EXPIRY_FACTOR).saturating_sub(age);
            let too_late = left < MIN_TIME_FOR_LATE_START && late(job.submitted_at);
            let service = &job.queue_config.service;
            let mut no_room =
                || late(job.requested_at) && self.is_scarce(now, service, None, &mut scarcity);
            if job.is_unstarted() && (too_late || no_room()) {
                // The cause means: not enough free capacity before the job expires.
                expired.push((key, "no room in time"));
            }
        }
        for (key, cause) in expired {
            self.abandon_job(now, key, cause, out);
        }
        self.expire_resubmissions(now, out);
    }

    /// Answers callers that wait for the end of an earlier job with their id, before their time limit.
    fn expire_resubmissions(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut expired: SmallVec<[JobKey; 4]> = SmallVec::new();
        for (key, job) in self.jobs.iter_open() {
            let Some(later) = &job.resubmission else {
                continue;
            };
            let wait = later.request.wait.unwrap_or(Duration::MAX);
            if now.since(later.received_at) + REPLY_MARGIN >= wait {
                expired.push(key);
            }
        }
        for key in expired {
            let job = self.jobs.get_mut(key);
            if let Some(later) = job.and_then(|job| job.resubmission.take()) {
                self.reply(later.call, Answer::OutcomeUnknown, out);
            }
        }
    }

    /// Abandons a job. The answer tells whether tasks of it may have run.
    fn abandon_job(&mut self, now: Now, key: JobKey, cause: &'static str, out: &mut Vec<Action>) {
        // A job that must not start yet may run at another process.
        let not_run = |job: &&Job| job.is_unstarted() && !self.awaits_acknowledgement(now, job);
        let job = self.jobs.get(key).filter(not_run);
        let answer = match job.map(|job| job.request.clone()) {
            Some(request) => Answer::NotRun {
                reason: cause.into(),
                retry: self.schedule_retry(now, &request),
            },
            None => Answer::OutcomeUnknown,
        };
        self.close_job(now, key, answer, cause, out);
    }

    /// Answers all callers of a job and stops its active runs.
    pub(super) fn close_job(
        &mut self,
        now: Now,
        key: JobKey,
        answer: Answer,
        cause: &'static str,
        out: &mut Vec<Action>,
    ) {
        if self.jobs.get(key).is_some_and(|job| job.durable.is_some()) {
            let end = match answer {
                Answer::Completed => JobEnd::Completed,
                Answer::Cancelled => JobEnd::Cancelled,
                _ => JobEnd::Failed,
            };
            return self.end_durable(now, key, end, cause, out);
        }
        for call in self.jobs.take_calls(key) {
            self.reply(call, answer.clone(), out);
        }
        self.stop_job(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.progress = Progress::Closed;
        let took = now.since(job.submitted_at);
        let fields = job_end_fields(now, job, cause);
        let served = matches!(answer, Answer::Completed | Answer::Failed);
        log(out, 304, "job ended", !served, fields);
        self.metrics.observe_end(&answer, took);
        self.remove_closed_job(now, key, out);
    }

    /// Removes a closed non-durable job once all its runs have ended, and processes a resubmission.
    pub(super) fn remove_closed_job(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let job = self.jobs.get(key);
        let ended = job.filter(|job| job.progress == Progress::Closed && job.placed_tasks == 0);
        if ended.is_none_or(|job| job.durable.is_some()) {
            return;
        }
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        // Only one of those who wait for the end may submit the job as a new one.
        let mut taken = job.resubmission.is_some();
        for (link, number) in job.late_joins {
            let answer = if taken {
                Answer::OutcomeUnknown
            } else {
                Answer::NoJob
            };
            taken = true;
            out.push(Action::Send(link, encode_reply(number, &answer)));
        }
        if let Some(later) = job.resubmission {
            let request = with_time_left(now, later.request, later.received_at);
            self.submit_arrived(now, (later.call, later.arrived_at), request, out);
        }
    }
}
