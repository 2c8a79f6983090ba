//! Crashes of the worker, and the evidence on which of its runs has caused them.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use super::machine::Machine;
use super::runs::{Run, RunState, run_report};
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::job::RunId;

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

impl Machine {
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
        // A run may have ended since the last sign of life.
        let silent = self.worker.is_silent(now.mono);
        let total: f64 = jobs.values().sum();
        let highest = jobs.values().copied().fold(0.0, f64::max);
        let evidence = on_worker().filter_map(|(id, run)| {
            let weight = *jobs.get(id.task.job.as_str())?;
            let evidence = wire::CrashEvidence {
                blame: (weight / total.max(f64::MIN_POSITIVE) * 1_000.0) as u32,
                suspect: weight >= highest * SUSPECT_SHARE,
                alone: jobs.len() == 1,
                age_ms: u32::try_from(age(run, crashed_at).as_millis()).unwrap_or(u32::MAX),
                unconfirmed: silent || run.is_unconfirmed(),
            };
            Some((id.clone(), evidence))
        });
        evidence.collect()
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
