//! Crashes of the worker, and the evidence on which of its runs has caused them.
//!
//! The worker is on the agent's host, so a refused connection means that no process listens there: the
//! worker has ended, and with it all runs. That is known long before the lease expires.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use super::io::Action;
use super::machine::Machine;
use super::runs::{Run, RunState, run_report};
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::job::RunId;

/// Number of lease renewals in a row whose connections were refused after which the worker is known to
/// have ended.
const REFUSALS_OF_ENDED_WORKER: u32 = 2;

/// Number of leases from the order of a run after which a start call without an outcome is given up. A
/// call ends after half a second at most; its outcome is dropped only if the input queue is full.
const MAX_OPEN_LEASES: u32 = 2;

/// Added to the age of a run, in milliseconds. Bounds the blame of a run that has just started
/// relative to the others.
const BLAME_AGE_OFFSET_MS: f64 = 20.0;

/// Fraction of the highest blame among the jobs on the worker from which on a job is suspect.
const SUSPECT_SHARE: f64 = 0.5;

/// Time for which a crash is reported to processes that claim the shard of the run's job. Covers the
/// time from the loss of an owner to the claim of its shards.
const CRASH_RETENTION: Duration = Duration::from_secs(30);

/// Recent crashes under runs of durable jobs, for later owners of their shards: the owner that a crash
/// was reported to may have been lost before it stored the count.
#[derive(Debug, Default)]
pub(super) struct CrashedRuns(Vec<(wire::RunReport, Duration)>);

impl CrashedRuns {
    pub(super) fn add(&mut self, now: Duration, report: wire::RunReport) {
        self.0
            .retain(|(_, at)| now.saturating_sub(*at) < CRASH_RETENTION);
        self.0.push((report, now));
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &wire::RunReport> {
        self.0.iter().map(|(report, _)| report)
    }
}

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

    /// Closes a run whose worker crashed.
    pub(super) fn close_crashed_run(
        &mut self,
        now: Now,
        id: &RunId,
        evidence: wire::CrashEvidence,
    ) {
        let mut report = run_report(id, wire::RunOutcome::Crashed, Duration::ZERO);
        report.crash = Some(evidence);
        if self.runs.get(id).is_some_and(|run| run.durable) {
            self.crashed_runs.add(now.mono, report.clone());
        }
        self.close_run_with_report(now, id, report);
    }

    /// Returns the evidence against each run on a worker that has crashed. A run is the more likely to
    /// have caused the crash the shorter before it has started, since a task that always crashes its
    /// worker does so after the same time, and most tasks have survived that time before.
    pub(super) fn crash_evidence(&self, now: Now) -> DeterministicMap<RunId, wire::CrashEvidence> {
        let crashed_at = self.worker.failing_since.unwrap_or(now.mono);
        let on_worker = || self.runs.iter().filter(|(_, run)| run.may_be_on_worker());
        let mut jobs: DeterministicMap<&str, f64> = DeterministicMap::default();
        for (id, run) in on_worker() {
            let weight = jobs.entry(id.task.job.as_str()).or_default();
            *weight = weight.max(blame_weight(run, crashed_at));
        }
        let total: f64 = jobs.values().sum();
        let highest = jobs.values().copied().fold(0.0, f64::max);
        let evidence = on_worker().filter_map(|(id, run)| {
            let weight = *jobs.get(id.task.job.as_str())?;
            let evidence = wire::CrashEvidence {
                blame: (weight / total.max(f64::MIN_POSITIVE) * 1_000.0) as u32,
                suspect: weight >= highest * SUSPECT_SHARE,
                alone: jobs.len() == 1,
                age_ms: u32::try_from(age(run, crashed_at).as_millis()).unwrap_or(u32::MAX),
                unconfirmed: run.is_unconfirmed(),
            };
            Some((id.clone(), evidence))
        });
        evidence.collect()
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

    /// Returns the evidence against a run that was kept over a crash and has now been lost. It is not
    /// known whether the run was on the crashed incarnation.
    pub(super) fn kept_evidence(&self, id: &RunId) -> Option<wire::CrashEvidence> {
        let evidence = self.runs.get(id)?.crash?;
        Some(wire::CrashEvidence {
            unconfirmed: true,
            ..evidence
        })
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

    /// Returns whether a run may be on the worker beside those that are there now: all of them must be
    /// of the same group.
    pub(super) fn group_allows(&self, id: &RunId) -> bool {
        let Some(run) = self.runs.get(id) else {
            return false;
        };
        let others = self.runs.iter().filter(|(_, run)| run.may_be_on_worker());
        let mut groups = others.map(|(_, other)| &other.group);
        groups.all(|group| *group == run.group)
    }

    /// Returns the group of the runs that are on the worker or wait for it; empty if they have none.
    pub(super) fn group(&self) -> SmolStr {
        let mut groups = self.runs.iter().map(|(_, run)| &run.group);
        let group = groups.find(|group| !group.is_empty());
        group.cloned().unwrap_or_default()
    }
}

/// Returns the time from the start of a run to the crash of its worker.
fn age(run: &Run, crashed_at: Duration) -> Duration {
    let started_at = match run.state {
        RunState::Starting(_, sent_at) => sent_at,
        _ => run.started_at.unwrap_or(run.ordered_at),
    };
    crashed_at.saturating_sub(started_at)
}

/// Returns how likely a run has caused a crash, relative to the others.
fn blame_weight(run: &Run, crashed_at: Duration) -> f64 {
    let age_ms = age(run, crashed_at).as_secs_f64() * 1_000.0;
    1.0 / (age_ms + BLAME_AGE_OFFSET_MS)
}
