//! Registration of the worker in the store.
//!
//! A worker describes itself in heartbeats, which are seconds apart. An agent that restarts beside a
//! running worker would leave it unused until the next one, so when all agents are killed at once,
//! the first seconds afterwards find most of the fleet without known capacity. The agent therefore
//! keeps the last description in the store and resumes from it, provided that the worker's run lists
//! name the same incarnation. The registration is withdrawn when the worker starts to drain, and
//! written again when its capacity shrinks.

use std::time::Duration;

use super::io::{Action, Heartbeat};
use super::machine::{Machine, log};
use crate::clock::Now;
use crate::job::Resources;

/// Time for which a worker is used without a heartbeat after the agent resumed from a registration.
/// Covers a heartbeat interval of 1.5 s and one repetition.
const RESUMED_VALIDITY: Duration = Duration::from_millis(2_000);

/// State of the registration.
#[derive(Debug, Default)]
pub(super) struct Registration {
    /// Registration found in the store that has not been used.
    found: Option<Heartbeat>,
    /// Capacity in the stored registration: the smallest that the incarnation has reported. Its
    /// capacity may change, and a restarted agent must not exceed it.
    stored_capacity: Option<Resources>,
    /// When the agent resumed from a registration, until the next heartbeat arrives.
    resumed_at: Option<Duration>,
}

impl Machine {
    /// Handles the registration that the store held when the agent started.
    pub(super) fn handle_registration(
        &mut self,
        now: Now,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        self.registration.found = Some(heartbeat);
        self.resume_from_registration(now, out);
    }

    /// Uses the registration if the worker's run lists show that it describes the incarnation that
    /// is running now, and no heartbeat has arrived.
    pub(super) fn resume_from_registration(&mut self, now: Now, out: &mut Vec<Action>) {
        let known = self.worker.incarnation;
        let unused = self.worker.heartbeat.is_none() && !self.worker.leaving;
        let matching = |found: &Heartbeat| known == Some(found.incarnation) && !found.draining;
        if !unused
            || !self.worker.lists_read
            || !self.registration.found.as_ref().is_some_and(matching)
        {
            return;
        }
        let Some(found) = self.registration.found.take() else {
            return;
        };
        let fields = vec![
            ("worker", found.instance.to_string()),
            ("service", found.service.to_string()),
            ("cpu", found.capacity.cpu.to_string()),
        ];
        log(
            out,
            424,
            "worker resumed from its registration",
            false,
            fields,
        );
        self.registration.resumed_at = Some(now.mono);
        self.use_worker(found.instance.clone(), out);
        self.describe_worker(found);
    }

    /// Writes the registration after the first heartbeat of an incarnation and when its capacity
    /// shrinks, and withdraws it when the worker starts to drain.
    pub(super) fn update_registration(
        &mut self,
        heartbeat: &Heartbeat,
        first: bool,
        out: &mut Vec<Action>,
    ) {
        let found = self.registration.found.take();
        let stored = found.filter(|found| found.incarnation == heartbeat.incarnation);
        if first {
            self.registration.stored_capacity = stored.map(|found| found.capacity);
        }
        self.registration.resumed_at = None;
        if heartbeat.draining {
            if first || !self.worker.leaving {
                out.push(Action::StoreRegistration(None));
            }
            return;
        }
        let stored = self.registration.stored_capacity;
        let smallest = stored.map_or(heartbeat.capacity, |stored| stored.min(heartbeat.capacity));
        if stored != Some(smallest) && !self.worker.leaving {
            self.registration.stored_capacity = Some(smallest);
            let mut registration = heartbeat.clone();
            registration.capacity = smallest;
            out.push(Action::StoreRegistration(Some(registration)));
        }
    }

    /// Withdraws the registration of a worker that has left.
    pub(super) fn withdraw_registration(&mut self, out: &mut Vec<Action>) {
        self.registration = Registration::default();
        out.push(Action::StoreRegistration(None));
    }

    /// Stops using a worker that has sent no heartbeat within [`RESUMED_VALIDITY`] after the agent
    /// resumed from its registration.
    pub(super) fn expire_registration(&mut self, now: Now) {
        let resumed_at = self.registration.resumed_at;
        if resumed_at.is_some_and(|at| now.since(at) >= RESUMED_VALIDITY) {
            self.registration.resumed_at = None;
            self.worker.heartbeat = None;
        }
    }
}
