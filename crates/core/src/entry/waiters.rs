//! Who waits for an answer, and until when.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{Reply as ReplyFrame, frame::Body};

use super::io::{Action, CallKey};
use super::replies::HttpReply;
use crate::ids::JobKey;
use crate::peer::LinkKey;

/// Where an answer goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyTarget {
    /// An HTTP request at this process.
    Call(CallKey),
    /// A request that another entry process passed on, with its number there.
    Peer(LinkKey, u64),
}

/// Someone who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// Where the answer goes.
    pub target: ReplyTarget,
    /// Monotonic time until which the waiter waits.
    pub deadline: Duration,
}

impl Waiter {
    /// Connection over which the request came, if another process passed it on.
    pub fn link(self) -> Option<LinkKey> {
        match self.target {
            ReplyTarget::Peer(link, _) => Some(link),
            ReplyTarget::Call(_) => None,
        }
    }

    /// The action that answers the waiter.
    pub fn reply(self, reply: &HttpReply) -> Action {
        match self.target {
            ReplyTarget::Call(call) => Action::Reply(call, reply.status, reply.body.clone()),
            ReplyTarget::Peer(link, number) => Action::Send(link, frame(number, reply)),
        }
    }
}

fn frame(number: u64, reply: &HttpReply) -> Body {
    let body = Bytes::clone(&reply.body);
    Body::Reply(ReplyFrame {
        number,
        status: u32::from(reply.status),
        body,
    })
}

/// Times at which waiters of jobs give up.
#[derive(Debug, Default)]
pub struct WaiterDeadlines {
    due: BinaryHeap<Reverse<(Duration, JobKey)>>,
}

impl WaiterDeadlines {
    /// Notes that a waiter of `job` waits until `deadline`.
    pub fn add(&mut self, deadline: Duration, job: JobKey) {
        self.due.push(Reverse((deadline, job)));
    }

    /// The next job with a waiter whose time is over at `now`.
    pub fn pop(&mut self, now: Duration) -> Option<JobKey> {
        let Reverse((deadline, job)) = self.due.peek().copied()?;
        if deadline > now {
            return None;
        }
        self.due.pop();
        Some(job)
    }
}
