//! The worker's lists of what runs and what ended.

use knapweedwall_wire as wire;

use super::calls::{Call, Purpose};
use super::io::{Action, CallKey, EndCause, EndedRow, HoldOutcome, Holding, RunningRow};
use super::machine::{Machine, log};
use super::runs::{Run, Stage, StopCause, report};
use crate::clock::Now;
use crate::deterministic::DeterministicSet;
use crate::job::RunId;

/// Ends that one list holds at most.
const LISTED_ENDS: usize = 500;

impl Machine {
    pub(super) fn take_held(
        &mut self,
        now: Now,
        key: CallKey,
        outcome: HoldOutcome,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.take(key, self.worker.life) else {
            return;
        };
        let probes = call.purpose == Purpose::Probe;
        match outcome {
            HoldOutcome::Held(holding) => {
                self.worker.answered(now.mono, clock_ms);
                self.resume_holds(now);
                self.take_lists(now, &call, holding, out);
            }
            HoldOutcome::Fence => {
                self.worker.answered(now.mono, clock_ms);
                self.worker.pass_fence(call.fence);
                self.probe |= probes;
            }
            HoldOutcome::OtherLife => {
                self.lose_worker(now, None, "the worker's lifetime has ended", out);
                self.pause_holds(now);
            }
            HoldOutcome::NoAnswer(cause) => {
                if self.worker.answers(now.mono) {
                    let fields = vec![("cause", cause.to_string())];
                    log(out, 420, "hold without an answer", true, fields);
                }
                self.pause_holds(now);
                self.probe |= probes;
            }
        }
    }

    fn take_lists(&mut self, now: Now, call: &Call, holding: Holding, out: &mut Vec<Action>) {
        if let Some(born) = holding.born
            && self.worker.born != Some(born)
        {
            if self.worker.born.is_some_and(|known| born < known) {
                return;
            }
            if self.worker.born.is_some() {
                self.lose_worker(now, Some(born), "a new lifetime answered", out);
                return;
            }
            self.worker.born = Some(born);
        }
        self.worker.acknowledged = self.worker.acknowledged.max(call.taken);
        // With more ends than a list holds, a run that is not listed may have ended.
        let whole = holding.ended.len() < LISTED_ENDS;
        for row in holding.ended {
            self.take_end(now, &row, out);
        }
        let mut listed: DeterministicSet<RunId> = DeterministicSet::default();
        for row in holding.running {
            self.take_running(now, call, &row, out);
            listed.insert(row.run);
        }
        if !listed.is_empty() {
            self.worker.listed_running(now.mono);
        }
        if whole {
            self.close_missing(now, call, &listed);
        }
        if !self.worker.listed {
            self.worker.listed = true;
            let fields = vec![("running", listed.len().to_string())];
            log(out, 421, "worker's lists read", false, fields);
        }
    }

    fn take_end(&mut self, now: Now, row: &EndedRow, out: &mut Vec<Action>) {
        if row.number <= self.worker.taken {
            return;
        }
        self.worker.taken = row.number;
        let known = self.runs.get(&row.run);
        let stop = known.and_then(|run| run.stop);
        let outcome = match row.cause {
            EndCause::Done => wire::RunOutcome::Done,
            EndCause::Failed => wire::RunOutcome::Failed,
            EndCause::Stopped if stop == Some(StopCause::Stalled) => wire::RunOutcome::Stalled,
            EndCause::Stopped => wire::RunOutcome::Stopped,
            EndCause::Lapsed => wire::RunOutcome::Lost,
        };
        let started = known.and_then(|run| run.started);
        let run_time = started.map(|at| now.since(at)).unwrap_or_default();
        let fields = vec![
            ("run", row.run.to_string()),
            ("how", format!("{:?}", row.cause)),
            ("run_ms", run_time.as_millis().to_string()),
        ];
        log(out, 422, "run ended", false, fields);
        let kept = known.is_none_or(|run| run.durable);
        let mut ended = report(&row.run, outcome, run_time);
        ended.kept = kept;
        if kept {
            self.kept.insert(row.number, ended.clone());
        }
        if known.is_some() {
            self.close_as(now, &row.run, ended);
        } else {
            self.owners.report_all(&ended);
        }
    }

    fn take_running(&mut self, now: Now, call: &Call, row: &RunningRow, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get(&row.run) else {
            self.adopt(now, row, out);
            return;
        };
        match run.stage {
            Stage::Starting(..) | Stage::Unclear(_) => {
                let made = run.ordered.max(call.made.min(now.mono));
                self.confirm(now, &row.run, made, out);
            }
            Stage::Running(_) => self
                .runs
                .observe(&row.run, row.percent, call.made, now.mono),
            Stage::Waiting(_) | Stage::Stopping(_) => {}
        }
    }

    /// Takes over a run that an earlier agent started.
    fn adopt(&mut self, now: Now, row: &RunningRow, out: &mut Vec<Action>) {
        let fields = vec![("run", row.run.to_string())];
        log(out, 423, "run found on the worker", false, fields);
        let run = Run {
            owner: None,
            durable: true,
            room: None,
            spec: "".into(),
            stage: Stage::Running(now.mono),
            ordered: now.mono,
            started: Some(now.mono),
            urgent_at: now.mono,
            progress: row.percent,
            seen: (now.mono, now.mono),
            stop: None,
        };
        self.insert(row.run.clone(), run);
    }

    /// Closes runs that the worker does not list although it would, had they been there when the
    /// call was made.
    fn close_missing(&mut self, now: Now, call: &Call, listed: &DeterministicSet<RunId>) {
        let mut missing: Vec<(RunId, wire::RunOutcome)> = Vec::new();
        let mut unstarted: Vec<RunId> = Vec::new();
        for (id, run) in self.runs.iter() {
            if listed.contains(id) {
                continue;
            }
            let outcome = match run.stage {
                // Orders under a lower fence than that of the answered call are refused.
                Stage::Unclear(fence) if fence < call.fence => {
                    unstarted.push(id.clone());
                    continue;
                }
                Stage::Running(since) if since < call.made => wire::RunOutcome::Lost,
                Stage::Stopping(Some(since)) if since < call.made => wire::RunOutcome::Stopped,
                _ => continue,
            };
            missing.push((id.clone(), outcome));
        }
        for (id, outcome) in missing {
            self.close(now, &id, outcome);
        }
        for id in unstarted {
            self.start_again(now, &id);
        }
        let unclear = |run: &Run| matches!(run.stage, Stage::Unclear(_));
        let probes = call.purpose == Purpose::Probe;
        self.probe |= probes && self.runs.iter().any(|(_, run)| unclear(run));
    }
}
