//! What callers and workers have seen, and which promises it breaks.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::calm::Calm;
use super::job::{ATTEMPTS, CRASHES, Job};
use super::record::Record;
use crate::site::{RunKey, Watcher};

/// Time after the acknowledgement of a cancellation in which tasks may still start.
const CANCEL_LIMIT: Duration = Duration::from_secs(3);

/// Time after the acknowledgement that a worker leaves in which tasks may still start there.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Rule {
    /// No task runs twice at the same time.
    Twice,
    /// No worker takes more than its room.
    Room,
    /// Phases run in their order.
    Order,
    /// At most so many tasks of a phase run on one worker.
    Spread,
    /// Only what was submitted runs.
    Unasked,
    /// A refusal as not run is true.
    Refused,
    /// An answer is whole and has a cause.
    Answer,
    /// An accepted job is shown as ended.
    Lost,
    /// Nothing starts after a cancellation.
    Cancelled,
    /// A worker that leaves gets no new work.
    Leaving,
    /// Planned work cuts no request.
    Cut,
    /// Every request is answered in time, and jobs are done, while nothing is disturbed.
    Served,
    /// A configuration is in force in time and never goes back.
    Configuration,
    /// Processes end only when they are told to, and then in time.
    Exit,
}

/// A broken promise.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The promise.
    pub rule: Rule,
    /// Time since the start of the soak.
    pub at: Duration,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { rule, at, text } = self;
        write!(f, "{:.3} s {rule}: {text}", at.as_secs_f64())
    }
}

/// Final answer to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// It is stored and will run.
    Accepted,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// Not run.
    Refused,
    /// Given up after tasks had run.
    GaveUp,
    /// No answer: the connection broke, or the caller left.
    None,
}

#[derive(Debug)]
struct JobRecord {
    job: Job,
    /// Time of each submission, and the process that got it.
    submissions: Vec<(Duration, String)>,
    /// Submissions without an answer.
    open: u32,
    /// Whether a submission had another answer than a refusal.
    accepted: bool,
    /// Whether it was acknowledged that the job is kept.
    stored: bool,
    /// Whether it was shown as ended.
    ended: bool,
    cancelled: Option<Instant>,
    started: bool,
}

impl JobRecord {
    /// Its submissions, which tell a second submission from a second start by the same process.
    fn history(&self) -> String {
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
struct TaskRecord {
    /// Workers and attempts that run it, and when each began.
    running: Vec<(usize, u64, Duration)>,
    done: bool,
    failed: u32,
    /// Crashes of workers that ran it, and whether at one of them from the second on no other job
    /// was on the worker.
    crashes: u32,
    crash_proved: bool,
    /// Last start, and last end `done`.
    started: Option<Instant>,
    finished: Option<Instant>,
    /// An end `done` that was taken note of.
    noted: Option<Instant>,
}

impl TaskRecord {
    /// What runs now.
    fn runs(&self) -> String {
        let runs = self.running.iter().map(|(worker, attempt, at)| {
            let at = at.as_secs_f64();
            format!("#{attempt} on worker {worker} since {at:.3} s")
        });
        runs.collect::<Vec<_>>().join(", ")
    }

    /// Whether its runs are cause to show its job as failed.
    fn may_be_given_up(&self) -> bool {
        self.failed >= ATTEMPTS || self.crash_proved || self.crashes >= CRASHES.1
    }
}

#[derive(Debug, Default)]
struct WorkerRecord {
    running: HashMap<RunKey, (u64, u64)>,
    leaving: Option<Instant>,
}

/// Room of a worker: processor in thousandths of a core, memory in MB.
pub type Capacity = (u64, u64);

/// Collects what is seen.
#[derive(Debug)]
pub struct Witness {
    began: Instant,
    calm: Calm,
    capacity: Capacity,
    record: Option<Record>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    jobs: HashMap<String, JobRecord>,
    tasks: HashMap<String, TaskRecord>,
    workers: HashMap<usize, WorkerRecord>,
    answers: HashMap<Answer, u64>,
    violations: Vec<Violation>,
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

impl State {
    /// Whether an answer has a cause.
    fn judge(&self, id: &str, answer: Answer) -> Option<(Rule, String)> {
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
    fn check_start(
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

/// Job that the task belongs to.
fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}
