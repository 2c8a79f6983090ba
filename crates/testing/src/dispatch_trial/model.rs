//! The queueing model: workers with slots, fixed message delay, the real dispatcher.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use knapweedwall_core::dispatch::{Dispatcher, Ended, Limits, Placement, WorkerKey};
use knapweedwall_core::{JobKey, LinkKey, Now, TaskRef};

use super::scenario::{SLOTS, Workload, class_names, document};

/// One-way time of a message, in microseconds.
const MESSAGE_US: u64 = 500;

/// Time after which a failing worker reports the failure, in seconds.
const FAILURE_S: f64 = 0.005;

/// Credits of a worker to which tasks are pushed without a free slot.
const PUSH_CREDITS: u32 = 1_000_000;

/// A policy under trial.
#[derive(Debug)]
pub struct Policy {
    /// Placement policy.
    pub placement: Box<dyn Placement>,
    /// Limits of the dispatcher.
    pub limits: Limits,
    /// Whether tasks are pushed to workers' queues instead of waiting for a slot credit.
    pub push: bool,
}

/// What became of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Answered after this many seconds.
    Complete(f64),
    /// A task failed.
    Failed,
    /// Refused at the door.
    Refused,
    /// Not ended when the model had nothing left to do.
    Open,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize, TaskRef),
    Finish(usize, TaskRef, bool, u64),
    Report(usize, TaskRef, bool, u64),
}

#[derive(Debug)]
struct WorkerState {
    key: WorkerKey,
    free: u32,
    queue: VecDeque<TaskRef>,
}

struct Model<'a> {
    workload: &'a Workload,
    dispatcher: Dispatcher,
    push: bool,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_seq: u64,
    now_us: u64,
    workers: Vec<WorkerState>,
    places: HashMap<WorkerKey, usize>,
    open: Vec<usize>,
    outcomes: Vec<Outcome>,
}

/// Runs a policy on a workload; returns the outcome of each job.
#[must_use]
pub fn run(workload: &Workload, policy: Policy, seed: u64) -> Vec<Outcome> {
    let mut dispatcher = Dispatcher::new(seed, policy.placement, policy.limits);
    dispatcher.configure(&document());
    let mut model = Model {
        workload,
        dispatcher,
        push: policy.push,
        events: BinaryHeap::new(),
        next_seq: 0,
        now_us: 0,
        workers: Vec::new(),
        places: HashMap::new(),
        open: workload.jobs.iter().map(|j| j.tasks.len()).collect(),
        outcomes: vec![Outcome::Open; workload.jobs.len()],
    };
    model.connect();
    for (index, job) in workload.jobs.iter().enumerate() {
        model.at((job.arrival_s * 1e6) as u64, Event::Arrive(index));
    }
    while let Some(Reverse((time_us, _, event))) = model.events.pop() {
        model.now_us = time_us;
        model.handle(event);
        model.start_all();
    }
    model.outcomes
}

impl Model<'_> {
    fn connect(&mut self) {
        for place in 0..self.workload.workers.len() {
            let link = LinkKey(place as u64);
            let name = format!("w{place}").into();
            let key = self.dispatcher.worker_up(link, name, "z".into(), SLOTS);
            self.dispatcher
                .credit(key, if self.push { PUSH_CREDITS } else { SLOTS });
            self.places.insert(key, place);
            self.workers.push(WorkerState {
                key,
                free: SLOTS,
                queue: VecDeque::new(),
            });
        }
    }

    fn at(&mut self, time_us: u64, event: Event) {
        self.next_seq += 1;
        self.events.push(Reverse((time_us, self.next_seq, event)));
    }

    fn now(&self) -> Now {
        Now {
            mono: Duration::from_micros(self.now_us),
            wall_ms: self.now_us / 1_000,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Reach(place, task) => {
                self.workers[place].queue.push_back(task);
                self.run_queued(place);
            }
            Event::Finish(place, task, failed, run_us) => {
                self.workers[place].free += 1;
                let report = Event::Report(place, task, failed, run_us);
                self.at(self.now_us + MESSAGE_US, report);
                self.run_queued(place);
            }
            Event::Report(place, task, failed, run_us) => self.report(place, task, failed, run_us),
        }
    }

    fn arrive(&mut self, index: usize) {
        let job = &self.workload.jobs[index];
        let class = class_names().nth(job.class).unwrap_or_default();
        let now = self.now();
        let count = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        if self.dispatcher.admit(now, class, "t", count).is_err() {
            self.outcomes[index] = Outcome::Refused;
            return;
        }
        let indices: Vec<u32> = (0..count).collect();
        let key = JobKey::from(index as u128);
        self.dispatcher
            .push(now, key, class, "t", now.mono, &indices);
    }

    fn start_all(&mut self) {
        while let Some(start) = self.dispatcher.next(self.now()) {
            let place = self.places[&start.worker];
            self.at(self.now_us + MESSAGE_US, Event::Reach(place, start.task));
        }
    }

    fn run_queued(&mut self, place: usize) {
        while self.workers[place].free > 0
            && let Some(task) = self.workers[place].queue.pop_front()
        {
            self.workers[place].free -= 1;
            let worker = self.workload.workers[place];
            let failed = worker
                .fails_from
                .is_some_and(|from| self.now_us as f64 >= from * 1e6);
            let work_s = self.workload.jobs[job_index(task)].tasks[task.index as usize];
            let run_s = if failed {
                FAILURE_S
            } else {
                work_s / worker.speed
            };
            let run_us = (run_s * 1e6) as u64;
            self.at(
                self.now_us + run_us,
                Event::Finish(place, task, failed, run_us),
            );
        }
    }

    fn report(&mut self, place: usize, task: TaskRef, failed: bool, run_us: u64) {
        let now = self.now();
        let run = Duration::from_micros(run_us);
        let ended = if failed {
            Ended::Failed { run }
        } else {
            Ended::Done { run }
        };
        let key = self.workers[place].key;
        self.dispatcher.ended(now, task, key, ended);
        self.dispatcher.credit(key, 1);
        let job = job_index(task);
        self.open[job] -= 1;
        if failed {
            self.outcomes[job] = Outcome::Failed;
            self.open[job] -= self.dispatcher.cancel(task.job).len();
        }
        if self.open[job] > 0 {
            return;
        }
        self.dispatcher.remove(task.job);
        if self.outcomes[job] == Outcome::Open {
            let response_s = self.now_us as f64 / 1e6 - self.workload.jobs[job].arrival_s;
            self.outcomes[job] = Outcome::Complete(response_s);
        }
    }
}

fn job_index(task: TaskRef) -> usize {
    usize::try_from(u128::from(task.job)).unwrap_or(usize::MAX)
}
