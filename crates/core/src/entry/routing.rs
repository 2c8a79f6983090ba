//! Requests of callers on their way to the owner of their job's shard.

use std::time::Duration;

use knapweedwall_wire::{Admit, CancelJob, Query, Submit, frame::Body};

use super::waiters::Waiter;
use crate::deterministic::DeterministicMap;
use crate::ids::{JobId, JobKey};
use crate::peer::LinkKey;

/// How often a request is passed on.
pub const MAX_HOPS: u32 = 4;

/// What a caller asks for.
#[derive(Debug, Clone)]
pub enum Ask {
    /// Submits a job.
    Submit(Box<Admit>),
    /// Asks for the answer of a job.
    Query,
    /// Cancels a job.
    Cancel,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Routed {
    /// Who waits for the reply.
    pub waiter: Waiter,
    /// Job that it is about.
    pub id: JobId,
    /// Hash of the id.
    pub key: JobKey,
    /// What is asked for.
    pub ask: Ask,
    /// How often it was passed on before it came here.
    pub hops: u32,
    /// Monotonic time at which it came here.
    pub since: Duration,
    /// Whether it was passed on from here and the reply was lost, so that it may have had effect.
    pub sent: bool,
}

impl Routed {
    /// The frame that passes the request on.
    fn frame(&self, number: u64, now: Duration) -> Body {
        let wait = self.waiter.until.saturating_sub(now).as_millis();
        let wait_ms = u32::try_from(wait).unwrap_or(u32::MAX);
        let hops = self.hops + 1;
        let id = self.id.to_string();
        match &self.ask {
            Ask::Submit(admit) => {
                let admit = Some(Admit::clone(admit));
                Body::Submit(Submit {
                    number,
                    admit,
                    wait_ms,
                    hops,
                })
            }
            Ask::Query => Body::Query(Query {
                number,
                id,
                wait_ms,
                hops,
            }),
            Ask::Cancel => Body::CancelJob(CancelJob {
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
pub struct Routing {
    sent: DeterministicMap<u64, (LinkKey, Routed)>,
    parked: Vec<Routed>,
    number: u64,
}

impl Routing {
    /// Notes a request as passed on over `link`; returns the frame that passes it on.
    pub fn send(&mut self, now: Duration, link: LinkKey, routed: Routed) -> Body {
        self.number += 1;
        let frame = routed.frame(self.number, now);
        self.sent.insert(self.number, (link, routed));
        frame
    }

    /// Takes the request to which a reply belongs.
    pub fn reply(&mut self, link: LinkKey, number: u64) -> Option<Routed> {
        if self.sent.get(&number).is_none_or(|(of, _)| *of != link) {
            return None;
        }
        self.sent.remove(&number).map(|(_, routed)| routed)
    }

    /// Takes all requests that were passed on over a connection that is gone.
    pub fn disconnect(&mut self, link: LinkKey) -> Vec<Routed> {
        let mut back = Vec::new();
        for (_, (_, mut routed)) in self.sent.extract_if(|_, (of, _)| *of == link) {
            routed.sent = true;
            back.push(routed);
        }
        back
    }

    /// Keeps a request until its owner can be reached.
    pub fn park(&mut self, routed: Routed) {
        self.parked.push(routed);
    }

    /// Takes all parked requests, to try them again.
    pub fn unpark(&mut self) -> Vec<Routed> {
        std::mem::take(&mut self.parked)
    }

    /// Requests that are on their way.
    pub fn len(&self) -> usize {
        self.sent.len() + self.parked.len()
    }
}
