//! Properties that hold after any sequence of events.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use knapweedwall_core::TaskRef;
use knapweedwall_core::dispatch::{Assignment, TaskEnd, WorkerKey};
use proptest::prelude::*;

use crate::bench::{Bench, job};

#[derive(Debug, Clone)]
enum Step {
    Submit(u8, u32),
    Credit(usize, u32),
    Recall(usize, u32),
    Start(usize),
    End(usize, u8),
    Cancel(u8),
    Remove(u8),
    Down(usize),
    Up,
    Configure(u8),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<u8>(), 1..20_u32).prop_map(|(j, n)| Step::Submit(j % 24, n)),
        4 => (any::<usize>(), 0..6_u32).prop_map(|(w, n)| Step::Credit(w, n)),
        1 => (any::<usize>(), 0..6_u32).prop_map(|(w, n)| Step::Recall(w, n)),
        6 => (1..10_usize).prop_map(Step::Start),
        6 => (any::<usize>(), 0..4_u8).prop_map(|(t, e)| Step::End(t, e)),
        1 => (0..24_u8).prop_map(Step::Cancel),
        1 => (0..24_u8).prop_map(Step::Remove),
        1 => any::<usize>().prop_map(Step::Down),
        1 => Just(Step::Up),
        1 => (0..3_u8).prop_map(Step::Configure),
        2 => (1..20_000_u64).prop_map(Step::Pass),
    ]
}

/// What the dispatcher should know, kept in the simplest form.
struct Model {
    bench: Bench,
    waiting: BTreeSet<TaskRef>,
    running: Vec<Assignment>,
    credits: HashMap<WorkerKey, u32>,
    workers: Vec<WorkerKey>,
    /// Jobs submitted and not removed; true when cancelled.
    jobs: HashMap<u8, bool>,
    named: u32,
}

fn id(number: u8) -> String {
    format!("j{number}")
}

impl Model {
    fn new() -> Self {
        Self {
            bench: Bench::new(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            credits: HashMap::new(),
            workers: Vec::new(),
            jobs: HashMap::new(),
            named: 0,
        }
    }

    fn worker(&self, place: usize) -> Option<WorkerKey> {
        self.workers.get(place % self.workers.len().max(1)).copied()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Submit(number, tasks) => self.submit(number, tasks),
            Step::Credit(place, credits) => {
                let Some(worker) = self.worker(place) else {
                    return;
                };
                self.bench.dispatcher.add_credits(worker, credits);
                *self.credits.entry(worker).or_default() += credits;
            }
            Step::Recall(place, asked) => {
                let Some(worker) = self.worker(place) else {
                    return;
                };
                let held = self.credits.entry(worker).or_default();
                assert_eq!(
                    self.bench.dispatcher.recall_credits(worker, asked),
                    asked.min(*held)
                );
                *held -= asked.min(*held);
            }
            Step::Start(most) => self.start(most),
            Step::End(place, how) => self.end(place, how),
            Step::Cancel(number) => self.cancel(number),
            Step::Remove(number) => {
                self.bench.dispatcher.remove_job(job(&id(number)));
                self.waiting.retain(|t| t.job != job(&id(number)));
                self.running.retain(|a| a.task.job != job(&id(number)));
                self.jobs.remove(&number);
            }
            Step::Down(place) => {
                let Some(worker) = self.worker(place) else {
                    return;
                };
                self.bench.dispatcher.remove_worker(worker);
                self.workers.retain(|w| *w != worker);
                self.credits.remove(&worker);
            }
            Step::Up => {
                self.named += 1;
                let worker = self.bench.worker(&format!("w{}", self.named % 5), 0);
                self.workers.push(worker);
            }
            Step::Configure(kind) => self.bench.configure(&["small", "t", "none"][..kind.into()]),
            Step::Pass(ms) => self.bench.pass(ms),
        }
    }

    fn submit(&mut self, number: u8, tasks: u32) {
        let team = ["small", "t", "u"][usize::from(number % 3)];
        let class = ["short", "plain", "bulk"][usize::from(number / 3 % 3)];
        let key = self.bench.submit(&id(number), class, team, tasks);
        if *self.jobs.entry(number).or_default() {
            return;
        }
        for index in 0..tasks {
            let task = TaskRef { job: key, index };
            if !self.running.iter().any(|a| a.task == task) {
                self.waiting.insert(task);
            }
        }
    }

    fn start(&mut self, most: usize) {
        for _ in 0..most {
            let Some(start) = self.bench.dispatcher.next_assignment(self.bench.now) else {
                return;
            };
            assert!(self.waiting.remove(&start.task), "{start:?} does not wait");
            let credits = self
                .credits
                .get_mut(&start.worker)
                .expect("a connected worker");
            *credits = credits.checked_sub(1).expect("a credit");
            self.running.push(start);
        }
    }

    fn end(&mut self, place: usize, how: u8) {
        if self.running.is_empty() {
            return;
        }
        let Assignment { task, worker } = self.running.swap_remove(place % self.running.len());
        let run = Duration::from_millis(50);
        let ended = match how {
            0 => TaskEnd::Done { run },
            1 => TaskEnd::Failed { run },
            2 => TaskEnd::NotStarted,
            _ => TaskEnd::Lost,
        };
        self.bench
            .dispatcher
            .task_ended(self.bench.now, task, worker, ended);
        if ended != TaskEnd::NotStarted {
            return;
        }
        self.bench.dispatcher.requeue(self.bench.now, task);
        let open = self.jobs.iter().find(|(n, _)| job(&id(**n)) == task.job);
        if open.is_some_and(|(_, cancelled)| !cancelled) {
            self.waiting.insert(task);
        }
    }

    fn cancel(&mut self, number: u8) {
        let key = job(&id(number));
        let dropped = self.bench.dispatcher.cancel_job(key);
        let expected: Vec<u32> = self
            .waiting
            .iter()
            .filter(|t| t.job == key)
            .map(|t| t.index)
            .collect();
        assert_eq!(dropped.as_slice(), expected);
        self.waiting.retain(|t| t.job != key);
        if let Some(cancelled) = self.jobs.get_mut(&number) {
            *cancelled = true;
        }
    }

    fn check(&self) {
        let dispatcher = &self.bench.dispatcher;
        assert_eq!(dispatcher.waiting() as usize, self.waiting.len());
        assert_eq!(dispatcher.running() as usize, self.running.len());
        let status = dispatcher.status(self.bench.now);
        assert_eq!(
            status.classes.iter().map(|c| c.waiting).sum::<u32>(),
            status.waiting
        );
        assert_eq!(
            status.classes.iter().map(|c| c.running).sum::<u32>(),
            status.running
        );
        let held: u32 = status.workers.iter().map(|w| w.credits).sum();
        assert_eq!(held, self.credits.values().sum::<u32>());
        let back = status.workers.iter().filter(|w| w.held_back).count();
        assert!(back * 2 <= status.workers.len());
    }

    /// Starts and ends everything that is left.
    fn drain(&mut self) {
        let worker = self.bench.worker("drain", 0);
        while !self.waiting.is_empty() {
            let before = self.waiting.len();
            // Long enough for a trial, should the worker be held back.
            self.bench.pass(20_000);
            self.bench.dispatcher.add_credits(worker, 100);
            *self.credits.entry(worker).or_default() += 100;
            self.start(100);
            assert!(
                self.waiting.len() < before,
                "no task starts although credits are held"
            );
            while !self.running.is_empty() {
                self.end(0, 0);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against tasks that start twice or are lost, credits that are used twice, cancels
    /// that drop anything but the waiting tasks, and counts that drift.
    #[test]
    fn nothing_is_lost_or_started_twice(steps in prop::collection::vec(step(), 1..250)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
            model.check();
        }
        model.drain();
        prop_assert_eq!(model.bench.dispatcher.waiting(), 0);
    }
}
