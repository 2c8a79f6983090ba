//! Calls to the worker that renew the lease and read its run lists.

use std::time::Duration;

use super::io::{Action, CallKey};
use super::machine::Machine;
use super::owners::ORPHAN_LEASE_LIMIT;
use super::pending_calls::{PendingCall, Purpose};
use crate::clock::Now;

/// Maximum duration of the long poll by which the lease is renewed. Every response lists the ended
/// runs that are not acknowledged, so if a response is lost, the agent learns of these runs from the
/// next one. Shorter polls reduce that delay.
const RENEWAL_WAIT: Duration = Duration::from_millis(60);

/// Minimum time after which the response to a lease renewal is considered lost.
const MIN_RENEWAL_TIMEOUT: Duration = Duration::from_millis(85);

/// Minimum interval between lease renewals while the worker retains ended runs, because it responds
/// to such a renewal without waiting.
const MIN_RENEWAL_INTERVAL_WITH_RETAINED_RUNS: Duration = Duration::from_millis(5);

/// Time after the owner's request to stop a run of a non-durable job at which the worker's lease ends at
/// the latest, also if no stop request gets through. The lease may last for 1,000 ms already, and a
/// deadline never shortens, so a lower limit would change nothing. A clock that is 2% slow, read at most
/// 600 ms before, adds 32 ms. Of the 1,300 ms after which a client resubmits its job, 268 ms are left for
/// the request to reach the agent.
const STOP_LEASE_LIMIT: Duration = Duration::from_millis(1_000);

/// Minimum and maximum backoff after a failed lease renewal.
pub(super) const RENEWAL_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_secs(1));

impl Machine {
    /// Sends the calls to the worker that are due.
    pub(super) fn send_calls(&mut self, now: Now, out: &mut Vec<Action>) {
        for run in std::mem::take(&mut self.pending_stops) {
            if self.runs.get(&run).is_none() {
                continue;
            }
            self.runs.update(&run, |run| run.record_stop_sent(now.mono));
            let call = self.record_call(now, Purpose::Stop(run.clone()), Duration::ZERO);
            let fence = self.worker.fence;
            out.push(Action::StopRun { call, run, fence });
        }
        if self.probe_needed && !self.pending_calls.is_probing() && now.mono >= self.next_renewal_at
        {
            self.probe_needed = false;
            self.renew_lease(now, Purpose::Probe, Duration::ZERO, out);
        }
        let lists_unread = !self.worker.lists_read;
        let acknowledgeable = self
            .retained_runs
            .acknowledgeable(self.worker.last_processed_number);
        let unacknowledged = acknowledgeable > self.worker.last_acknowledged_number;
        let awaiting_response = self.worker.awaits_response();
        let needed = lists_unread || !self.runs.is_idle() || unacknowledged || awaiting_response;
        let timeout = MIN_RENEWAL_TIMEOUT.max(RENEWAL_WAIT + self.worker.late_response_limit());
        let expired_before = now.mono.saturating_sub(timeout);
        let renewing = self.pending_calls.is_renewing(expired_before);
        // While the worker retains ended runs, it responds without waiting.
        let pausing = !self.retained_runs.is_empty()
            && now.since(self.pending_calls.last_renewal_at())
                < MIN_RENEWAL_INTERVAL_WITH_RETAINED_RUNS;
        if !self.worker_left && needed && !renewing && !pausing && now.mono >= self.next_renewal_at
        {
            let long_poll = !lists_unread && !self.runs.is_idle();
            let wait = if long_poll {
                RENEWAL_WAIT
            } else {
                Duration::ZERO
            };
            self.renew_lease(now, Purpose::RenewLease, wait, out);
        }
    }

    fn renew_lease(&mut self, now: Now, purpose: Purpose, wait: Duration, out: &mut Vec<Action>) {
        let lease_end = self.lease_end(now);
        let in_doubt = !self.worker.announced.is_empty();
        let lease_deadline_ms = if self.runs.is_idle() || in_doubt {
            None
        } else {
            self.worker.lease_deadline_ms(now.mono, lease_end)
        };
        let call = self.record_call(now, purpose, wait);
        out.push(Action::RenewLease {
            call,
            lease_deadline_ms,
            fence: self.worker.fence,
            acknowledged: self.acknowledged(now),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or_default(),
        });
    }

    /// Returns when a lease that is extended now ends: for its full duration, unless a run of a
    /// non-durable job must end earlier because its owner is silent or has requested its stop. The task
    /// of a durable job is not started again before the end of the run is known. Zero while the owner of
    /// a run is unknown: the agent that started the run has set its lease.
    pub(super) fn lease_end(&self, now: Now) -> Duration {
        let mut end = now.mono + self.settings.lease;
        for (_, run) in self.runs.iter() {
            let Some(owner) = run.owner else {
                return Duration::ZERO;
            };
            if run.durable {
                continue;
            }
            let last_contact = self.owners.last_contact(owner);
            let limit = last_contact.map(|at| at + ORPHAN_LEASE_LIMIT);
            end = end.min(limit.unwrap_or_default());
            if let Some(abandoned_at) = run.abandoned_at {
                end = end.min(abandoned_at + STOP_LEASE_LIMIT);
            }
        }
        end
    }

    /// Registers a call that the worker answers after `wait`, or earlier once a run ends, and returns its
    /// key.
    pub(super) fn record_call(&mut self, now: Now, purpose: Purpose, wait: Duration) -> CallKey {
        self.worker.record_call(now.mono);
        self.pending_calls.add(PendingCall {
            purpose,
            generation: self.worker.generation,
            fence: self.worker.fence,
            made_at: now.mono,
            wait,
            acknowledged: self.acknowledged(now),
        })
    }

    /// Returns the number up to which a call acknowledges ended runs.
    fn acknowledged(&self, now: Now) -> u64 {
        // Another incarnation numbers its ends anew.
        let in_doubt = !self.worker.announced.is_empty();
        if in_doubt || !self.worker.has_just_listed(now.mono) {
            return 0;
        }
        self.retained_runs
            .acknowledgeable(self.worker.last_processed_number)
    }

    /// Delays the next lease renewal after a failed one.
    pub(super) fn back_off_renewals(&mut self, now: Now) {
        self.next_renewal_at = now.mono + self.renewal_backoff;
        self.renewal_backoff = (self.renewal_backoff * 2).min(RENEWAL_BACKOFF.1);
    }

    /// Allows the next lease renewal immediately.
    pub(super) fn reset_renewal_backoff(&mut self, now: Now) {
        self.next_renewal_at = now.mono;
        self.renewal_backoff = RENEWAL_BACKOFF.0;
    }
}
