//! Requests of callers on their way to the owner of their job's shard.

use std::time::Duration;

use knapweedwall_wire::{Admit, CancelJob, Query, Submit, frame::Body};

use super::waiters::Waiter;
use crate::ids::{JobId, JobKey};
use crate::maps::KeyMap;
use crate::peer::LinkKey;

/// How often a request is passed on.
pub const MAX_HOPS: u32 = 4;

/// What a caller asks for.
#[derive(Debug, Clone)]
pub enum JobRequest {
    /// Submits a job.
    Submit(Box<Admit>),
    /// Asks for the answer of a job.
    Query,
    /// Cancels a job.
    Cancel,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Who waits for the reply.
    pub waiter: Waiter,
    /// Job that it is about.
    pub id: JobId,
    /// Hash of the id.
    pub key: JobKey,
    /// What is asked for.
    pub request: JobRequest,
    /// How often it was passed on before it came here.
    pub hops: u32,
    /// Monotonic time at which it came here.
    pub received_at: Duration,
    /// Whether it was passed on from here and the reply was lost, so that it may have had effect.
    pub maybe_applied: bool,
}

impl RoutedRequest {
    /// The frame that passes the request on.
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

/// Requests that were passed on, and requests that wait for an owner to pass them on to.
#[derive(Debug, Default)]
pub struct RequestRouter {
    forwarded: KeyMap<u64, (LinkKey, RoutedRequest)>,
    deferred: Vec<RoutedRequest>,
    last_number: u64,
}

impl RequestRouter {
    /// Notes a request as passed on over `link`; returns the frame that passes it on.
    pub fn forward(&mut self, now: Duration, link: LinkKey, routed: RoutedRequest) -> Body {
        self.last_number += 1;
        let frame = routed.frame(self.last_number, now);
        self.forwarded.insert(self.last_number, (link, routed));
        frame
    }

    /// Takes the request to which a reply belongs.
    pub fn take_forwarded(&mut self, link: LinkKey, number: u64) -> Option<RoutedRequest> {
        if self
            .forwarded
            .get(&number)
            .is_none_or(|(of, _)| *of != link)
        {
            return None;
        }
        self.forwarded.remove(&number).map(|(_, routed)| routed)
    }

    /// Takes all requests that were passed on over a connection that is gone.
    pub fn disconnect(&mut self, link: LinkKey) -> Vec<RoutedRequest> {
        let mut back = Vec::new();
        for (_, (_, mut routed)) in self.forwarded.extract_if(|_, (of, _)| *of == link) {
            routed.maybe_applied = true;
            back.push(routed);
        }
        back
    }

    /// Keeps a request until its owner can be reached.
    pub fn defer(&mut self, routed: RoutedRequest) {
        self.deferred.push(routed);
    }

    /// Takes all parked requests, to try them again.
    pub fn take_deferred(&mut self) -> Vec<RoutedRequest> {
        std::mem::take(&mut self.deferred)
    }

    /// Requests that are on their way.
    pub fn len(&self) -> usize {
        self.forwarded.len() + self.deferred.len()
    }
}
