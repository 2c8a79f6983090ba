//! Requests of callers: submissions, queries and cancellations, at the owner and on the way to it.

use std::time::Duration;

use knapweedwall_wire::{Admit, JournalRecord, Reply as ReplyFrame, journal_record::Body};
use prost::Message;

use super::io::{Action, CallKey};
use super::jobs::{Admission, Job, JobOutcome, JobRef, TaskState};
use super::journal::{MAX_RECORD_BYTES, OwnershipCheck, RecordKind};
use super::machine::Machine;
use super::replies::{self, HttpReply, JobFailure, StartedTasks};
use super::routing::{JobRequest, MAX_HOPS, RoutedRequest};
use super::shards::ShardRole;
use super::tasks::reply_to_waiters;
use super::waiters::{ReplyTarget, Waiter};
use crate::clock::Now;
use crate::ids::{Instance, JobId, JobKey, Shard};
use crate::peer::LinkKey;

/// Minimum time a submission waits for a slow store before it is refused.
const MIN_STORE_WAIT: Duration = Duration::from_secs(2);

impl Machine {
    /// Handles a request received by this process over HTTP.
    pub(super) fn handle_call(
        &mut self,
        now: Now,
        call: CallKey,
        (id, request): (JobId, JobRequest),
        wait: Duration,
        out: &mut Vec<Action>,
    ) {
        let target = ReplyTarget::Call(call);
        let deadline = now.mono + wait;
        self.route_new(now, Waiter { target, deadline }, id, request, 0, out);
    }

    /// Handles a request forwarded by another entry process.
    pub(super) fn handle_forwarded(
        &mut self,
        now: Now,
        (link, number): (LinkKey, u64),
        (id, request): (&str, JobRequest),
        (wait_ms, hops): (u32, u32),
        out: &mut Vec<Action>,
    ) {
        let target = ReplyTarget::Peer(link, number);
        let deadline = now.mono + Duration::from_millis(u64::from(wait_ms));
        let waiter = Waiter { target, deadline };
        match JobId::parse(id) {
            Ok(id) => self.route_new(now, waiter, id, request, hops, out),
            Err(error) => {
                let reply =
                    replies::error_reply(400, "bad_id", &error.to_string(), StartedTasks::None);
                out.push(waiter.reply(&reply));
            }
        }
    }

    fn route_new(
        &mut self,
        now: Now,
        waiter: Waiter,
        id: JobId,
        request: JobRequest,
        hops: u32,
        out: &mut Vec<Action>,
    ) {
        let routed = RoutedRequest {
            waiter,
            key: id.key(),
            id,
            request,
            hops,
            received_at: now.mono,
            maybe_applied: false,
        };
        self.route(now, routed, out);
    }

    /// Passes the owner's reply on to the original requester.
    pub(super) fn handle_reply(&mut self, link: LinkKey, reply: ReplyFrame, out: &mut Vec<Action>) {
        let Some(routed) = self.routing.take_forwarded(link, reply.number) else {
            return;
        };
        let status = u16::try_from(reply.status).unwrap_or(500);
        let mut reply = HttpReply {
            status,
            body: reply.body,
        };
        // An earlier copy of the request, whose reply was lost, may have been applied.
        if routed.maybe_applied && matches!(routed.request, JobRequest::Submit(_)) && status >= 400
        {
            reply = replies::outcome_unknown();
        }
        out.push(routed.waiter.reply(&reply));
    }

    /// Serves a request locally, forwards it to the owner, or defers it until an owner is
    /// reachable.
    pub(super) fn route(&mut self, now: Now, routed: RoutedRequest, out: &mut Vec<Action>) {
        if self.shards.count() == 0 {
            self.routing.defer(routed);
            return;
        }
        let shard = routed.key.shard(self.shards.count());
        match self.shards.role(shard) {
            ShardRole::Serving if self.is_for_successor(&routed) => {
                return self.routing.defer(routed);
            }
            ShardRole::Serving => return self.serve(now, shard, routed, out),
            ShardRole::Foreign => {}
            _ => return self.routing.defer(routed),
        }
        let owner = self.shards.get(shard).map_or(0, |info| info.row.owner);
        let direct = self.peers.link_of(now.mono, Instance(owner));
        let relay = || self.peers.relay_link(now.mono, routed.waiter.link());
        // Another peer may still be connected to an owner that this process has lost contact with.
        let link = direct.or_else(|| (routed.hops == 0).then(relay).flatten());
        match link {
            Some(link) if owner != 0 && routed.hops < MAX_HOPS => {
                self.metrics.forwarded.inc();
                let frame = self.routing.forward(now.mono, link, routed);
                out.push(Action::Send(link, frame));
            }
            _ => self.routing.defer(routed),
        }
    }

    /// Returns whether a new job should wait for the successor of this process during a planned
    /// stop.
    fn is_for_successor(&mut self, routed: &RoutedRequest) -> bool {
        self.stop_started.is_some()
            && matches!(routed.request, JobRequest::Submit(_))
            && self.peers.has_successor()
            && self.jobs.find(routed.key).is_none()
    }

    /// Retries deferred requests and refuses those that have waited longer than `route_limit`.
    pub(super) fn retry_routes(&mut self, now: Now, out: &mut Vec<Action>) {
        for routed in self.routing.take_deferred() {
            if now.since(routed.received_at) < self.settings.route_limit {
                self.route(now, routed, out);
                continue;
            }
            let reply = if routed.maybe_applied {
                replies::outcome_unknown()
            } else {
                replies::owner_unreachable()
            };
            out.push(routed.waiter.reply(&reply));
        }
    }

    fn serve(&mut self, now: Now, shard: Shard, routed: RoutedRequest, out: &mut Vec<Action>) {
        let waiter = routed.waiter;
        match routed.request {
            JobRequest::Submit(admit) => self.submit(now, shard, routed.id, waiter, *admit, out),
            JobRequest::Query => self.query(now, &routed.id, waiter, out),
            JobRequest::Cancel => self.cancel(now, &routed.id, waiter, out),
        }
    }

    fn submit(
        &mut self,
        now: Now,
        shard: Shard,
        id: JobId,
        waiter: Waiter,
        mut admit: Admit,
        out: &mut Vec<Action>,
    ) {
        let key = id.key();
        if let Some(found) = self.jobs.find(key) {
            if found.digest() == admit.digest {
                return self.query(now, &id, waiter, out);
            }
            let text = "the id belongs to a job with other content; none of this content ran";
            out.push(waiter.reply(&replies::error_reply(
                409,
                "id_reused",
                text,
                StartedTasks::None,
            )));
            return;
        }
        admit.job = key.to_bytes();
        admit.admitted_ms = now.wall_ms;
        if let Err((code, reply)) = self.check_admission(now, &admit) {
            let known = self.config.classes.contains_key(admit.class.as_str());
            self.metrics.record_refusal(&admit.class, known, code);
            out.push(waiter.reply(&reply));
            return;
        }
        let admit = self.record_admission(now, shard, key, admit);
        let mut job = Job::new(id, shard, admit, now.mono, Admission::Queued);
        job.waiters.push(waiter);
        self.jobs.insert(job);
        self.deadlines.add(waiter.deadline, key);
    }

    /// Queues the journal record of an admission. Returns the admission, which is moved into the
    /// record while it is encoded.
    fn record_admission(&mut self, now: Now, shard: Shard, key: JobKey, admit: Admit) -> Admit {
        let record = JournalRecord {
            shard: shard.0,
            body: Some(Body::Admit(admit)),
        };
        let kind_and_record = (RecordKind::Admission(key), &record);
        let ownership = OwnershipCheck::Shard(shard, self.shards.epoch(shard));
        self.journal
            .push(now.mono, kind_and_record, ownership, true);
        match record.body {
            Some(Body::Admit(admit)) => admit,
            _ => Admit::default(),
        }
    }

    /// Checks whether a new submission can be admitted.
    fn check_admission(&self, now: Now, admit: &Admit) -> Result<(), (&'static str, HttpReply)> {
        let refuse =
            |status, code, text, ran| Err((code, replies::error_reply(status, code, text, ran)));
        if admit.expires_ms != 0 && admit.expires_ms <= now.wall_ms {
            let text = "the time of this id is over; an earlier submission may have run";
            return refuse(410, "expired", text, StartedTasks::Unknown);
        }
        if self.stop_started.is_some() {
            let text = "this process is stopping and no other can take the job";
            return refuse(503, "stopping", text, StartedTasks::None);
        }
        let bytes = admit.encoded_len();
        if bytes > MAX_RECORD_BYTES {
            let text = "the job is larger than 900 KiB";
            return refuse(413, "too_large", text, StartedTasks::None);
        }
        if !self.journal.has_room(bytes) {
            let text = "the store does not take admissions fast enough";
            return refuse(503, "store_unavailable", text, StartedTasks::None);
        }
        let tasks = u32::try_from(admit.tasks.len()).unwrap_or(u32::MAX);
        self.dispatcher
            .admit(now, &admit.class, &admit.team, tasks)
            .map_err(replies::admission_error)
    }

    /// Replies with the result of a job, or adds a waiter if the job has not ended.
    fn query(&mut self, now: Now, id: &JobId, waiter: Waiter, out: &mut Vec<Action>) {
        let key = id.key();
        match self.jobs.find(key) {
            None => {
                let text = "no job of this id was admitted, or its time is over";
                out.push(waiter.reply(&replies::error_reply(
                    404,
                    "unknown_job",
                    text,
                    StartedTasks::None,
                )));
            }
            Some(JobRef::Open(job)) => {
                job.waiters.push(waiter);
                self.deadlines.add(waiter.deadline, key);
            }
            Some(JobRef::Ended(ended_job)) => {
                ended_job.waiters.push(waiter);
                if ended_job.can_reply() {
                    reply_to_waiters(now, ended_job, out);
                } else {
                    self.deadlines.add(waiter.deadline, key);
                }
            }
            Some(JobRef::Collected(collected)) => {
                let reply = replies::collected(id.as_str(), &collected.failure_code);
                out.push(waiter.reply(&reply));
            }
        }
    }

    fn cancel(&mut self, now: Now, id: &JobId, waiter: Waiter, out: &mut Vec<Action>) {
        let key = id.key();
        let Some(job) = self.jobs.open(key) else {
            return self.query(now, id, waiter, out);
        };
        job.waiters.push(waiter);
        self.deadlines.add(waiter.deadline, key);
        self.try_cancel(now, key, out);
    }

    /// Ends an open job as cancelled: drops waiting tasks and stops running ones.
    ///
    /// The cancellation must follow the admission in the journal, so that a resubmission finds the
    /// job cancelled; it therefore waits until the admission is durable. A job recovered from a
    /// former owner may have been reported as complete, so its cancellation waits until the states
    /// of all its tasks are known.
    pub(super) fn try_cancel(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.open(key) else {
            return;
        };
        let unknown = job.tasks.contains(&TaskState::Unknown);
        if job.admission != Admission::Durable || unknown {
            self.ownership.pending_cancels.push(key);
            return;
        }
        for agent in job.agents_with_tasks() {
            self.agents.queue_cancel(agent, key.to_bytes());
        }
        let failure = JobFailure::new("cancelled", "the job was cancelled by a caller");
        self.end_job(now, key, JobOutcome::Failed(failure), out);
    }

    /// Retries cancellations that had to wait.
    pub(super) fn retry_cancels(&mut self, now: Now, out: &mut Vec<Action>) {
        for key in std::mem::take(&mut self.ownership.pending_cancels) {
            self.try_cancel(now, key, out);
        }
    }

    /// Replies to waiters whose deadline has passed.
    pub(super) fn expire_waiters(&mut self, now: Now, out: &mut Vec<Action>) {
        while let Some(key) = self.deadlines.pop(now.mono) {
            let (reply, waiters) = match self.jobs.find(key) {
                Some(JobRef::Open(job)) if job.admission == Admission::Durable => {
                    (replies::running(job.id.as_str()), &mut job.waiters)
                }
                Some(JobRef::Open(job)) => (replies::pending(job.id.as_str()), &mut job.waiters),
                Some(JobRef::Ended(ended_job)) => (
                    replies::running(ended_job.id.as_str()),
                    &mut ended_job.waiters,
                ),
                _ => continue,
            };
            waiters.retain(|waiter| {
                let expired = waiter.deadline <= now.mono;
                if expired {
                    out.push(waiter.reply(&reply));
                }
                !expired
            });
        }
    }

    /// Refuses submissions that have waited too long for a slow store and whose admission records
    /// have not been sent to it.
    pub(super) fn expire_submissions(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.ownership.is_store_slow(now.mono) {
            return;
        }
        let mut overdue = Vec::new();
        for job in self.jobs.iter_open() {
            if job.admission != Admission::Queued {
                continue;
            }
            let class = self.config.classes.get(job.admit.class.as_str());
            let limit = class.map_or(MIN_STORE_WAIT, |class| class.target.max(MIN_STORE_WAIT));
            if now.since(job.arrived) > limit {
                overdue.push(job.key);
            }
        }
        let text = "the store did not take the admission in time; it was never sent";
        let reply = replies::error_reply(503, "store_unavailable", text, StartedTasks::None);
        for key in overdue {
            self.journal.cancel_admission(key);
            let Some(job) = self.jobs.remove_open(key) else {
                continue;
            };
            for waiter in job.waiters {
                out.push(waiter.reply(&reply));
            }
        }
    }
}
