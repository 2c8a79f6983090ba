//! What callers ask for.

use std::time::Duration;

use smol_str::SmolStr;

use super::durable::end_fields;
use super::forwarding::{JobCall, encode_reply};
use super::io::{Action, Answer, CallKey, JobState};
use super::jobs::{Job, JobKey, Progress};
use super::machine::{Machine, log, ms};
use super::place::Tier;
use super::record::End;
use crate::clock::Now;
use crate::job::{JobRequest, QueueConfig};

/// Multiple of the objective after which an answer is worth nothing to the caller.
pub(super) const LATE_FACTOR: u32 = 3;

/// Time in which a late job that has not started may still be served; with less it is refused.
const LATE_CHANCE: Duration = Duration::from_millis(700);

/// Time before the caller's limit at which a job is given up, so that the answer still arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Jobs that may be open; further ones are refused.
const OPEN_JOBS: usize = 5_000;

/// When a refused submission may be tried again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Machine {
    pub(super) fn submit(
        &mut self,
        now: Now,
        call: CallKey,
        request: JobRequest,
        out: &mut Vec<Action>,
    ) {
        self.metrics.submitted.inc();
        let rules = self.catalog.as_ref();
        let Some(rules) = rules
            .and_then(|catalog| catalog.queue(&request.queue))
            .cloned()
        else {
            return out.push(Action::Reply(call, Answer::NoQueue));
        };
        if let Some(feature) = request.unsupported {
            return self.refuse(call, &request.id, &feature.to_string(), out);
        }
        if request.durable {
            return self.call_owner(now, call, JobCall::Submit(Box::new(request)), out);
        }
        if self.is_closed(now) {
            return self.refuse(call, &request.id, "stopping", out);
        }
        if let Some(key) = self.jobs.find(&request.id) {
            return self.submit_again(key, call, request, out);
        }
        if self.jobs.len() >= OPEN_JOBS {
            return self.refuse(call, &request.id, "too many open jobs", out);
        }
        self.admit(now, call, request, rules, out);
    }

    fn admit(
        &mut self,
        now: Now,
        call: CallKey,
        request: JobRequest,
        rules: QueueConfig,
        out: &mut Vec<Action>,
    ) {
        let objective = self.objective(&rules, &request);
        self.log_received(&request, objective, out);
        let job = Job::new(now.mono, Some(call), request, rules, objective);
        self.jobs.insert(job);
        self.changed = true;
    }

    /// Response time in which the answer meets the target, by what is known of run times.
    pub(super) fn objective(&self, rules: &QueueConfig, request: &JobRequest) -> Duration {
        let chain = self.learning.expected(&rules.name, request.critical_path());
        rules.target + chain.mul_f64(rules.stretch)
    }

    pub(super) fn log_received(
        &self,
        request: &JobRequest,
        objective: Duration,
        out: &mut Vec<Action>,
    ) {
        let fields = vec![
            ("job", request.id.to_string()),
            ("queue", request.queue.to_string()),
            ("tasks", request.tasks().to_string()),
            ("objective_ms", ms(objective)),
            (
                "config",
                self.catalog.as_ref().map_or(0, |c| c.version).to_string(),
            ),
            ("open_jobs", self.jobs.len().to_string()),
        ];
        log(out, 301, "job received", false, fields);
    }

    /// The same job is open: the caller waits for its end, or for the next run if this one was
    /// given up.
    fn submit_again(
        &mut self,
        key: JobKey,
        call: CallKey,
        request: JobRequest,
        out: &mut Vec<Action>,
    ) {
        let fields = vec![("job", request.id.to_string())];
        log(out, 302, "job submitted again", false, fields);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.record.is_some() {
            return self.refuse(call, &request.id, "the id is in use", out);
        }
        if job.progress != Progress::Closing {
            return self.jobs.join(key, call);
        }
        let before = job.next.replace(Box::new((call, request)));
        if let Some((earlier, _)) = before.map(|next| *next) {
            self.reply(earlier, Answer::GaveUp, out);
        }
    }

    pub(super) fn refuse(
        &mut self,
        call: CallKey,
        id: &SmolStr,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        self.metrics.refused.inc();
        let fields = vec![("job", id.to_string()), ("reason", reason.to_owned())];
        log(out, 303, "job refused as not run", false, fields);
        let answer = Answer::NotRun {
            reason: reason.into(),
            retry: RETRY_AFTER,
        };
        self.reply(call, answer, out);
    }

    /// Answers a caller, here or at the process that has passed its request on.
    pub(super) fn reply(&mut self, call: CallKey, answer: Answer, out: &mut Vec<Action>) {
        match self.forwarding.take_remote(call) {
            Some((link, number)) => out.push(Action::Send(link, encode_reply(number, &answer))),
            None => out.push(Action::Reply(call, answer)),
        }
    }

    pub(super) fn query(&mut self, now: Now, call: CallKey, id: &str, out: &mut Vec<Action>) {
        let job = self.jobs.find(id).and_then(|key| self.jobs.get(key));
        let Some(job) = job.filter(|job| job.record.is_none()) else {
            return self.call_owner(now, call, JobCall::Query(id.into()), out);
        };
        let answer = match job.progress {
            Progress::Queued => Answer::State(JobState::Queued),
            Progress::Running => Answer::State(JobState::Running),
            Progress::Closing => Answer::NoJob,
        };
        self.reply(call, answer, out);
    }

    pub(super) fn count(&mut self, now: Now, call: CallKey, queue: &str, out: &mut Vec<Action>) {
        let known = self.catalog.as_ref();
        if known.and_then(|catalog| catalog.queue(queue)).is_none() {
            return self.reply(call, Answer::NoQueue, out);
        }
        let waiting = self
            .jobs
            .iter()
            .filter(|(_, job)| job.request.queue == queue && job.is_queued());
        let here = u32::try_from(waiting.count()).unwrap_or(u32::MAX);
        let pending = here.saturating_add(self.peers.waiting(now.mono, queue));
        self.reply(call, Answer::Pending(pending), out);
    }

    pub(super) fn cancel(&mut self, now: Now, call: CallKey, id: &str, out: &mut Vec<Action>) {
        let open = self.jobs.find(id).filter(|key| {
            let job = self.jobs.get(*key);
            job.is_some_and(|job| job.progress != Progress::Closing && job.record.is_none())
        });
        let Some(key) = open else {
            self.cancel_elsewhere(id, out);
            return self.call_owner(now, call, JobCall::Cancel(id.into()), out);
        };
        self.close_job(now, key, Answer::Cancelled, "cancelled", out);
        self.reply(call, Answer::Cancelled, out);
    }

    /// Nobody waits for the job any more, so its answer would be lost.
    pub(super) fn call_gone(&mut self, now: Now, call: CallKey, out: &mut Vec<Action>) {
        let Some((key, last)) = self.jobs.leave(call) else {
            return;
        };
        if last {
            self.close_job(now, key, Answer::GaveUp, "caller gone", out);
        }
    }

    /// Gives up jobs whose answer would come too late.
    pub(super) fn expire_jobs(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut expired: Vec<(JobKey, &'static str)> = Vec::new();
        let fleet = self.fleet_view(now);
        for (key, job) in self.jobs.iter() {
            if job.progress == Progress::Closing || job.record.is_some() {
                continue;
            }
            let age = now.since(job.arrived);
            let wait = job.request.wait.unwrap_or(Duration::MAX);
            if age + ANSWER_MARGIN >= wait {
                expired.push((key, "caller's time limit"));
                continue;
            }
            let chance = (job.objective * LATE_FACTOR).saturating_sub(age);
            let late = self.urgency(now, job, fleet).0 != Tier::InTime;
            if job.is_untouched() && late && (chance < LATE_CHANCE || fleet.scarce) {
                expired.push((key, "no room in time"));
            }
        }
        for (key, cause) in expired {
            self.give_up(now, key, cause, out);
        }
    }

    /// Gives a job up; the answer says whether it may have run.
    fn give_up(&mut self, now: Now, key: JobKey, cause: &'static str, out: &mut Vec<Action>) {
        let untouched = self.jobs.get(key).is_some_and(Job::is_untouched);
        let answer = if untouched {
            Answer::NotRun {
                reason: cause.into(),
                retry: RETRY_AFTER,
            }
        } else {
            Answer::GaveUp
        };
        self.close_job(now, key, answer, cause, out);
    }

    /// Answers all callers of a job and stops what still runs of it.
    pub(super) fn close_job(
        &mut self,
        now: Now,
        key: JobKey,
        answer: Answer,
        cause: &'static str,
        out: &mut Vec<Action>,
    ) {
        if self.jobs.get(key).is_some_and(|job| job.record.is_some()) {
            let end = match answer {
                Answer::Completed => End::Completed,
                Answer::Cancelled => End::Cancelled,
                _ => End::Failed,
            };
            return self.end_durable(now, key, end, cause, out);
        }
        for call in self.jobs.take_calls(key) {
            self.reply(call, answer.clone(), out);
        }
        self.stop_tasks(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.progress = Progress::Closing;
        let took = now.since(job.arrived);
        let fields = end_fields(now, job, cause);
        let served = matches!(answer, Answer::Completed | Answer::Failed);
        log(out, 304, "job ended", !served, fields);
        self.metrics.observe_end(&answer, took);
        self.drop_closed(now, key, out);
    }

    /// Forgets a job that was given up, once nothing of it runs.
    pub(super) fn drop_closed(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let job = self.jobs.get(key);
        let ended = job.filter(|job| job.progress == Progress::Closing && job.out == 0);
        if ended.is_none_or(|job| job.record.is_some()) {
            return;
        }
        let next = self.jobs.remove(key).and_then(|job| job.next);
        if let Some((call, request)) = next.map(|next| *next) {
            self.submit(now, call, request, out);
        }
    }
}
