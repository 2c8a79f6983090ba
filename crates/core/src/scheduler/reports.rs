//! Runs that end, and what follows for their jobs.

use std::time::Duration;

use knapweedwall_wire as wire;

use super::io::{Action, Answer};
use super::jobs::{JobKey, Place, Progress};
use super::machine::{Machine, log};
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::job::{RunId, TaskId};

/// Weight of a stall against a worker, in failures.
const STALL_WEIGHT: f64 = 1.5;

impl Machine {
    /// Takes the end of one run.
    pub(super) fn take_end(
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
        if report.kept {
            self.take_kept_end(now, from, &run, report.outcome());
        }
        self.end_run(now, from, &run, report.outcome(), run_time, out);
    }

    /// Ends a run that is known to have ended, or not to have started.
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
        self.changed = true;
        let TaskId { job, phase, index } = &run.task;
        let Some(key) = self.jobs.find(job) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task = job.task(*phase, *index);
        let current = task
            .is_some_and(|task| task.place == Place::Placed(from) && task.attempt == run.attempt);
        if !current {
            return;
        }
        job.ran |= started(outcome);
        self.judge(now, from, key, run, (outcome, run_time), out);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if outcome == wire::RunOutcome::Done {
            job.set_place(*phase, *index, Place::Done);
            job.unblock();
        } else {
            job.wait_again(*phase, *index);
        }
        if job.progress == Progress::Closing {
            return self.drop_closed(now, key, out);
        }
        if job.is_done() {
            return self.close_job(now, key, Answer::Completed, "completed", out);
        }
        self.after_bad_end(now, key, run, outcome, out);
    }

    /// What a run's end says of its worker, and of run times.
    fn judge(
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
                worker.good_end();
                let estimate = job.request.phases[run.task.phase as usize].estimate;
                let queue = &job.rules.name;
                self.learning
                    .observe(queue, estimate, run_time, &mut worker.speed);
                return;
            }
            wire::RunOutcome::Failed => 1.0,
            wire::RunOutcome::Stalled => STALL_WEIGHT,
            _ => return,
        };
        if let Some(task) = job.task_mut(run.task.phase, run.task.index)
            && !task.avoid.contains(&from)
        {
            task.avoid.push(from);
        }
        if let Some(pause) = worker.bad_end(now.mono, weight) {
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

    /// Ends the job of a run without a result, or lets the task wait for another worker.
    fn after_bad_end(
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
        let most = job.rules.attempts;
        let Some(task) = job.task_mut(run.task.phase, run.task.index) else {
            return;
        };
        if outcome == wire::RunOutcome::Failed {
            task.failed += 1;
            task.counted = run.attempt;
        }
        let failed = task.failed;
        let fields = vec![
            ("run", run.to_string()),
            ("outcome", outcome.as_str_name().to_owned()),
            ("failed", failed.to_string()),
            ("allowed", most.to_string()),
        ];
        log(out, 311, "run without a result", true, fields);
        if failed >= most.max(1) {
            self.close_job(now, key, Answer::Failed, "failed", out);
        } else if outcome == wire::RunOutcome::Invalid {
            self.close_job(now, key, Answer::Failed, "not accepted by the worker", out);
        }
    }
}

/// Whether a run with this outcome may have started.
fn started(outcome: wire::RunOutcome) -> bool {
    !matches!(
        outcome,
        wire::RunOutcome::NoRoom
            | wire::RunOutcome::Unusable
            | wire::RunOutcome::OldAttempt
            | wire::RunOutcome::Invalid
    )
}
