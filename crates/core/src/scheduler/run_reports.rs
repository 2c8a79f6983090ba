//! Ends of runs, and their consequences for jobs and workers.

use std::time::Duration;

use knapweedwall_wire as wire;

use super::io::{Action, Answer};
use super::jobs::{JobKey, Progress, TaskState};
use super::machine::{Machine, log};
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::job::{RunId, TaskId};

/// Weight of a stalled run in a worker's failure score; a failed run weighs 1.
const STALL_WEIGHT: f64 = 1.5;

impl Machine {
    /// Handles an agent's report of an ended run.
    pub(super) fn handle_run_report(
        &mut self,
        now: Now,
        from: WorkerKey,
        report: &wire::RunReport,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = report.run.clone().map(RunId::from) else {
            return;
        };
        let run_time = Duration::from_millis(u64::from(report.run_ms));
        if report.outcome() == wire::RunOutcome::Crashed {
            let evidence = report.crash.unwrap_or_default();
            self.record_crash(now, from, &run, evidence, out);
        }
        if report.kept {
            self.record_retained_end(now, from, &run, report.outcome());
        }
        self.end_run(now, from, &run, report.outcome(), run_time, out);
    }

    /// Applies the end of a run, or the failure to start it, if the run is the current attempt of
    /// its task.
    pub(super) fn end_run(
        &mut self,
        now: Now,
        from: WorkerKey,
        run: &RunId,
        outcome: wire::RunOutcome,
        run_time: Duration,
        out: &mut Vec<Action>,
    ) {
        if let Some(worker) = self.workers.get_mut(from) {
            worker.runs.remove(run);
        }
        self.placement_pending = true;
        let TaskId { job, phase, index } = &run.task;
        let Some(key) = self.jobs.find(job) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task = job.task(*phase, *index);
        let current = task.is_some_and(|task| {
            task.state == TaskState::Placed(from) && task.attempt == run.attempt
        });
        if !current {
            return;
        }
        job.may_have_run |= may_have_started(outcome);
        self.score_run(now, from, key, run, (outcome, run_time), out);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if outcome == wire::RunOutcome::Done {
            job.set_task_state(*phase, *index, TaskState::Done);
            job.unblock_phases();
        } else {
            job.requeue_task(*phase, *index);
        }
        if job.progress == Progress::Closed {
            return self.remove_closed_job(now, key, out);
        }
        if job.is_done() {
            return self.close_job(now, key, Answer::Completed, "completed", out);
        }
        self.handle_unsuccessful_run(now, key, run, outcome, out);
    }

    /// Updates the run time model and the worker's failure score with the outcome of a run.
    fn score_run(
        &mut self,
        now: Now,
        from: WorkerKey,
        key: JobKey,
        run: &RunId,
        (outcome, run_time): (wire::RunOutcome, Duration),
        out: &mut Vec<Action>,
    ) {
        let (Some(worker), Some(job)) = (self.workers.get_mut(from), self.jobs.get_mut(key)) else {
            return;
        };
        let weight = match outcome {
            wire::RunOutcome::Done => {
                worker.record_success();
                let estimate = job.request.phases[run.task.phase as usize].estimate;
                let queue = &job.queue_config.name;
                self.run_times
                    .observe(queue, estimate, run_time, &mut worker.speed);
                return;
            }
            wire::RunOutcome::Failed => 1.0,
            wire::RunOutcome::Stalled => STALL_WEIGHT,
            _ => return,
        };
        if let Some(task) = job.task_mut(run.task.phase, run.task.index)
            && !task.avoided_workers.contains(&from)
        {
            task.avoided_workers.push(from);
        }
        if let Some(pause) = worker.record_failure(now.mono, weight) {
            self.metrics.held_back.inc();
            let fields = vec![
                ("worker", worker.instance.to_string()),
                ("run", run.to_string()),
                ("outcome", outcome.as_str_name().to_owned()),
                ("pause_ms", pause.as_millis().to_string()),
            ];
            log(out, 310, "worker held back", true, fields);
        }
    }

    /// Handles a run that did not succeed. Counts it if it failed, and fails the job if the task may
    /// not be retried.
    fn handle_unsuccessful_run(
        &mut self,
        now: Now,
        key: JobKey,
        run: &RunId,
        outcome: wire::RunOutcome,
        out: &mut Vec<Action>,
    ) {
        if outcome == wire::RunOutcome::Done {
            return;
        }
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let allowed = job.queue_config.attempts;
        let Some(task) = job.task_mut(run.task.phase, run.task.index) else {
            return;
        };
        if outcome == wire::RunOutcome::Failed {
            task.failures += 1;
            task.last_failed_attempt = run.attempt;
        }
        let failed = task.failures;
        let fields = vec![
            ("run", run.to_string()),
            ("outcome", outcome.as_str_name().to_owned()),
            ("failed", failed.to_string()),
            ("allowed", allowed.to_string()),
        ];
        log(out, 311, "run did not succeed", true, fields);
        if failed >= allowed.max(1) {
            self.close_job(now, key, Answer::Failed, "failed", out);
        } else if outcome == wire::RunOutcome::Invalid {
            self.close_job(now, key, Answer::Failed, "not accepted by the worker", out);
        }
    }
}

/// Returns whether a run with this outcome may have started.
fn may_have_started(outcome: wire::RunOutcome) -> bool {
    !matches!(
        outcome,
        wire::RunOutcome::NoRoom
            | wire::RunOutcome::Unusable
            | wire::RunOutcome::OldAttempt
            | wire::RunOutcome::Invalid
    )
}
