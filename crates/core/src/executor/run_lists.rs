//! Lease renewals, and the lists of running and ended runs in the worker's responses.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use super::io::{Action, CallKey, EndCause, EndedRun, RenewalOutcome, RunLists, RunningRun};
use super::lifetimes::{Loss, Proof};
use super::machine::{Machine, log};
use super::pending_calls::{PendingCall, Purpose};
use super::runs::{Run, RunState, StopCause, run_report};
use crate::clock::Now;
use crate::deterministic::DeterministicSet;
use crate::job::RunId;

/// Maximum number of ended runs in one response of the worker.
const MAX_LISTED_ENDED_RUNS: usize = 500;

impl Machine {
    pub(super) fn handle_renewal_completed(
        &mut self,
        now: Now,
        key: CallKey,
        outcome: RenewalOutcome,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.pending_calls.complete(key, self.worker.generation) else {
            return;
        };
        let is_probe = call.purpose == Purpose::Probe;
        match outcome {
            RenewalOutcome::Renewed(lists) => {
                self.worker.record_accepted_fence();
                self.reset_renewal_backoff(now);
                self.handle_run_lists(now, &call, lists, clock_ms, out);
            }
            RenewalOutcome::Fence => {
                self.worker
                    .record_response(now.mono, call.made_at, clock_ms);
                self.worker.raise_fence_above(call.fence);
                self.probe_needed |= is_probe;
            }
            RenewalOutcome::WrongInstance => {
                let loss = Loss {
                    cause: "the worker was replaced",
                    crashed: !self.worker.leaving,
                    proof: Proof::AllEnded,
                };
                self.reset_worker(now, None, loss, out);
                // The instance that has replaced it tells its incarnation to calls to any.
                self.use_worker(SmolStr::default(), out);
                self.back_off_renewals(now);
            }
            RenewalOutcome::ConnectionRefused => {
                if self.worker.is_responsive(now.mono) {
                    let fields = vec![("cause", "connection refused".to_owned())];
                    log(out, 420, "no response to a lease renewal", true, fields);
                }
                if !self.handle_connection_refused(now, call.made_at, out) {
                    self.probe_needed |= is_probe;
                }
                self.back_off_renewals(now);
            }
            RenewalOutcome::NoAnswer(cause) => {
                self.worker.record_failure(now.mono);
                if self.worker.is_responsive(now.mono) {
                    let fields = vec![("cause", cause.to_string())];
                    log(out, 420, "no response to a lease renewal", true, fields);
                }
                self.back_off_renewals(now);
                self.probe_needed |= is_probe;
            }
        }
    }

    fn handle_run_lists(
        &mut self,
        now: Now,
        call: &PendingCall,
        lists: RunLists,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let mut restarted = false;
        if let Some(incarnation) = lists.incarnation
            && self.worker.incarnation != Some(incarnation)
        {
            restarted = self.worker.incarnation.is_some();
            if restarted {
                let loss = Loss {
                    cause: "the worker restarted",
                    crashed: !self.worker.leaving,
                    proof: Proof::Restarted,
                };
                self.reset_worker(now, Some(incarnation), loss, out);
            }
            self.worker.incarnation = Some(incarnation);
        }
        // Not before the loss of the runs on an earlier incarnation: it has not responded.
        // Without ended runs to list, the worker has waited as long as it was asked to.
        let waited = if lists.ended.is_empty() {
            call.wait
        } else {
            Duration::ZERO
        };
        let alive_at = call.made_at + waited;
        self.worker.record_response(now.mono, alive_at, clock_ms);
        self.worker.record_lists(now.mono, alive_at);
        if restarted && call.acknowledged > 0 {
            // The new incarnation has discarded ends that it had not listed.
            return self.resolve_announced(now, call.made_at, out);
        }
        self.worker.last_acknowledged_number =
            self.worker.last_acknowledged_number.max(call.acknowledged);
        self.worker.lists_requested_at = call.made_at;
        // If the list of ended runs is full, it may be truncated, and an unlisted run may have ended.
        let complete = lists.ended.len() < MAX_LISTED_ENDED_RUNS;
        for listed_run in lists.ended {
            self.handle_ended_run(now, &listed_run, out);
        }
        let mut listed: DeterministicSet<RunId> = DeterministicSet::default();
        for listed_run in lists.running {
            self.handle_running_run(now, call, &listed_run, out);
            listed.insert(listed_run.run);
        }
        if !listed.is_empty() {
            self.worker.record_listed_runs(now.mono);
        }
        if complete {
            self.close_missing(now, call, &listed);
        }
        if !self.worker.lists_read {
            self.worker.lists_read = true;
            let incarnation = self.worker.incarnation.unwrap_or_default();
            let fields = vec![
                ("running", listed.len().to_string()),
                ("incarnation", incarnation.to_string()),
            ];
            log(
                out,
                421,
                "run lists received from the worker",
                false,
                fields,
            );
            self.resume_from_registration(now, out);
        }
        self.resolve_announced(now, call.made_at, out);
    }

    fn handle_ended_run(&mut self, now: Now, listed_run: &EndedRun, out: &mut Vec<Action>) {
        if listed_run.number <= self.worker.last_processed_number {
            return;
        }
        self.worker.last_processed_number = listed_run.number;
        let known = self.runs.get(&listed_run.run);
        let stop = known.and_then(|run| run.stop_cause);
        let outcome = match listed_run.cause {
            EndCause::Done => wire::RunOutcome::Done,
            EndCause::Failed => wire::RunOutcome::Failed,
            EndCause::Stopped if stop == Some(StopCause::Stalled) => wire::RunOutcome::Stalled,
            EndCause::Stopped => wire::RunOutcome::Stopped,
            EndCause::Lapsed => wire::RunOutcome::Lost,
        };
        let started = known.and_then(|run| run.started_at);
        let run_time = started.map(|at| now.since(at)).unwrap_or_default();
        let mut fields = vec![
            ("run", listed_run.run.to_string()),
            ("how", format!("{:?}", listed_run.cause)),
            ("run_ms", run_time.as_millis().to_string()),
        ];
        if let Some(run) = known {
            fields.extend(run.log_fields(now.mono));
            fields.extend(run.stop_log_fields(now.mono));
        }
        log(out, 422, "run ended", false, fields);
        let retained = known.is_none_or(|run| run.durable);
        let mut ended = run_report(&listed_run.run, outcome, run_time);
        ended.kept = retained;
        if retained {
            self.retained_runs.insert(listed_run.number, ended.clone());
        }
        if known.is_some() {
            self.close_run_with_report(now, &listed_run.run, ended);
        } else {
            self.owners.queue_run_report_for_all(&ended);
        }
    }

    fn handle_running_run(
        &mut self,
        now: Now,
        call: &PendingCall,
        listed_run: &RunningRun,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get(&listed_run.run) else {
            self.adopt_run(now, listed_run, out);
            return;
        };
        let (state, ordered_at) = (run.state, run.ordered_at);
        if !run.listed || run.crash.is_some() {
            self.runs.update(&listed_run.run, |run| {
                run.listed = true;
                run.crash = None;
            });
        }
        match state {
            RunState::Starting(..) | RunState::Unconfirmed(_) => {
                let assumed_start = ordered_at.max(call.made_at.min(now.mono));
                self.confirm_start(now, &listed_run.run, assumed_start, out);
            }
            RunState::Running(_) => self.runs.record_progress(
                &listed_run.run,
                listed_run.percent,
                call.made_at,
                now.mono,
            ),
            RunState::Waiting(_) | RunState::Stopping(_) => {}
        }
    }

    /// Adds a run that an earlier agent started.
    fn adopt_run(&mut self, now: Now, listed_run: &RunningRun, out: &mut Vec<Action>) {
        let fields = vec![("run", listed_run.run.to_string())];
        log(out, 423, "adopted a run found on the worker", false, fields);
        let run = Run {
            owner: None,
            durable: true,
            unclaimed: true,
            resources: None,
            spec: "".into(),
            state: RunState::Running(now.mono),
            ordered_at: now.mono,
            started_at: Some(now.mono),
            latest_start: now.mono,
            progress_percent: listed_run.percent,
            progress_times: (now.mono, now.mono),
            stop_cause: None,
            stop_requested_at: None,
            abandoned_at: None,
            held_until: None,
            unanswered_stop: None,
            start_failed_at: None,
            listed: true,
            crash: None,
            group: SmolStr::default(),
        };
        self.insert_run(listed_run.run.clone(), run);
    }

    /// Closes runs that the worker no longer lists: those whose start or stop it had confirmed before
    /// the call was made. Requeues unconfirmed runs that are not listed and can no longer be started,
    /// unless the worker has crashed since the start request was sent.
    fn close_missing(&mut self, now: Now, call: &PendingCall, listed: &DeterministicSet<RunId>) {
        let mut missing: Vec<(RunId, wire::RunOutcome)> = Vec::new();
        let mut not_started: Vec<RunId> = Vec::new();
        for (id, run) in self.runs.iter() {
            if listed.contains(id) {
                continue;
            }
            let outcome = match run.state {
                // The worker rejects start requests with a lower fence than that of this call.
                RunState::Unconfirmed(fence) if fence < call.fence => {
                    // An earlier incarnation may have started the run, and the run may have crashed it.
                    if run.crash.is_none() {
                        not_started.push(id.clone());
                        continue;
                    }
                    wire::RunOutcome::Crashed
                }
                RunState::Running(since) if since < call.made_at => wire::RunOutcome::Lost,
                RunState::Stopping(Some(since)) if since < call.made_at => {
                    wire::RunOutcome::Stopped
                }
                _ => continue,
            };
            missing.push((id.clone(), outcome));
        }
        for (id, outcome) in missing {
            match self.runs.get(&id).and_then(|run| run.crash) {
                Some(evidence) => self.close_crashed_run(now, &id, evidence),
                None => self.close_run(now, &id, outcome),
            }
        }
        for id in not_started {
            self.requeue(now, &id);
        }
        let unconfirmed = |run: &Run| matches!(run.state, RunState::Unconfirmed(_));
        let is_probe = call.purpose == Purpose::Probe;
        self.probe_needed |= is_probe && self.runs.iter().any(|(_, run)| unconfirmed(run));
    }
}
