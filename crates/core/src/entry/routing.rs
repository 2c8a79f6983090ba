//! Requests of callers that are routed to the owner of their job's shard.

use std::time::Duration;

use knapweedwall_wire::{Admit, CancelJob, Query, Submit, frame::Body};

use super::waiters::Waiter;
use crate::deterministic::DeterministicMap;
use crate::ids::{JobId, JobKey};
use crate::peer::LinkKey;

/// Maximum number of times a request is forwarded.
pub const MAX_HOPS: u32 = 4;

/// A request about a job.
#[derive(Debug, Clone)]
pub enum JobRequest {
    /// Submits a job.
    Submit(Box<Admit>),
    /// Requests the result of a job.
    Query,
    /// Cancels a job.
    Cancel,
}

/// A request with its routing state.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Recipient of the reply.
    pub waiter: Waiter,
    /// Id of the job.
    pub id: JobId,
    /// Hash of the id.
    pub key: JobKey,
    pub request: JobRequest,
    /// Number of times the request was forwarded before it arrived here.
    pub hops: u32,
    /// Monotonic time of arrival at this process.
    pub received_at: Duration,
    /// Whether the request was forwarded and the connection was lost before a reply, so that it may
    /// have been applied.
    pub maybe_applied: bool,
}

impl RoutedRequest {
    /// Builds the frame that forwards the request.
    fn frame(&self, number: u64, now: Duration) -> Body {
        let wait = self.waiter.deadline.saturating_sub(now).as_millis();
        let wait_ms = u32::try_from(wait).unwrap_or(u32::MAX);
        let hops = self.hops + 1;
        let id = self.id.to_string();
        match &self.request {
            JobRequest::Submit(admit) => {
                let admit = Some(Admit::clone(admit));
                Body::Submit(Submit {
                    number,
                    admit,
                    wait_ms,
                    hops,
                })
            }
            JobRequest::Query => Body::Query(Query {
                number,
                id,
                wait_ms,
                hops,
            }),
            JobRequest::Cancel => Body::CancelJob(CancelJob {
                number,
                id,
                wait_ms,
                hops,
            }),
        }
    }
}

/// Forwarded requests, and requests waiting for a reachable owner.
#[derive(Debug, Default)]
pub struct RequestRouter {
    forwarded: DeterministicMap<u64, (LinkKey, RoutedRequest)>,
    deferred: Vec<RoutedRequest>,
    last_number: u64,
}

impl RequestRouter {
    /// Registers a request as forwarded over `link`. Returns the frame to send.
    pub fn forward(&mut self, now: Duration, link: LinkKey, routed: RoutedRequest) -> Body {
        self.last_number += 1;
        let frame = routed.frame(self.last_number, now);
        self.forwarded.insert(self.last_number, (link, routed));
        frame
    }

    /// Removes and returns the forwarded request that a reply belongs to.
    pub fn take_forwarded(&mut self, link: LinkKey, number: u64) -> Option<RoutedRequest> {
        if self
            .forwarded
            .get(&number)
            .is_none_or(|(sent_over, _)| *sent_over != link)
        {
            return None;
        }
        self.forwarded.remove(&number).map(|(_, routed)| routed)
    }

    /// Removes and returns all requests forwarded over a lost connection.
    pub fn disconnect(&mut self, link: LinkKey) -> Vec<RoutedRequest> {
        let mut returned = Vec::new();
        let lost = self
            .forwarded
            .extract_if(|_, (sent_over, _)| *sent_over == link);
        for (_, (_, mut routed)) in lost {
            routed.maybe_applied = true;
            returned.push(routed);
        }
        returned
    }

    /// Keeps a request until its owner is reachable.
    pub fn defer(&mut self, routed: RoutedRequest) {
        self.deferred.push(routed);
    }

    /// Removes and returns all deferred requests so that they can be retried.
    pub fn take_deferred(&mut self) -> Vec<RoutedRequest> {
        std::mem::take(&mut self.deferred)
    }

    /// Returns the number of forwarded and deferred requests.
    pub fn len(&self) -> usize {
        self.forwarded.len() + self.deferred.len()
    }
}
