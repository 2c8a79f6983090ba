//! Heartbeats of the worker, which describe it.

use knapweedwall_wire as wire;

use super::io::{Action, Heartbeat};
use super::lifetimes::{Loss, Proof};
use super::machine::{Machine, log};
use crate::clock::Now;

impl Machine {
    /// Handles a heartbeat of the worker.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Now,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        if self.worker.is_stale(&heartbeat) || self.may_precede_runs(&heartbeat) {
            return;
        }
        let same_incarnation = self.worker.incarnation == Some(heartbeat.incarnation);
        let first_heartbeat = self
            .worker
            .heartbeat
            .as_ref()
            .is_none_or(|last| last.incarnation != heartbeat.incarnation);
        self.worker_left = false;
        if self.worker.awaits_response() {
            // The worker is reachable, so an earlier failure is no reason to delay the next renewal.
            self.reset_renewal_backoff(now);
        }
        if !same_incarnation {
            let loss = Loss {
                cause: "the worker restarted",
                crashed: !self.worker.leaving,
                proof: if self.worker.may_be(&heartbeat.instance) {
                    Proof::Restarted
                } else {
                    Proof::AllEnded
                },
            };
            self.reset_worker(now, Some(heartbeat.incarnation), loss, out);
        }
        self.update_registration(&heartbeat, first_heartbeat, out);
        if first_heartbeat {
            self.use_worker(&heartbeat, out);
            let fields = vec![
                ("worker", heartbeat.instance.to_string()),
                ("service", heartbeat.service.to_string()),
                ("cpu", heartbeat.capacity.cpu.to_string()),
                ("labels", heartbeat.labels.join(",")),
                ("incarnation", heartbeat.incarnation.to_string()),
            ];
            log(out, 401, "worker registered", false, fields);
        }
        if heartbeat.draining && !self.worker.leaving {
            self.worker.leaving = true;
            let fields = vec![("worker", heartbeat.instance.to_string())];
            log(out, 402, "worker is draining", false, fields);
            self.decline_waiting(now);
        }
        self.describe_worker(heartbeat);
    }

    /// Returns whether a heartbeat may be from an incarnation before the one that the open runs were sent
    /// to, so that it tells nothing of them. Only while the incarnation is unknown and runs are kept: a
    /// start time may also be earlier because the clock of the host went back.
    fn may_precede_runs(&self, heartbeat: &Heartbeat) -> bool {
        let last = self.worker.heartbeat.as_ref();
        let earlier = last.is_some_and(|last| heartbeat.incarnation < last.incarnation);
        earlier && self.worker.incarnation.is_none() && !self.runs.is_idle()
    }

    /// Directs calls to the worker that a heartbeat describes.
    pub(super) fn use_worker(&self, heartbeat: &Heartbeat, out: &mut Vec<Action>) {
        out.push(Action::UseWorker {
            address: heartbeat.address.clone(),
            instance: heartbeat.instance.clone(),
        });
    }

    /// Takes over a description of the worker.
    pub(super) fn describe_worker(&mut self, heartbeat: Heartbeat) {
        self.profile = wire::WorkerProfile {
            instance: heartbeat.instance.to_string(),
            service: heartbeat.service.to_string(),
            labels: heartbeat.labels.iter().map(ToString::to_string).collect(),
            capacity: Some(heartbeat.capacity.into()),
        };
        self.worker.heartbeat = Some(heartbeat);
    }
}
