//! Requests forwarded to other entry processes: for durable jobs to the owner of the job's shard, and
//! repeated submissions of other jobs to the process that holds the job.

use std::mem;
use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use knapweedwall_wire::job_call::Call;
use smol_str::SmolStr;

use super::held_jobs::LOST_JOBS_RETENTION;
use super::io::{Action, Answer, CallKey, JobState};
use super::jobs::job_hash;
use super::machine::Machine;
use super::peers::Holder;
use super::requests::REPLY_MARGIN;
use super::shards::Ownership;
use super::stored_job::{StoredState, decode_request, encode_request, find_fault};
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::ids::Shard;
use crate::job::{JobRequest, shard_of};
use crate::peer::LinkKey;

/// Bit that is set in the keys of requests forwarded by other entry processes.
const REMOTE_CALL_BIT: u64 = 1 << 63;

/// Longest time for which a request waits until the owner of its shard is known.
const OWNER_WAIT_LIMIT: Duration = Duration::from_millis(1_000);

/// Time after which no reply to a forwarded request is expected any more.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of requests that wait for an owner. Further ones are refused.
const MAX_PARKED_CALLS: usize = 4_096;

/// Time after which a refused request may be retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that another process may have to execute.
#[derive(Debug, Clone)]
pub(super) enum ForwardedRequest {
    /// Submits a job.
    Submit(Box<JobRequest>),
    /// Queries the state of a job.
    Query(SmolStr),
    /// Cancels a job.
    Cancel(SmolStr),
    /// Waits for the end of a non-durable job that the other process holds. The job is submitted here if
    /// the other process does not.
    Join(Box<JobRequest>),
    /// The same for a job that was held here as well. It is not submitted again, since the other process
    /// may have handed it over at the same time.
    HandOver(Box<JobRequest>),
}

impl ForwardedRequest {
    fn id(&self) -> &SmolStr {
        match self {
            Self::Submit(request) | Self::Join(request) | Self::HandOver(request) => &request.id,
            Self::Query(id) | Self::Cancel(id) => id,
        }
    }

    /// Returns for how long the request waits until it can be routed.
    fn route_limit(&self) -> Duration {
        match self {
            Self::Join(request) => {
                let wait = request.wait.unwrap_or(Duration::MAX);
                LOST_JOBS_RETENTION.min(wait.saturating_sub(REPLY_MARGIN))
            }
            _ => OWNER_WAIT_LIMIT,
        }
    }

    /// Returns the answer to the request if it cannot be routed.
    fn unrouted(&self) -> Answer {
        match self {
            // An earlier attempt of the caller may have been taken, by this process or another one.
            Self::Submit(_) | Self::Join(_) | Self::HandOver(_) => Answer::OutcomeUnknown,
            Self::Query(_) | Self::Cancel(_) => no_owner(),
        }
    }
}

/// A request that waits for an owner or for the owner's reply.
#[derive(Debug)]
struct PendingCall {
    call: CallKey,
    request: ForwardedRequest,
    since: Duration,
    /// When the caller's request arrived at the earliest.
    arrived_at: Duration,
}

/// Requests to and from other entry processes.
#[derive(Debug, Default)]
pub(super) struct Forwarding {
    /// Requests that wait for an owner.
    parked: Vec<PendingCall>,
    /// Forwarded requests without a reply, by number.
    sent: DeterministicMap<u64, (LinkKey, PendingCall)>,
    /// Open requests forwarded by other processes: connection, and number on that connection.
    remote: DeterministicMap<CallKey, (LinkKey, u64)>,
    /// Number of the last request, forwarded or received.
    last_number: u64,
}

impl Forwarding {
    /// Adds a request that another process forwarded.
    pub(super) fn add_remote(&mut self, link: LinkKey, number: u64) -> CallKey {
        self.last_number += 1;
        let call = CallKey(self.last_number | REMOTE_CALL_BIT);
        self.remote.insert(call, (link, number));
        call
    }

    /// Removes a repeated submission that waits to be routed, since its caller has gone.
    pub(super) fn remove_parked_join(&mut self, call: CallKey) {
        let is_join = |pending: &PendingCall| matches!(pending.request, ForwardedRequest::Join(_));
        self.parked
            .retain(|pending| pending.call != call || !is_join(pending));
    }

    /// Removes a request that another process forwarded. Returns its connection and number.
    pub(super) fn take_remote(&mut self, call: CallKey) -> Option<(LinkKey, u64)> {
        if call.0 & REMOTE_CALL_BIT == 0 {
            return None;
        }
        self.remote.remove(&call)
    }

    /// Returns whether a request waits for an owner or a reply.
    pub(super) fn has_pending(&self) -> bool {
        !self.parked.is_empty() || !self.sent.is_empty()
    }
}

impl Machine {
    /// Executes a request if this process owns the job's shard, else forwards it to the owner.
    pub(super) fn route_to_owner(
        &mut self,
        now: Now,
        call: CallKey,
        request: ForwardedRequest,
        out: &mut Vec<Action>,
    ) {
        let pending = PendingCall {
            call,
            request,
            since: now.mono,
            arrived_at: now.mono,
        };
        self.route(now, pending, out);
    }

    /// Executes a request, forwards it, or parks it while no owner of the shard is known.
    fn route(&mut self, now: Now, pending: PendingCall, out: &mut Vec<Action>) {
        if let ForwardedRequest::Join(request) = pending.request {
            return match self.peers.holder_of(now.mono, job_hash(&request.id)) {
                Some(Holder::Lost(_)) => {
                    let request = ForwardedRequest::Join(request);
                    self.park(PendingCall { request, ..pending }, out);
                }
                _ => {
                    let request = with_time_left(now, *request, pending.since);
                    let call = (pending.call, pending.arrived_at);
                    self.submit_arrived(now, call, request, out);
                }
            };
        }
        let Some(shard) = shard_of(pending.request.id()) else {
            return self.reply(pending.call, Answer::NoJob, out);
        };
        if self.may_execute(now, &pending.request, shard) {
            return self.execute(now, pending.call, pending.request, shard, out);
        }
        let Some(link) = self.peers.owner_of(shard) else {
            return self.park(pending, out);
        };
        self.send_call(link, pending, out);
    }

    /// Forwards a request to a process.
    pub(super) fn forward(
        &mut self,
        now: Now,
        link: LinkKey,
        (call, arrived_at): (CallKey, Duration),
        request: ForwardedRequest,
        out: &mut Vec<Action>,
    ) {
        let pending = PendingCall {
            call,
            request,
            since: now.mono,
            arrived_at,
        };
        self.send_call(link, pending, out);
    }

    fn send_call(&mut self, link: LinkKey, pending: PendingCall, out: &mut Vec<Action>) {
        self.forwarding.last_number += 1;
        let number = self.forwarding.last_number;
        let call = match &pending.request {
            ForwardedRequest::Submit(request) => Call::Submit(encode_request(request)),
            ForwardedRequest::Query(id) => Call::Query(id.to_string()),
            ForwardedRequest::Cancel(id) => Call::Cancel(id.to_string()),
            ForwardedRequest::Join(request) | ForwardedRequest::HandOver(request) => {
                // 0 means no limit, so a caller that leaves within a millisecond is sent as 1.
                let wait = request.wait.map_or(0, |wait| wait.as_millis().max(1));
                Call::Join(wire::Join {
                    job: request.id.to_string(),
                    wait_ms: u32::try_from(wait).unwrap_or(u32::MAX),
                })
            }
        };
        let body = wire::JobCall {
            number,
            call: Some(call),
        };
        out.push(Action::Send(link, Body::JobCall(body)));
        self.forwarding.sent.insert(number, (link, pending));
    }

    /// Returns whether this process owns a shard and can execute a request for a job in it. Without a lease
    /// another process may own the shard by now and have accepted jobs that are unknown here, until a write
    /// to the store shows who does. Only known jobs are queried and cancelled meanwhile: an end that is shown
    /// is stored, and a job is cancelled by a write that fails if the shard has another owner.
    fn may_execute(&self, now: Now, request: &ForwardedRequest, shard: Shard) -> bool {
        let state = self.shards.get(shard);
        if state.ownership != Ownership::Owned {
            return false;
        }
        let (ForwardedRequest::Query(id) | ForwardedRequest::Cancel(id)) = request else {
            return true;
        };
        let confirmed = state.ownership_confirmed && self.shards.has_lease(now.mono);
        let job = self.jobs.find(id).and_then(|key| self.jobs.get(key));
        let durable = job.and_then(|job| job.durable.as_ref());
        confirmed || durable.is_some_and(|durable| durable.stored != StoredState::Nothing)
    }

    /// Executes a request for a job in a shard that this process owns.
    fn execute(
        &mut self,
        now: Now,
        call: CallKey,
        request: ForwardedRequest,
        shard: Shard,
        out: &mut Vec<Action>,
    ) {
        let id = match request {
            ForwardedRequest::Submit(request) => {
                return self.submit_durable(now, call, *request, shard, out);
            }
            ForwardedRequest::Query(id) => return self.query_durable(now, call, &id, out),
            ForwardedRequest::Cancel(id) => id,
            ForwardedRequest::Join(request) | ForwardedRequest::HandOver(request) => {
                return self.submit(now, call, *request, out);
            }
        };
        let key = self.jobs.find(&id);
        let durable =
            key.filter(|key| self.jobs.get(*key).is_some_and(|job| job.durable.is_some()));
        match durable {
            Some(key) => self.cancel_durable(now, key, call, out),
            None => self.reply(call, Answer::NoJob, out),
        }
    }

    /// Keeps a repeated submission until the process that may run its job has ended it.
    pub(super) fn park_join(
        &mut self,
        now: Now,
        (call, arrived_at): (CallKey, Duration),
        request: Box<JobRequest>,
        out: &mut Vec<Action>,
    ) {
        let pending = PendingCall {
            call,
            request: ForwardedRequest::Join(request),
            since: now.mono,
            arrived_at,
        };
        self.park(pending, out);
    }

    /// Keeps a request until an owner of its shard is known, unless too many are waiting.
    fn park(&mut self, pending: PendingCall, out: &mut Vec<Action>) {
        if self.forwarding.parked.len() >= MAX_PARKED_CALLS {
            return self.reply(pending.call, pending.request.unrouted(), out);
        }
        self.forwarding.parked.push(pending);
    }

    /// Routes parked requests again, and ends those that waited too long for an owner or a reply.
    pub(super) fn update_forwarded_calls(&mut self, now: Now, out: &mut Vec<Action>) {
        for pending in mem::take(&mut self.forwarding.parked) {
            if now.since(pending.since) >= pending.request.route_limit() {
                self.reply(pending.call, pending.request.unrouted(), out);
            } else {
                self.route(now, pending, out);
            }
        }
        let sent = self.forwarding.sent.iter();
        let late = sent.filter(|(_, (_, pending))| {
            let timeout = match &pending.request {
                ForwardedRequest::Join(request) | ForwardedRequest::HandOver(request) => {
                    request.wait.unwrap_or(Duration::MAX)
                }
                _ => REPLY_TIMEOUT,
            };
            now.since(pending.since) + REPLY_MARGIN >= timeout
        });
        for number in late.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.handle_missing_reply(number, out);
        }
    }

    /// Handles a forwarded request to which no reply is expected any more. A submission ends with an
    /// unknown outcome; a query or cancellation is routed again.
    fn handle_missing_reply(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some((_, pending)) = self.forwarding.sent.remove(&number) else {
            return;
        };
        match pending.request {
            // The job may have been accepted, or may run on, so the outcome is unknown.
            ForwardedRequest::Submit(_)
            | ForwardedRequest::Join(_)
            | ForwardedRequest::HandOver(_) => {
                self.reply(pending.call, Answer::OutcomeUnknown, out)
            }
            ForwardedRequest::Query(_) | ForwardedRequest::Cancel(_) => self.park(pending, out),
        }
    }

    /// Answers the callers whose requests wait for an owner or a reply, since the process ends. A
    /// submission that waits for an owner may repeat one that was accepted.
    pub(super) fn end_forwarded_calls(&mut self, out: &mut Vec<Action>) {
        for (_, (_, pending)) in mem::take(&mut self.forwarding.sent) {
            self.reply(pending.call, Answer::OutcomeUnknown, out);
        }
        for pending in mem::take(&mut self.forwarding.parked) {
            self.reply(pending.call, pending.request.unrouted(), out);
        }
    }

    /// Handles the end of a connection: no reply is expected any more to requests forwarded on it, and
    /// none is sent to those received on it.
    pub(super) fn close_forwarding_link(&mut self, link: LinkKey, out: &mut Vec<Action>) {
        let sent = self.forwarding.sent.iter();
        let lost = sent.filter(|(_, (to, _))| *to == link);
        for number in lost.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.handle_missing_reply(number, out);
        }
        self.forwarding.remote.retain(|_, (from, _)| *from != link);
    }

    /// Handles a request forwarded by another entry process.
    pub(super) fn handle_job_call(
        &mut self,
        now: Now,
        link: LinkKey,
        body: wire::JobCall,
        out: &mut Vec<Action>,
    ) {
        let request = match body.call {
            Some(Call::Submit(stored)) if find_fault(&stored).is_some() => {
                let reply = wire::JobReply {
                    number: body.number,
                    answer: wire::JobAnswer::NotRun.into(),
                    reason: "invalid job".to_owned(),
                };
                return out.push(Action::Send(link, Body::JobReply(reply)));
            }
            Some(Call::Submit(stored)) => {
                ForwardedRequest::Submit(Box::new(decode_request(&stored)))
            }
            Some(Call::Query(id)) => ForwardedRequest::Query(id.into()),
            Some(Call::Cancel(id)) => ForwardedRequest::Cancel(id.into()),
            Some(Call::Join(join)) => {
                return self.handle_join(now, (link, body.number), &join, out);
            }
            None => return,
        };
        let owned = shard_of(request.id());
        let owned = owned.filter(|shard| self.may_execute(now, &request, *shard));
        let Some(shard) = owned else {
            let reply = wire::JobReply {
                number: body.number,
                answer: wire::JobAnswer::NotOwner.into(),
                reason: String::new(),
            };
            return out.push(Action::Send(link, Body::JobReply(reply)));
        };
        let call = self.forwarding.add_remote(link, body.number);
        self.execute(now, call, request, shard, out);
    }

    /// Handles the reply to a forwarded request.
    pub(super) fn handle_job_reply(
        &mut self,
        now: Now,
        reply: &wire::JobReply,
        out: &mut Vec<Action>,
    ) {
        let Some((link, pending)) = self.forwarding.sent.remove(&reply.number) else {
            return;
        };
        if let ForwardedRequest::Join(request) = pending.request {
            if reply.answer() == wire::JobAnswer::NoJob {
                self.peers.remove_held(link, job_hash(&request.id));
                let request = with_time_left(now, *request, pending.since);
                let call = (pending.call, pending.arrived_at);
                return self.submit_arrived(now, call, request, out);
            }
            let answer = decode_answer(reply).unwrap_or(Answer::OutcomeUnknown);
            return self.reply(pending.call, answer, out);
        }
        if matches!(pending.request, ForwardedRequest::HandOver(_)) {
            let answer = decode_answer(reply).filter(|answer| *answer != Answer::NoJob);
            let answer = answer.unwrap_or(Answer::OutcomeUnknown);
            return self.reply(pending.call, answer, out);
        }
        match decode_answer(reply) {
            Some(answer) => self.reply(pending.call, answer, out),
            None => self.park(pending, out),
        }
    }
}

/// Returns a submission that has waited since `since`, with the time that its caller still waits.
pub(super) fn with_time_left(now: Now, mut request: JobRequest, since: Duration) -> JobRequest {
    let waited = now.since(since);
    request.wait = request.wait.map(|wait| wait.saturating_sub(waited));
    request
}

/// Decodes the reply to a forwarded request; `None` if the replying process does not own the shard.
fn decode_answer(reply: &wire::JobReply) -> Option<Answer> {
    Some(match reply.answer() {
        wire::JobAnswer::NotOwner => return None,
        wire::JobAnswer::Accepted => Answer::Accepted,
        wire::JobAnswer::NotRun => Answer::NotRun {
            reason: reply.reason.as_str().into(),
            retry: RETRY_AFTER,
        },
        wire::JobAnswer::Queued => Answer::State(JobState::Queued),
        wire::JobAnswer::Running => Answer::State(JobState::Running),
        wire::JobAnswer::Completed => Answer::Completed,
        wire::JobAnswer::Failed => Answer::Failed,
        wire::JobAnswer::Cancelled => Answer::Cancelled,
        wire::JobAnswer::NoJob => Answer::NoJob,
        wire::JobAnswer::Unspecified | wire::JobAnswer::Unknown => Answer::OutcomeUnknown,
    })
}

/// Encodes the reply to a request that another process forwarded.
pub(super) fn encode_reply(number: u64, answer: &Answer) -> Body {
    let (code, reason) = match answer {
        Answer::Accepted => (wire::JobAnswer::Accepted, ""),
        Answer::NotRun { reason, .. } => (wire::JobAnswer::NotRun, reason.as_str()),
        Answer::State(JobState::Queued) => (wire::JobAnswer::Queued, ""),
        Answer::State(JobState::Running) => (wire::JobAnswer::Running, ""),
        Answer::Completed => (wire::JobAnswer::Completed, ""),
        Answer::Failed => (wire::JobAnswer::Failed, ""),
        Answer::Cancelled => (wire::JobAnswer::Cancelled, ""),
        Answer::NoJob | Answer::NoQueue => (wire::JobAnswer::NoJob, ""),
        Answer::OutcomeUnknown | Answer::Pending(_) => (wire::JobAnswer::Unknown, ""),
    };
    Body::JobReply(wire::JobReply {
        number,
        answer: code.into(),
        reason: reason.to_owned(),
    })
}

fn no_owner() -> Answer {
    Answer::NotRun {
        reason: "no owner of the job's shard".into(),
        retry: RETRY_AFTER,
    }
}
