//! Lifetimes of the worker: which runs have ended when it crashes, restarts or leaves, or its lease expires.
//!
//! A worker may restart with its instance id, and then accepts starts that were meant for the incarnation
//! before. So what is known of one incarnation ends only the runs that were certainly on it; the others
//! are kept until the run lists of the next one show whether it has them.
//!
//! The worker is on the agent's host, so a refused connection means that no process listens there. That
//! is known long before the lease expires.

use std::time::Duration;

use knapweedwall_wire as wire;

use super::io::Action;
use super::machine::{Machine, log};
use super::runs::{Run, RunState};
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::job::RunId;

/// Number of lease renewals in a row whose connections were refused after which the worker is known to
/// have ended.
const REFUSALS_OF_ENDED_WORKER: u32 = 2;

/// Number of leases from the order of a run after which a start call without an outcome is given up. A
/// call ends after half a second at most; its outcome is dropped only if the input queue is full.
const MAX_OPEN_LEASES: u32 = 2;

/// Why runs are lost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    /// Cause, for the log.
    pub(super) cause: &'static str,
    /// Whether the worker crashed, so that a run may have caused it.
    pub(super) crashed: bool,
    pub(super) proof: Proof,
}

/// What is known of the worker when runs are lost, and so which runs have ended. A worker may restart
/// with its instance id, and then accepts starts that were meant for the incarnation before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Proof {
    /// Nothing that was sent so far can be running, or start later.
    AllEnded,
    /// The lease has expired, so nothing runs. A start call that was decided on before that may still be
    /// sent, by a process that stood still.
    LeaseExpired,
    /// A new incarnation with the same instance id is known. It may have accepted runs already.
    Restarted,
    /// The worker refused connections that were tried after its last response, and after this time, so
    /// the incarnation that gave that response has ended. A new one may be there by now.
    Refused(Duration),
}

impl Machine {
    /// Handles a deregistration. One of an incarnation that the worker has not named tells nothing of the
    /// runs; the worker's next response does.
    pub(super) fn handle_worker_left(
        &mut self,
        now: Now,
        instance: &str,
        incarnation: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let known = self.worker.incarnation;
        let other = known.is_some_and(|known| incarnation.is_some_and(|left| left != known));
        if other {
            self.probe_needed = true;
            return;
        }
        if self.worker.instance() == instance {
            let loss = Loss {
                cause: "the worker has left",
                crashed: false,
                proof: Proof::AllEnded,
            };
            self.reset_worker(now, None, loss, out);
            self.worker.leaving = true;
            self.worker_left = true;
            self.withdraw_registration(out);
        }
    }

    /// Resets the state of the worker after the end of its incarnation. All runs on it ended as well.
    pub(super) fn reset_worker(
        &mut self,
        now: Now,
        incarnation: Option<u64>,
        loss: Loss,
        out: &mut Vec<Action>,
    ) {
        let carried = self
            .runs
            .iter()
            .filter(|(_, run)| self.may_have_survived(now, run, loss.proof));
        let carried: Vec<RunId> = carried.map(|(id, _)| id.clone()).collect();
        let evidence = self.crash_evidence(now);
        self.close_lost_runs(now, loss, out);
        self.worker.begin_incarnation(now.mono, incarnation);
        self.pending_calls.reset_counts();
        self.probe_needed = false;
        self.pending_stops.clear();
        if let Some(first) = carried.first() {
            let fields = vec![
                ("runs", carried.len().to_string()),
                ("first", first.to_string()),
                ("cause", loss.cause.to_owned()),
            ];
            log(
                out,
                425,
                "runs kept because a new incarnation may have accepted them",
                false,
                fields,
            );
        }
        for id in carried {
            let evidence = evidence.get(&id).copied().filter(|_| loss.crashed);
            self.carry_over(&id, evidence);
        }
        self.retained_runs.clear();
        self.lists_read_at = None;
        self.reset_renewal_backoff(now);
    }

    /// Closes all runs that may have been on the worker, except those that have not certainly ended.
    pub(super) fn close_lost_runs(&mut self, now: Now, loss: Loss, out: &mut Vec<Action>) {
        let lost = self.runs.iter().filter(|(_, run)| {
            run.may_be_on_worker() && !self.may_have_survived(now, run, loss.proof)
        });
        let lost: Vec<RunId> = lost.map(|(id, _)| id.clone()).collect();
        if lost.is_empty() {
            return;
        }
        let mut evidence = if loss.crashed {
            self.crash_evidence(now)
        } else {
            DeterministicMap::default()
        };
        let suspects = evidence.values().filter(|evidence| evidence.suspect);
        let response_age = now.since(self.worker.responded_at);
        let silence = self.worker.silence(now.mono);
        let fields = vec![
            ("runs", lost.len().to_string()),
            ("first", lost[0].to_string()),
            ("cause", loss.cause.to_owned()),
            ("response_age_ms", response_age.as_millis().to_string()),
            ("silent_ms", silence.as_millis().to_string()),
            ("crashed", loss.crashed.to_string()),
            ("suspects", suspects.count().to_string()),
        ];
        log(
            out,
            403,
            "runs lost because their worker or lease ended",
            true,
            fields,
        );
        for id in lost {
            match self.kept_evidence(&id).or(evidence.remove(&id)) {
                Some(evidence) => self.close_crashed_run(now, &id, evidence),
                None => self.close_run(now, &id, wire::RunOutcome::Lost),
            }
        }
        self.decline_waiting(now);
    }

    /// Handles the refused connection of a lease renewal that was made at `made_at`. Returns whether the
    /// worker has ended.
    pub(super) fn handle_connection_refused(
        &mut self,
        now: Now,
        made_at: Duration,
        out: &mut Vec<Action>,
    ) -> bool {
        if made_at < self.worker.responded_at {
            return false;
        }
        self.worker.record_failure(now.mono);
        self.worker.record_refusal(now.mono, made_at);
        let ended = self.worker.refusals >= REFUSALS_OF_ENDED_WORKER;
        if !ended || self.runs.is_idle() || !self.worker.lists_read {
            return false;
        }
        let loss = Loss {
            cause: "the worker does not accept connections",
            crashed: !self.worker.leaving,
            proof: Proof::Refused(made_at),
        };
        self.reset_worker(now, None, loss, out);
        true
    }

    /// Returns whether the run has not certainly ended with the incarnation that was known.
    pub(super) fn may_have_survived(&self, now: Now, run: &Run, proof: Proof) -> bool {
        match proof {
            Proof::AllEnded => false,
            Proof::LeaseExpired => {
                let waits = now.since(run.ordered_at) < self.settings.lease * MAX_OPEN_LEASES;
                run.is_unconfirmed() && run.start_failed_at.is_none() && waits
            }
            Proof::Restarted => self.may_be_on_successor(run),
            // The worker responded to all other runs, or their calls failed on its connections, so they
            // were on the incarnation that has ended.
            Proof::Refused(since) => {
                let failed = run.start_failed_at.is_some_and(|at| at <= since);
                run.is_unconfirmed() && !failed
            }
        }
    }

    /// Returns whether a new incarnation may have accepted the run, rather than the one before, which
    /// has neither listed it nor answered a later request for its lists.
    fn may_be_on_successor(&self, run: &Run) -> bool {
        match run.state {
            RunState::Waiting(_) => false,
            RunState::Running(confirmed_at) => {
                !run.listed && confirmed_at > self.worker.lists_requested_at
            }
            RunState::Starting(..) | RunState::Unconfirmed(_) => true,
            RunState::Stopping(_) => !run.listed,
        }
    }

    /// Keeps a run that a new incarnation may have accepted until its run lists are known.
    pub(super) fn carry_over(&mut self, id: &RunId, evidence: Option<wire::CrashEvidence>) {
        let Some(state) = self.runs.get(id).map(|run| run.state) else {
            return;
        };
        self.runs.update(id, |run| {
            run.listed = false;
            run.crash = run.crash.or(evidence);
            // A call with a higher fence prevents a later start.
            if let RunState::Starting(fence, _) = state {
                run.state = RunState::Unconfirmed(fence);
            }
        });
        match self.runs.get(id).map(|run| run.state) {
            Some(RunState::Unconfirmed(fence)) => {
                if fence == self.worker.fence {
                    self.worker.raise_fence();
                }
                self.probe_needed = true;
            }
            Some(RunState::Stopping(_)) => self.pending_stops.push(id.clone()),
            _ => {}
        }
    }
}
