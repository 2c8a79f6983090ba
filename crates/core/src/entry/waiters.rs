//! Recipients of pending replies and their deadlines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{Reply as ReplyFrame, frame::Body};

use super::io::{Action, CallKey};
use super::replies::HttpReply;
use crate::ids::JobKey;
use crate::peer::LinkKey;

/// Destination of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyTarget {
    /// An HTTP request received by this process.
    Call(CallKey),
    /// A request forwarded by another entry process: the connection, and the number that the other
    /// process has given the request.
    Peer(LinkKey, u64),
}

/// A request that waits for a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    pub target: ReplyTarget,
    /// Monotonic time until which the requester waits.
    pub deadline: Duration,
}

impl Waiter {
    /// Returns the connection over which the request was forwarded, if any.
    pub fn link(self) -> Option<LinkKey> {
        match self.target {
            ReplyTarget::Peer(link, _) => Some(link),
            ReplyTarget::Call(_) => None,
        }
    }

    /// Builds the action that sends the reply.
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

/// Deadlines of waiters, by job.
#[derive(Debug, Default)]
pub struct WaiterDeadlines {
    due: BinaryHeap<Reverse<(Duration, JobKey)>>,
}

impl WaiterDeadlines {
    /// Adds the deadline of a waiter of `job`.
    pub fn add(&mut self, deadline: Duration, job: JobKey) {
        self.due.push(Reverse((deadline, job)));
    }

    /// Removes and returns a job with a waiter whose deadline has passed.
    pub fn pop(&mut self, now: Duration) -> Option<JobKey> {
        let Reverse((deadline, job)) = self.due.peek().copied()?;
        if deadline > now {
            return None;
        }
        self.due.pop();
        Some(job)
    }
}
