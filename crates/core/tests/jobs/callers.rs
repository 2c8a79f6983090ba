//! Callers, their jobs, and what becomes of them.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedwall_core::job::{JobRequest, PhaseSpec, Resources, TaskId};
use knapweedwall_core::scheduler::{self, Answer, CallKey};
use smol_str::SmolStr;

use crate::fleet::Fleet;
use crate::processes::attempts;
use crate::worker::{Ending, spec};

/// Pause before a caller that lost its answer submits again.
pub const RESEND_MS: u64 = 1_300;

/// What a caller knows of its job.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    pub request: JobRequest,
    pub entry: usize,
    pub sent_ms: u64,
    pub answer: Option<Answer>,
    pub took_ms: u64,
    pub call: u64,
    pub resend_ms: Option<u64>,
}

/// A job of equal tasks.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub tasks: u32,
    pub cpu: u32,
    pub run_ms: u64,
    pub ending: Ending,
    pub wait_ms: Option<u64>,
    pub durable: bool,
    /// Phases, each after the one before it.
    pub phases: u32,
    /// Label that a worker must have.
    pub label: Option<&'static str>,
    /// Most tasks of a phase on one worker.
    pub spread: Option<u32>,
}

impl Job {
    pub fn new(tasks: u32, cpu: u32, run_ms: u64) -> Self {
        Self {
            tasks,
            cpu,
            run_ms,
            ending: Ending::Done,
            wait_ms: None,
            durable: false,
            phases: 1,
            label: None,
            spread: None,
        }
    }

    /// A job of several phases.
    pub fn phases(mut self, phases: u32) -> Self {
        self.phases = phases;
        self
    }

    /// A job for workers with a label.
    pub fn label(mut self, label: &'static str) -> Self {
        self.label = Some(label);
        self
    }

    /// A job with at most so many tasks of a phase on one worker.
    pub fn spread(mut self, most: u32) -> Self {
        self.spread = Some(most);
        self
    }

    /// A job that must be kept.
    pub fn durable(mut self) -> Self {
        self.durable = true;
        self
    }

    /// A job with a task that crashes its worker.
    pub fn deadly(mut self) -> Self {
        self.ending = Ending::Deadly;
        self
    }

    /// The same, before the worker answers.
    pub fn deadly_at_once(mut self) -> Self {
        self.ending = Ending::DeadlyAtOnce;
        self
    }

    /// A job whose tasks fail.
    pub fn failing(mut self) -> Self {
        self.ending = Ending::Failed;
        self
    }
}

impl Fleet {
    /// Submits a job of equal tasks; returns the caller's number.
    pub fn submit(&mut self, entry: usize, queue: &str, job: Job) -> usize {
        self.submit_estimated(entry, queue, job, job.run_ms)
    }

    /// Submits a job whose caller estimates another run time than it has.
    pub fn submit_estimated(
        &mut self,
        entry: usize,
        queue: &str,
        job: Job,
        estimate_ms: u64,
    ) -> usize {
        let phases = (0..job.phases).map(|at: u32| PhaseSpec {
            count: job.tasks,
            resources: Resources {
                cpu: job.cpu,
                memory: 64,
                gpus: 0,
            },
            estimate: Duration::from_millis(estimate_ms),
            after: at.checked_sub(1).into_iter().collect(),
            label: job.label.map(SmolStr::from),
            spread: job.spread,
            ..PhaseSpec::default()
        });
        self.submit_phases(entry, queue, job, phases.collect())
    }

    /// Submits a job of the given phases. Their tasks use what the job says when they run.
    pub fn submit_phases(
        &mut self,
        entry: usize,
        queue: &str,
        job: Job,
        phases: Vec<PhaseSpec>,
    ) -> usize {
        let number = self.callers.len();
        let id = format!("{number:016x}");
        let request = JobRequest {
            id: id.into(),
            queue: queue.into(),
            spec: spec(job.cpu, job.run_ms, job.ending).into(),
            phases,
            wait: job.wait_ms.map(Duration::from_millis),
            durable: job.durable,
            unsupported: None,
        };
        self.callers.push(Caller {
            request,
            entry,
            sent_ms: self.now_ms,
            answer: None,
            took_ms: 0,
            call: 0,
            resend_ms: None,
        });
        self.send(number, entry);
        number
    }

    /// Submits the job of a caller once more, on a connection of its own.
    pub fn submit_again(&mut self, number: usize) -> usize {
        self.submit_again_at(number, self.callers[number].entry)
    }

    /// Submits the job of a caller once more, at another entry process.
    pub fn submit_again_at(&mut self, number: usize, entry: usize) -> usize {
        let again = self.callers.len();
        let mut caller = self.callers[number].clone();
        caller.answer = None;
        caller.sent_ms = self.now_ms;
        self.callers.push(caller);
        self.send(again, entry);
        again
    }

    pub fn send(&mut self, number: usize, entry: usize) {
        let call = self.key();
        let caller = &mut self.callers[number];
        caller.call = call;
        caller.entry = entry;
        caller.resend_ms = None;
        let job = Box::new(caller.request.clone());
        let input = scheduler::Input::Submit {
            call: CallKey(call),
            job,
        };
        self.entry_input(entry, input);
    }

    /// The caller closes its connection.
    pub fn leave(&mut self, number: usize) {
        let (entry, call) = (self.callers[number].entry, self.callers[number].call);
        self.callers[number].answer = Some(Answer::Cancelled);
        self.entry_input(entry, scheduler::Input::CallGone(CallKey(call)));
    }

    /// Submits the job of a caller again at another process. The caller gets no answer to its first
    /// submission.
    pub fn come_back(&mut self, job: usize, entry: usize) -> usize {
        let again = self.submit_again_at(job, entry);
        self.abandon(job);
        again
    }

    /// The caller's side of its connection breaks; the entry process does not see it.
    pub fn abandon(&mut self, number: usize) {
        self.callers[number].entry = usize::MAX;
        self.callers[number].resend_ms = None;
        self.callers[number].answer = Some(Answer::Cancelled);
    }

    pub fn answer(&mut self, entry: usize, call: CallKey, answer: Answer) {
        let now_ms = self.now_ms;
        let mut callers = self.callers.iter_mut();
        let found = callers.find(|caller| caller.entry == entry && caller.call == call.0);
        let Some(caller) = found else {
            self.replies.insert(call.0, answer);
            return;
        };
        if answer == Answer::OutcomeUnknown {
            caller.resend_ms = Some(now_ms + RESEND_MS);
            return;
        }
        caller.answer = Some(answer);
        caller.took_ms = now_ms - caller.sent_ms;
    }

    /// State of a caller's job at an entry process.
    pub fn query(&mut self, entry: usize, number: usize) -> Option<Answer> {
        let id = self.callers[number].request.id.clone();
        self.ask(entry, |call| scheduler::Input::Query { call, id })
    }

    /// Cancels a caller's job at an entry process.
    pub fn cancel(&mut self, entry: usize, number: usize) -> Option<Answer> {
        let id = self.callers[number].request.id.clone();
        self.ask(entry, |call| scheduler::Input::Cancel { call, id })
    }

    pub fn ask(
        &mut self,
        entry: usize,
        input: impl FnOnce(CallKey) -> scheduler::Input,
    ) -> Option<Answer> {
        let call = self.key();
        self.entry_input(entry, input(CallKey(call)));
        self.run(100);
        self.replies.remove(&call)
    }

    /// Starts of tasks on all workers.
    pub fn starts(&self) -> u64 {
        self.hosts.iter().map(|host| host.worker.starts).sum()
    }

    /// Whether a task of a caller's job has started.
    pub fn has_started(&self, number: usize) -> bool {
        let id = &self.callers[number].request.id;
        let starts = self.hosts.iter().flat_map(|host| &host.worker.started);
        starts.into_iter().any(|(task, _)| task.job == *id)
    }

    /// Durable tasks that were started after an end `done` that was taken note of.
    pub fn repeated(&self) -> Vec<String> {
        let durable = |task: &TaskId| {
            let mut callers = self.callers.iter();
            callers.any(|caller| caller.request.id == task.job && caller.request.durable)
        };
        let workers = || self.hosts.iter().map(|host| &host.worker);
        let mut found = Vec::new();
        for (task, done_ms) in workers().flat_map(|worker| &worker.noted) {
            let starts = workers().flat_map(|worker| &worker.started);
            let mut again = starts.filter(|(other, at_ms)| other == task && at_ms > done_ms);
            if let Some((_, at_ms)) = again.next()
                && durable(task)
            {
                found.push(format!("{task} done at {done_ms}, started at {at_ms}"));
            }
        }
        found
    }

    /// Durable tasks that were started after as many runs as their queue allows had failed, and these
    /// failures were taken note of.
    pub fn over_budget(&self) -> Vec<String> {
        let allowed = |task: &TaskId| {
            let mut callers = self.callers.iter();
            let caller = callers.find(|caller| caller.request.id == task.job);
            let caller = caller.filter(|caller| caller.request.durable);
            caller.map(|caller| attempts(&caller.request.queue))
        };
        let workers = || self.hosts.iter().map(|host| &host.worker);
        let mut failures: BTreeMap<&TaskId, Vec<u64>> = BTreeMap::new();
        for (task, at_ms) in workers().flat_map(|worker| &worker.noted_failures) {
            failures.entry(task).or_default().push(*at_ms);
        }
        let mut found = Vec::new();
        for (task, at_ms) in workers().flat_map(|worker| &worker.started) {
            let failures = failures.get(task).map_or(&[][..], Vec::as_slice);
            let before = failures.iter().filter(|failed_ms| *failed_ms < at_ms);
            let before = before.count();
            if allowed(task).is_some_and(|allowed| before >= allowed) {
                found.push(format!("{task} failed {before} times, started at {at_ms}"));
            }
        }
        found
    }

    pub fn resend(&mut self) {
        for number in 0..self.callers.len() {
            let due = self.callers[number].resend_ms;
            if due.is_none_or(|due| due > self.now_ms) {
                continue;
            }
            let alive: Vec<usize> = (0..self.entries.len())
                .filter(|at| self.entries[*at].machine.is_some())
                .collect();
            if !alive.is_empty() {
                let entry = alive[number % alive.len()];
                self.send(number, entry);
            }
        }
    }

    /// Lets time pass until all callers have an answer, for at most `ms`.
    pub fn finish(&mut self, ms: u64) {
        for _ in 0..ms {
            if self.callers.iter().all(|caller| caller.answer.is_some()) {
                return;
            }
            self.run(1);
        }
    }

    /// Answer to a caller.
    pub fn answer_to(&self, number: usize) -> Option<&Answer> {
        self.callers[number].answer.as_ref()
    }
}
