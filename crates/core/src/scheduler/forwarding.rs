//! Requests on durable jobs, passed on to the owner of the job's shard.

use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use knapweedwall_wire::job_call::Call;
use smol_str::SmolStr;

use super::io::{Action, Answer, CallKey, JobState};
use super::machine::Machine;
use super::record::{decode_request, encode_request};
use super::shards::Holding;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::ids::Shard;
use crate::job::{JobRequest, shard_of};
use crate::peer::LinkKey;

/// Set in the keys of requests that another entry process has passed on.
const REMOTE: u64 = 1 << 63;

/// Longest time that a request waits for an owner of its shard.
const PARK_LIMIT: Duration = Duration::from_millis(1_000);

/// Time in which the owner replies.
const REPLY_LIMIT: Duration = Duration::from_secs(2);

/// Requests that may wait; further ones are refused.
const WAITING: usize = 4_096;

/// When a refused request may be tried again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request on a durable job.
#[derive(Debug, Clone)]
pub(super) enum JobCall {
    /// A submission.
    Submit(Box<JobRequest>),
    /// The state of a job.
    Query(SmolStr),
    /// The cancellation of a job.
    Cancel(SmolStr),
}

impl JobCall {
    fn id(&self) -> &SmolStr {
        match self {
            Self::Submit(request) => &request.id,
            Self::Query(id) | Self::Cancel(id) => id,
        }
    }
}

/// A request that waits for an owner, or for its reply.
#[derive(Debug)]
struct Waiting {
    call: CallKey,
    ask: JobCall,
    since: Duration,
}

/// Requests that are passed on.
#[derive(Debug, Default)]
pub(super) struct Forwarding {
    parked: Vec<Waiting>,
    sent: DeterministicMap<u64, (LinkKey, Waiting)>,
    /// Requests of other processes that are open here.
    remote: DeterministicMap<CallKey, (LinkKey, u64)>,
    last: u64,
}

impl Forwarding {
    /// The process and the number of a request that was passed on to this process.
    pub(super) fn take_remote(&mut self, call: CallKey) -> Option<(LinkKey, u64)> {
        if call.0 & REMOTE == 0 {
            return None;
        }
        self.remote.remove(&call)
    }

    /// Whether a caller waits for a reply.
    pub(super) fn any(&self) -> bool {
        !self.parked.is_empty() || !self.sent.is_empty()
    }
}

impl Machine {
    /// Carries out a request at the owner of the shard, here or elsewhere.
    pub(super) fn call_owner(
        &mut self,
        now: Now,
        call: CallKey,
        ask: JobCall,
        out: &mut Vec<Action>,
    ) {
        let waiting = Waiting {
            call,
            ask,
            since: now.mono,
        };
        self.route(now, waiting, out);
    }

    fn route(&mut self, now: Now, waiting: Waiting, out: &mut Vec<Action>) {
        let Some(shard) = shard_of(waiting.ask.id()) else {
            return self.reply(waiting.call, Answer::NoJob, out);
        };
        if self.shards.get(shard).holding == Holding::Owned {
            return self.carry_out(now, waiting.call, waiting.ask, shard, out);
        }
        let Some(link) = self.peers.owner_of(shard) else {
            return self.park(waiting, out);
        };
        self.forwarding.last += 1;
        let number = self.forwarding.last;
        let call = match &waiting.ask {
            JobCall::Submit(request) => Call::Submit(encode_request(request)),
            JobCall::Query(id) => Call::Query(id.to_string()),
            JobCall::Cancel(id) => Call::Cancel(id.to_string()),
        };
        let body = wire::JobCall {
            number,
            call: Some(call),
        };
        out.push(Action::Send(link, Body::JobCall(body)));
        self.forwarding.sent.insert(number, (link, waiting));
    }

    fn carry_out(
        &mut self,
        now: Now,
        call: CallKey,
        ask: JobCall,
        shard: Shard,
        out: &mut Vec<Action>,
    ) {
        let request = match ask {
            JobCall::Submit(request) => return self.accept(now, call, *request, shard, out),
            JobCall::Query(id) => return self.query_durable(now, call, &id, out),
            JobCall::Cancel(id) => id,
        };
        let key = self.jobs.find(&request);
        let durable = key.filter(|key| self.jobs.get(*key).is_some_and(|job| job.record.is_some()));
        match durable {
            Some(key) => self.cancel_durable(now, key, call, out),
            None => self.reply(call, Answer::NoJob, out),
        }
    }

    fn park(&mut self, waiting: Waiting, out: &mut Vec<Action>) {
        if self.forwarding.parked.len() >= WAITING {
            return self.reply(waiting.call, no_owner(), out);
        }
        self.forwarding.parked.push(waiting);
    }

    /// Tries requests again that wait for an owner, and gives up those that have waited too long.
    pub(super) fn update_forwarded(&mut self, now: Now, out: &mut Vec<Action>) {
        for waiting in std::mem::take(&mut self.forwarding.parked) {
            if now.since(waiting.since) >= PARK_LIMIT {
                self.reply(waiting.call, no_owner(), out);
            } else {
                self.route(now, waiting, out);
            }
        }
        let sent = self.forwarding.sent.iter();
        let late = sent.filter(|(_, (_, waiting))| now.since(waiting.since) >= REPLY_LIMIT);
        for number in late.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.lose_reply(number, out);
        }
    }

    /// The reply to a request that was passed on is lost.
    fn lose_reply(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some((_, waiting)) = self.forwarding.sent.remove(&number) else {
            return;
        };
        match waiting.ask {
            // It may have been accepted.
            JobCall::Submit(_) => self.reply(waiting.call, Answer::GaveUp, out),
            JobCall::Query(_) | JobCall::Cancel(_) => self.park(waiting, out),
        }
    }

    /// The connection to another entry process has ended.
    pub(super) fn lose_replies(&mut self, link: LinkKey, out: &mut Vec<Action>) {
        let sent = self.forwarding.sent.iter();
        let lost = sent.filter(|(_, (to, _))| *to == link);
        for number in lost.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.lose_reply(number, out);
        }
        self.forwarding.remote.retain(|_, (from, _)| *from != link);
    }

    /// Takes a request of another entry process.
    pub(super) fn take_job_call(
        &mut self,
        now: Now,
        link: LinkKey,
        body: wire::JobCall,
        out: &mut Vec<Action>,
    ) {
        let ask = match body.call {
            Some(Call::Submit(stored)) => JobCall::Submit(Box::new(decode_request(&stored))),
            Some(Call::Query(id)) => JobCall::Query(id.into()),
            Some(Call::Cancel(id)) => JobCall::Cancel(id.into()),
            None => return,
        };
        let owned = shard_of(ask.id());
        let owned = owned.filter(|shard| self.shards.get(*shard).holding == Holding::Owned);
        let Some(shard) = owned else {
            let reply = wire::JobReply {
                number: body.number,
                answer: wire::JobAnswer::NotOwner.into(),
                reason: String::new(),
            };
            return out.push(Action::Send(link, Body::JobReply(reply)));
        };
        self.forwarding.last += 1;
        let call = CallKey(self.forwarding.last | REMOTE);
        self.forwarding.remote.insert(call, (link, body.number));
        self.carry_out(now, call, ask, shard, out);
    }

    /// Takes the reply to a request that was passed on.
    pub(super) fn take_job_reply(&mut self, reply: &wire::JobReply, out: &mut Vec<Action>) {
        let Some((_, waiting)) = self.forwarding.sent.remove(&reply.number) else {
            return;
        };
        let answer = match reply.answer() {
            wire::JobAnswer::NotOwner => return self.park(waiting, out),
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
            wire::JobAnswer::Unspecified | wire::JobAnswer::Unknown => Answer::GaveUp,
        };
        self.reply(waiting.call, answer, out);
    }
}

/// Reply to a request that another process has passed on.
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
        Answer::GaveUp | Answer::Pending(_) => (wire::JobAnswer::Unknown, ""),
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
