//! Heartbeats of the worker, which describe it.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use super::io::{Action, Heartbeat};
use super::machine::{Machine, log};
use crate::clock::Now;

impl Machine {
    /// Handles a heartbeat. Anyone who reaches the control address can send one, and it may arrive late,
    /// so it is no evidence of what runs on the worker. One of an incarnation that the worker has not
    /// named in a response takes effect only when it does.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Now,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        if self.worker.is_superseded(&heartbeat) {
            return;
        }
        self.worker_left = false;
        if self.worker.awaits_response() {
            // The worker may be reachable, so an earlier failure is no reason to delay the next renewal.
            self.reset_renewal_backoff(now);
        }
        if self.worker.incarnation == Some(heartbeat.incarnation) {
            return self.apply_heartbeat(now, heartbeat, out);
        }
        self.worker.announced.add(now.mono, heartbeat);
        self.probe_needed = true;
    }

    /// Applies or drops the heartbeats that wait for a response of the worker, after one to a call that
    /// was made at `made_at`.
    pub(super) fn resolve_announced(&mut self, now: Now, made_at: Duration, out: &mut Vec<Action>) {
        let Some(current) = self.worker.incarnation else {
            return;
        };
        if let Some(heartbeat) = self.worker.announced.take_of(current) {
            self.apply_heartbeat(now, heartbeat, out);
        }
        for heartbeat in self.worker.announced.take_before(made_at) {
            let fields = vec![
                ("worker", heartbeat.instance.to_string()),
                ("incarnation", heartbeat.incarnation.to_string()),
                ("current", current.to_string()),
            ];
            log(
                out,
                426,
                "heartbeat of another incarnation ignored",
                true,
                fields,
            );
        }
        self.probe_needed |= !self.worker.announced.is_empty();
    }

    /// Applies a heartbeat of the incarnation that the worker has named.
    fn apply_heartbeat(&mut self, now: Now, heartbeat: Heartbeat, out: &mut Vec<Action>) {
        if self.worker.is_superseded(&heartbeat) {
            return;
        }
        let first_heartbeat = self
            .worker
            .heartbeat
            .as_ref()
            .is_none_or(|last| last.incarnation != heartbeat.incarnation);
        if first_heartbeat {
            self.worker.leaving = false;
        }
        self.update_registration(&heartbeat, first_heartbeat, out);
        if first_heartbeat {
            self.use_worker(heartbeat.instance.clone(), out);
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

    /// Addresses calls to an instance of the worker; to any, if the id is empty.
    pub(super) fn use_worker(&self, instance: SmolStr, out: &mut Vec<Action>) {
        out.push(Action::UseWorker {
            address: self.settings.worker.clone(),
            instance,
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
