//! Collects what callers and workers see, and the promises that it breaks.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::calm::Calm;
use super::job::{CRASHES, Job};
use super::observations::{Capacity, JobRecord, State, job_of};
use super::record::Record;
use super::rules::{Answer, Rule, Violation};
use crate::site::{RunKey, Watcher};

/// Collects what is seen.
#[derive(Debug)]
pub struct Witness {
    began: Instant,
    calm: Calm,
    capacity: Capacity,
    record: Option<Record>,
    state: Mutex<State>,
}

impl Witness {
    /// A witness that has seen nothing. All workers have the room `capacity`.
    #[must_use]
    pub fn new(calm: Calm, capacity: Capacity) -> Self {
        Self {
            began: Instant::now(),
            calm,
            capacity,
            record: None,
            state: Mutex::default(),
        }
    }

    /// Records what happens on the workers.
    #[must_use]
    pub(super) fn with_record(mut self, record: Record) -> Self {
        self.record = Some(record);
        self
    }

    fn record(&self, worker: usize, message: &str, run: &str) {
        if let Some(record) = &self.record {
            record.add(worker, message, run);
        }
    }

    /// Disturbances.
    #[must_use]
    pub fn calm(&self) -> &Calm {
        &self.calm
    }

    /// Notes a broken promise.
    pub fn violate(&self, rule: Rule, text: String) {
        let at = self.began.elapsed();
        let violation = Violation { rule, at, text };
        self.state().violations.push(violation);
    }

    /// A caller is about to submit a job, perhaps again.
    pub fn submits(&self, job: &Job) {
        let mut state = self.state();
        let record = state.jobs.entry(job.id.clone()).or_insert(JobRecord {
            job: job.clone(),
            submissions: Vec::new(),
            open: 0,
            accepted: false,
            stored: false,
            ended: false,
            cancelled: None,
            started: false,
        });
        record.open += 1;
    }

    /// Notes the process that gets the submission of a job.
    pub fn submitted(&self, id: &str, process: &str) {
        let at = self.began.elapsed();
        if let Some(record) = self.state().jobs.get_mut(id) {
            record.submissions.push((at, process.to_owned()));
        }
    }

    /// A submission has ended for its caller.
    pub fn answered(&self, id: &str, answer: Answer) {
        let mut state = self.state();
        *state.answers.entry(answer).or_default() += 1;
        let fault = state.judge(id, answer);
        if let Some(record) = state.jobs.get_mut(id) {
            record.open -= 1;
            record.accepted |= answer != Answer::Refused;
            record.stored |= answer == Answer::Accepted;
        }
        drop(state);
        if let Some((rule, text)) = fault {
            self.violate(rule, text);
        }
    }

    /// A durable job was shown as ended.
    pub fn shown(&self, id: &str, answer: Answer) {
        let mut state = self.state();
        let fault = state.judge(id, answer);
        if let Some(record) = state.jobs.get_mut(id) {
            record.ended = true;
        }
        drop(state);
        if let Some((rule, text)) = fault {
            self.violate(rule, text);
        }
    }

    /// The cancellation of a job was acknowledged.
    pub fn cancelled(&self, id: &str) {
        if let Some(record) = self.state().jobs.get_mut(id) {
            record.cancelled.get_or_insert(Instant::now());
        }
    }

    /// Whether a task of the job has started.
    pub fn has_started(&self, id: &str) -> bool {
        self.state().jobs.get(id).is_some_and(|job| job.started)
    }

    /// Checks what can only be told at the end, and returns all broken promises.
    pub fn finish(&self) -> Vec<Violation> {
        let mut faults = Vec::new();
        let state = self.state();
        for (id, record) in &state.jobs {
            if record.started && !record.accepted && record.open == 0 {
                faults.push((Rule::Refused, format!("job {id} was refused and has run")));
            }
        }
        for (id, record) in &state.jobs {
            if record.stored && !record.ended && record.cancelled.is_none() {
                faults.push((Rule::Lost, format!("job {id} was accepted and never ended")));
            }
        }
        for (index, worker) in &state.workers {
            for (task, attempt) in worker.running.keys() {
                let text = format!("{task}#{attempt} still runs on worker {index}");
                faults.push((Rule::Unasked, text));
            }
        }
        drop(state);
        for (rule, text) in faults {
            self.violate(rule, text);
        }
        self.state().violations.clone()
    }

    /// Number of each answer.
    #[must_use]
    pub fn answers(&self) -> HashMap<Answer, u64> {
        self.state().answers.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Watcher for Witness {
    fn started(&self, worker: usize, run: &RunKey, spec: &str) {
        self.record(worker, "run started", &format!("{}#{}", run.0, run.1));
        let mut state = self.state();
        let (mut faults, room) = state.check_start(&self.calm, worker, run, spec);
        let id = job_of(&run.0);
        if let Some(record) = state.jobs.get_mut(id) {
            record.started = true;
        }
        let task = state.tasks.entry(run.0.clone()).or_default();
        let at = self.began.elapsed();
        task.running.push((worker, run.1, at));
        task.started = Some(Instant::now());
        let record = state.workers.entry(worker).or_default();
        record.running.insert(run.clone(), room);
        let used = record.running.values();
        let used = used.fold((0, 0), |sum, room| (sum.0 + room.0, sum.1 + room.1));
        if used.0 > self.capacity.0 || used.1 > self.capacity.1 {
            faults.push((Rule::Room, format!("{used:?} of {:?} used", self.capacity)));
        }
        drop(state);
        for (rule, text) in faults {
            let text = format!("{}#{} on worker {worker}: {text}", run.0, run.1);
            self.violate(rule, text);
        }
    }

    fn ended(&self, worker: usize, run: &RunKey, cause: &'static str) {
        self.record(worker, cause, &format!("{}#{}", run.0, run.1));
        let mut state = self.state();
        let record = state.workers.entry(worker).or_default();
        record.running.remove(run);
        let task = state.tasks.entry(run.0.clone()).or_default();
        task.running
            .retain(|(at, attempt, _)| (*at, *attempt) != (worker, run.1));
        if cause == "done" {
            task.done = true;
            task.finished = Some(Instant::now());
        }
        task.failed += u32::from(cause == "failed");
    }

    fn crashed(&self, worker: usize, lost: &[RunKey]) {
        self.record(worker, "worker crashed", &format!("{lost:?}"));
        let mut state = self.state();
        let record = state.workers.entry(worker).or_default();
        let running: Vec<RunKey> = record.running.keys().cloned().collect();
        for (task, _) in lost {
            let alone = running.iter().all(|run| job_of(&run.0) == job_of(task));
            let task = state.tasks.entry(task.clone()).or_default();
            task.crashes += 1;
            task.crash_proved |= alone && task.crashes >= CRASHES.0;
        }
    }

    fn noted(&self, run: &RunKey) {
        let mut state = self.state();
        let id = job_of(&run.0);
        let durable = state.jobs.get(id).is_some_and(|record| record.job.durable);
        let task = state.tasks.entry(run.0.clone()).or_default();
        let again = task.started > task.finished;
        let first = task.noted.is_none();
        task.noted = task.noted.or(task.finished);
        drop(state);
        if durable && first && again {
            let text = format!("{} was started again after an end that counts", run.0);
            self.violate(Rule::Twice, text);
        }
    }

    fn leaving(&self, worker: usize) {
        let mut state = self.state();
        let record = state.workers.entry(worker).or_default();
        record.leaving.get_or_insert(Instant::now());
    }

    fn renewed(&self, worker: usize) {
        self.record(worker, "new lifetime", "");
        let mut state = self.state();
        state.workers.entry(worker).or_default().leaving = None;
    }
}
