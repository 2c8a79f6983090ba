//! What is known of the jobs, tasks and workers of a soak, and whether an answer or a start fits it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::calm::Calm;
use super::job::{ATTEMPTS, CRASHES, Job};
use super::rules::{Answer, Rule, Violation};
use crate::site::RunKey;

/// Time after the acknowledgement of a cancellation in which tasks may still start.
const CANCEL_LIMIT: Duration = Duration::from_secs(3);

/// Time after the acknowledgement that a worker leaves in which tasks may still start there.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// Room of a worker: processor in thousandths of a core, memory in MB.
pub type Capacity = (u64, u64);

#[derive(Debug)]
pub(super) struct JobRecord {
    pub(super) job: Job,
    /// Time of each submission, and the process that got it.
    pub(super) submissions: Vec<(Duration, String)>,
    /// Submissions without an answer.
    pub(super) open: u32,
    /// Whether a submission had another answer than a refusal.
    pub(super) accepted: bool,
    /// Whether it was acknowledged that the job is kept.
    pub(super) stored: bool,
    /// Whether it was shown as ended.
    pub(super) ended: bool,
    pub(super) cancelled: Option<Instant>,
    pub(super) started: bool,
}

impl JobRecord {
    /// Its submissions, which tell a second submission from a second start by the same process.
    pub(super) fn history(&self) -> String {
        let kind = if self.job.durable { "kept" } else { "not kept" };
        let submissions = self.submissions.iter().zip(1..);
        let submissions = submissions.map(|((at, process), number)| {
            let at = at.as_secs_f64();
            format!("{number} to {process} at {at:.3} s")
        });
        let submissions = submissions.collect::<Vec<_>>().join(", ");
        format!("job {kind}, submissions: {submissions}")
    }
}

#[derive(Debug, Default)]
pub(super) struct TaskRecord {
    /// Workers and attempts that run it, and when each began.
    pub(super) running: Vec<(usize, u64, Duration)>,
    pub(super) done: bool,
    pub(super) failed: u32,
    /// Crashes of workers that ran it, and whether at one of them from the second on no other job
    /// was on the worker.
    pub(super) crashes: u32,
    pub(super) crash_proved: bool,
    /// Last start, and last end `done`.
    pub(super) started: Option<Instant>,
    pub(super) finished: Option<Instant>,
    /// An end `done` that was taken note of.
    pub(super) noted: Option<Instant>,
}

impl TaskRecord {
    /// What runs now.
    pub(super) fn runs(&self) -> String {
        let runs = self.running.iter().map(|(worker, attempt, at)| {
            let at = at.as_secs_f64();
            format!("#{attempt} on worker {worker} since {at:.3} s")
        });
        runs.collect::<Vec<_>>().join(", ")
    }

    /// Whether its runs are cause to show its job as failed.
    pub(super) fn may_be_given_up(&self) -> bool {
        self.failed >= ATTEMPTS || self.crash_proved || self.crashes >= CRASHES.1
    }
}

#[derive(Debug, Default)]
pub(super) struct WorkerRecord {
    pub(super) running: HashMap<RunKey, (u64, u64)>,
    pub(super) leaving: Option<Instant>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) jobs: HashMap<String, JobRecord>,
    pub(super) tasks: HashMap<String, TaskRecord>,
    pub(super) workers: HashMap<usize, WorkerRecord>,
    pub(super) answers: HashMap<Answer, u64>,
    pub(super) violations: Vec<Violation>,
}

impl State {
    /// Whether an answer has a cause.
    pub(super) fn judge(&self, id: &str, answer: Answer) -> Option<(Rule, String)> {
        let record = self.jobs.get(id)?;
        let phases = 0..record.job.phases.len();
        let mut tasks = phases.flat_map(|phase| record.job.tasks(phase));
        let whole = match answer {
            Answer::Completed => {
                tasks.all(|task| self.tasks.get(&task).is_some_and(|task| task.done))
            }
            Answer::Failed => tasks.any(|task| {
                let task = self.tasks.get(&task);
                task.is_some_and(TaskRecord::may_be_given_up)
            }),
            _ => true,
        };
        let counts = || {
            let tasks = self.tasks.iter().filter(|(task, _)| job_of(task) == id);
            let counts = tasks.map(|(task, seen)| {
                let TaskRecord {
                    done,
                    failed,
                    crashes,
                    ..
                } = seen;
                format!("{task} done {done} failed {failed} crashes {crashes}")
            });
            counts.collect::<Vec<_>>().join(", ")
        };
        let text = || {
            format!(
                "job {id} was answered {answer:?} without cause: {}",
                counts()
            )
        };
        (!whole).then(|| (Rule::Answer, text()))
    }

    /// What is wrong with a start, and the room that it takes.
    pub(super) fn check_start(
        &self,
        calm: &Calm,
        worker: usize,
        (task, _): &RunKey,
        spec: &str,
    ) -> (Vec<(Rule, String)>, Capacity) {
        let mut faults = Vec::new();
        let mut parts = task.split('.');
        let id = parts.next().unwrap_or_default();
        let phase: usize = parts.nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
        let Some(record) = self.jobs.get(id) else {
            return (vec![(Rule::Unasked, "unknown job".to_owned())], (0, 0));
        };
        let room = record.job.phases.get(phase);
        let room = room.map_or((0, 0), |phase| (phase.cpu, phase.memory));
        if spec != record.job.spec || !record.job.tasks(phase).any(|known| known == *task) {
            faults.push((Rule::Unasked, "other work than submitted".to_owned()));
        }
        if record.open == 0 && !record.accepted {
            faults.push((Rule::Refused, "after a refusal".to_owned()));
        }
        let since = |at: &Instant| calm.is_calm(*at);
        let cancelled = record.cancelled.filter(since);
        if cancelled.is_some_and(|at| at.elapsed() > CANCEL_LIMIT) {
            faults.push((Rule::Cancelled, "after its cancellation".to_owned()));
        }
        let earlier = phase.checked_sub(1);
        let mut before = earlier
            .into_iter()
            .flat_map(|phase| record.job.tasks(phase));
        if !before.all(|task| self.tasks.get(&task).is_some_and(|task| task.done)) {
            faults.push((Rule::Order, "before the phase ahead of it".to_owned()));
        }
        if let Some(known) = self.tasks.get(task)
            && !known.running.is_empty()
        {
            let text = format!("beside {}; {}", known.runs(), record.history());
            faults.push((Rule::Twice, text));
        }
        let ended = self
            .tasks
            .get(task)
            .is_some_and(|task| task.noted.is_some());
        if record.job.durable && ended {
            faults.push((Rule::Twice, "after its end was taken note of".to_owned()));
        }
        let spread = record.job.phases.get(phase).map_or(0, |phase| phase.spread);
        if let Some(known) = self.workers.get(&worker) {
            let prefix = format!("{id}.0.{phase}.");
            let beside = known.running.keys();
            let beside = beside.filter(|(task, _)| task.starts_with(&prefix)).count();
            if spread > 0 && beside as u64 >= spread {
                faults.push((Rule::Spread, format!("beside {beside} of its phase")));
            }
            let leaving = known.leaving.filter(since);
            if leaving.is_some_and(|at| at.elapsed() > LEAVE_LIMIT) {
                faults.push((Rule::Leaving, "on a worker that leaves".to_owned()));
            }
        }
        (faults, room)
    }
}

/// Job that the task belongs to.
pub(super) fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}
