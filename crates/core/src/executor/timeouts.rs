//! Timeouts: unresponsive owners, stalled runs, unanswered start requests and expired leases.

use std::time::Duration;

use super::io::Action;
use super::lifetimes::{Loss, Proof};
use super::machine::{Machine, log};
use super::owners::OWNER_SILENCE_TIMEOUT;
use super::runs::{RunState, StopCause};
use crate::clock::Now;
use crate::job::RunId;

/// Minimum time after which an unanswered start request is considered lost. On an idle host the
/// response takes 1 to 3 ms. The agent then requests the worker's run lists, which show whether the
/// task was started after all.
const MIN_START_TIMEOUT: Duration = Duration::from_millis(25);

/// Minimum time after which an unanswered stop request is sent again, for the same reason. The time
/// doubles with each repeat, up to [`MAX_STOP_REPEAT_INTERVAL`].
const MIN_STOP_TIMEOUT: Duration = MIN_START_TIMEOUT;

/// Maximum time between the requests to stop a run: at least five are sent before the lease ends, which
/// is not extended for longer than a second (`STOP_LEASE_LIMIT`).
const MAX_STOP_REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time without progress in the worker's lists after which a run is stopped, so that its task can
/// run on another worker.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

impl Machine {
    pub(super) fn check_timeouts(&mut self, now: Now, out: &mut Vec<Action>) {
        self.stop_orphaned_runs(now, out);
        self.stop_limited_runs(now, out);
        self.stop_stalled_runs(now, out);
        self.expire_starts(now, out);
        self.repeat_stops(now);
        self.expire_waiting(now);
        self.expire_registration(now);
        let expired = self.worker.has_lease_expired(now.mono, self.settings.lease);
        if expired && !self.runs.is_idle() {
            self.worker.raise_fence();
            let loss = Loss {
                cause: "the lease expired",
                // A heartbeat of another incarnation and no response since then.
                crashed: !self.worker.announced.is_empty() && !self.worker.leaving,
                proof: Proof::LeaseExpired,
            };
            self.close_lost_runs(now, loss, out);
        }
        if expired && self.worker.lease_withheld {
            self.finish_lease_expiry(now, out);
        }
        if expired && !self.worker.lists_read {
            // All runs that an earlier agent started have ended, so there are none to adopt.
            self.worker.lists_read = true;
        }
        if self.worker.lists_read && self.lists_read_at.is_none() {
            self.lists_read_at = Some(now.mono);
        }
        let retention = OWNER_SILENCE_TIMEOUT;
        self.unclaimed_reports
            .retain(|(_, at)| now.since(*at) < retention);
        let with_runs = self.runs.owners();
        for link in self.owners.unresponsive_links(now.mono, &with_runs) {
            out.push(Action::Close(link, "silent"));
        }
        self.owners.remove_unresponsive(now.mono);
        self.metrics.used_cpu.set(i64::from(self.runs.used().cpu));
    }

    /// Marks runs as unconfirmed if their start requests got no response within
    /// [`MIN_START_TIMEOUT`], or within a longer time if the worker's responses are slow.
    fn expire_starts(&mut self, now: Now, out: &mut Vec<Action>) {
        let timeout = MIN_START_TIMEOUT.max(self.worker.late_response_limit());
        let overdue = self.runs.iter().filter(
            |(_, run)| matches!(run.state, RunState::Starting(_, sent) if now.since(sent) >= timeout),
        );
        for id in overdue.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.mark_unconfirmed(&id, "no response yet", out);
        }
    }

    /// Repeats the stop requests that have no response yet, without waiting for their calls to fail. A
    /// repeat is safe, also if an earlier request is executed later: it names one attempt, and stopping
    /// that again, or after its end, changes nothing. The repeats end with the run. They
    /// need no jitter, because no other agent calls the worker.
    fn repeat_stops(&mut self, now: Now) {
        let timeout = MIN_STOP_TIMEOUT.max(self.worker.late_response_limit());
        let overdue = self.runs.iter().filter(|(_, run)| {
            let stopping = matches!(run.state, RunState::Stopping(_));
            run.unanswered_stop.is_some_and(|stop| {
                let backoff = timeout.saturating_mul(2_u32.saturating_pow(stop.repeats));
                stopping && now.since(stop.sent_at) >= backoff.min(MAX_STOP_REPEAT_INTERVAL)
            })
        });
        let overdue: Vec<RunId> = overdue.map(|(id, _)| id.clone()).collect();
        self.pending_stops.extend(overdue);
    }

    /// Stops runs whose owner is not in contact.
    pub(super) fn stop_orphaned_runs(&mut self, now: Now, out: &mut Vec<Action>) {
        // Entry processes must claim the runs that the agent found on the worker within this time.
        let run_claim_timeout = OWNER_SILENCE_TIMEOUT;
        let lists_read_at = self.lists_read_at.unwrap_or(now.mono);
        let mut orphaned: Vec<RunId> = Vec::new();
        for (id, run) in self.runs.iter() {
            let owner_in_contact = match run.owner {
                Some(owner) => self.owners.is_in_contact(now.mono, owner),
                None => now.since(lists_read_at) < run_claim_timeout,
            };
            if !owner_in_contact && run.stop_cause.is_none() {
                orphaned.push(id.clone());
            }
        }
        if orphaned.is_empty() {
            return;
        }
        let fields = vec![
            ("runs", orphaned.len().to_string()),
            ("first", orphaned[0].to_string()),
        ];
        log(
            out,
            404,
            "stopping runs whose owner is unresponsive or unknown",
            true,
            fields,
        );
        for id in orphaned {
            self.stop_run(now, &id, StopCause::Owner);
        }
    }

    /// Stops runs whose owner has not extended their time limit. It may stand still while their job is
    /// submitted again elsewhere.
    fn stop_limited_runs(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut expired: Vec<RunId> = Vec::new();
        for (id, run) in self.runs.iter() {
            let reached = run.held_until.is_some_and(|end| now.mono >= end);
            if reached && run.stop_cause != Some(StopCause::Owner) {
                expired.push(id.clone());
            }
        }
        if expired.is_empty() {
            return;
        }
        let fields = vec![
            ("runs", expired.len().to_string()),
            ("first", expired[0].to_string()),
        ];
        log(out, 406, "time limit of runs not extended", true, fields);
        for id in expired {
            self.stop_run(now, &id, StopCause::Owner);
        }
    }

    fn stop_stalled_runs(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.worker.is_responsive(now.mono) {
            return;
        }
        let mut stalled: Vec<RunId> = Vec::new();
        for (id, run) in self.runs.iter() {
            let running = matches!(run.state, RunState::Running(_));
            if running && run.unchanged_for() >= STALL_TIMEOUT && run.progress_percent < 100 {
                stalled.push(id.clone());
            }
        }
        for id in stalled {
            let percent = self.runs.get(&id).map(|run| run.progress_percent);
            let fields = vec![
                ("run", id.to_string()),
                ("percent", percent.unwrap_or_default().to_string()),
            ];
            log(
                out,
                405,
                "stopping a run that makes no progress",
                true,
                fields,
            );
            self.stop_run(now, &id, StopCause::Stalled);
        }
    }
}
