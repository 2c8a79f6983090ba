//! Properties of the dispatcher that hold after any sequence of events.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use knapweedwall_core::TaskRef;
use knapweedwall_core::dispatch::{Assignment, TaskEnd, WorkerKey};
use proptest::prelude::*;

use crate::harness::{Harness, job_key};

/// Input of the dispatcher. Jobs are given by number; workers and running tasks by an index that is
/// taken modulo their current number.
#[derive(Debug, Clone)]
enum Event {
    /// Job, number of tasks.
    Submit(u8, u32),
    /// Worker, credits.
    AddCredits(usize, u32),
    /// Worker, requested credits.
    RecallCredits(usize, u32),
    /// Maximum number of tasks.
    StartTasks(usize),
    /// Running task, outcome.
    EndTask(usize, u8),
    CancelJob(u8),
    RemoveJob(u8),
    DisconnectWorker(usize),
    ConnectWorker,
    /// Number of teams with a quota.
    Configure(u8),
    /// Milliseconds.
    AdvanceClock(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (any::<u8>(), 1..20_u32).prop_map(|(j, n)| Event::Submit(j % 24, n)),
        4 => (any::<usize>(), 0..6_u32).prop_map(|(w, n)| Event::AddCredits(w, n)),
        1 => (any::<usize>(), 0..6_u32).prop_map(|(w, n)| Event::RecallCredits(w, n)),
        6 => (1..10_usize).prop_map(Event::StartTasks),
        6 => (any::<usize>(), 0..4_u8).prop_map(|(t, e)| Event::EndTask(t, e)),
        1 => (0..24_u8).prop_map(Event::CancelJob),
        1 => (0..24_u8).prop_map(Event::RemoveJob),
        1 => any::<usize>().prop_map(Event::DisconnectWorker),
        1 => Just(Event::ConnectWorker),
        1 => (0..3_u8).prop_map(Event::Configure),
        2 => (1..20_000_u64).prop_map(Event::AdvanceClock),
    ]
}

/// Reference model of the dispatcher state.
struct Model {
    harness: Harness,
    waiting: BTreeSet<TaskRef>,
    running: Vec<Assignment>,
    credits: HashMap<WorkerKey, u32>,
    workers: Vec<WorkerKey>,
    /// Whether each job is cancelled; removed jobs are absent.
    cancelled_by_job: HashMap<u8, bool>,
    connect_count: u32,
}

fn job_id(job_number: u8) -> String {
    format!("j{job_number}")
}

impl Model {
    fn new() -> Self {
        Self {
            harness: Harness::new(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            credits: HashMap::new(),
            workers: Vec::new(),
            cancelled_by_job: HashMap::new(),
            connect_count: 0,
        }
    }

    fn select_worker(&self, index: usize) -> Option<WorkerKey> {
        self.workers.get(index % self.workers.len().max(1)).copied()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Submit(job_number, tasks) => self.submit(job_number, tasks),
            Event::AddCredits(index, credits) => {
                let Some(worker) = self.select_worker(index) else {
                    return;
                };
                self.harness.dispatcher.add_credits(worker, credits);
                *self.credits.entry(worker).or_default() += credits;
            }
            Event::RecallCredits(index, requested) => {
                let Some(worker) = self.select_worker(index) else {
                    return;
                };
                let available = self.credits.entry(worker).or_default();
                assert_eq!(
                    self.harness
                        .dispatcher
                        .return_unused_credits(worker, requested),
                    requested.min(*available)
                );
                *available -= requested.min(*available);
            }
            Event::StartTasks(max_tasks) => self.start_tasks(max_tasks),
            Event::EndTask(index, outcome) => self.end_task(index, outcome),
            Event::CancelJob(job_number) => self.cancel_job(job_number),
            Event::RemoveJob(job_number) => {
                self.harness
                    .dispatcher
                    .remove_job(job_key(&job_id(job_number)));
                self.waiting
                    .retain(|t| t.job != job_key(&job_id(job_number)));
                self.running
                    .retain(|a| a.task.job != job_key(&job_id(job_number)));
                self.cancelled_by_job.remove(&job_number);
            }
            Event::DisconnectWorker(index) => {
                let Some(worker) = self.select_worker(index) else {
                    return;
                };
                self.harness.dispatcher.remove_worker(worker);
                self.workers.retain(|w| *w != worker);
                self.credits.remove(&worker);
            }
            Event::ConnectWorker => {
                self.connect_count += 1;
                let worker = self
                    .harness
                    .connect_worker(&format!("w{}", self.connect_count % 5), 0);
                self.workers.push(worker);
            }
            Event::Configure(team_count) => self
                .harness
                .configure(&["small", "t", "none"][..team_count.into()]),
            Event::AdvanceClock(ms) => self.harness.advance(ms),
        }
    }

    fn submit(&mut self, job_number: u8, tasks: u32) {
        let team = ["small", "t", "u"][usize::from(job_number % 3)];
        let class = ["short", "plain", "bulk"][usize::from(job_number / 3 % 3)];
        let key = self.harness.submit(&job_id(job_number), class, team, tasks);
        if *self.cancelled_by_job.entry(job_number).or_default() {
            return;
        }
        for index in 0..tasks {
            let task = TaskRef { job: key, index };
            if !self.running.iter().any(|a| a.task == task) {
                self.waiting.insert(task);
            }
        }
    }

    fn start_tasks(&mut self, max_tasks: usize) {
        for _ in 0..max_tasks {
            let Some(assignment) = self.harness.dispatcher.next_assignment(self.harness.now) else {
                return;
            };
            assert!(
                self.waiting.remove(&assignment.task),
                "{assignment:?}: the task is not waiting"
            );
            let credits = self
                .credits
                .get_mut(&assignment.worker)
                .expect("worker is connected");
            *credits = credits.checked_sub(1).expect("worker has a credit");
            self.running.push(assignment);
        }
    }

    fn end_task(&mut self, index: usize, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let Assignment { task, worker } = self.running.swap_remove(index % self.running.len());
        let run = Duration::from_millis(50);
        let end = match outcome {
            0 => TaskEnd::Done { run },
            1 => TaskEnd::Failed { run },
            2 => TaskEnd::NotStarted,
            _ => TaskEnd::Lost,
        };
        self.harness
            .dispatcher
            .task_ended(self.harness.now, task, worker, end);
        if end != TaskEnd::NotStarted {
            return;
        }
        self.harness.dispatcher.requeue(self.harness.now, task);
        let job_entry = self
            .cancelled_by_job
            .iter()
            .find(|(number, _)| job_key(&job_id(**number)) == task.job);
        if job_entry.is_some_and(|(_, cancelled)| !cancelled) {
            self.waiting.insert(task);
        }
    }

    fn cancel_job(&mut self, job_number: u8) {
        let key = job_key(&job_id(job_number));
        let dropped = self.harness.dispatcher.cancel_job(key);
        let expected: Vec<u32> = self
            .waiting
            .iter()
            .filter(|t| t.job == key)
            .map(|t| t.index)
            .collect();
        assert_eq!(dropped.as_slice(), expected);
        self.waiting.retain(|t| t.job != key);
        if let Some(cancelled) = self.cancelled_by_job.get_mut(&job_number) {
            *cancelled = true;
        }
    }

    fn check_counts(&self) {
        let dispatcher = &self.harness.dispatcher;
        assert_eq!(dispatcher.waiting() as usize, self.waiting.len());
        assert_eq!(dispatcher.running() as usize, self.running.len());
        let status = dispatcher.status(self.harness.now);
        assert_eq!(
            status.classes.iter().map(|c| c.waiting).sum::<u32>(),
            status.waiting
        );
        assert_eq!(
            status.classes.iter().map(|c| c.running).sum::<u32>(),
            status.running
        );
        let credits: u32 = status.workers.iter().map(|w| w.credits).sum();
        assert_eq!(credits, self.credits.values().sum::<u32>());
        let held_back = status.workers.iter().filter(|w| w.held_back).count();
        assert!(held_back * 2 <= status.workers.len());
    }

    /// Starts and completes all remaining tasks.
    fn drain(&mut self) {
        let worker = self.harness.connect_worker("drain", 0);
        while !self.waiting.is_empty() {
            let waiting_before = self.waiting.len();
            // Exceeds the longest trial interval, so that a worker that is held back can get a
            // trial task.
            self.harness.advance(20_000);
            self.harness.dispatcher.add_credits(worker, 100);
            *self.credits.entry(worker).or_default() += 100;
            self.start_tasks(100);
            assert!(
                self.waiting.len() < waiting_before,
                "no task starts although the worker has credits"
            );
            while !self.running.is_empty() {
                self.end_task(0, 0);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against tasks that are lost or started twice, credits that are used twice,
    /// cancellations that drop tasks other than the waiting ones, and wrong counts.
    #[test]
    fn dispatcher_matches_reference_model(events in prop::collection::vec(event(), 1..250)) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
            model.check_counts();
        }
        model.drain();
        prop_assert_eq!(model.harness.dispatcher.waiting(), 0);
    }
}
