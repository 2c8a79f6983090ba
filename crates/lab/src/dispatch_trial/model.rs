//! The queueing model: real dispatchers and agents' credits, fixed message time, virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use knapweedwall_core::agent::{CreditAction, CreditAllocator};
use knapweedwall_core::dispatch::{Dispatcher, Limits, Placement, TaskEnd, WorkerKey};
use knapweedwall_core::{JobKey, LinkKey, Now, TaskRef};

use super::scenario::{SLOTS, Workload, class_names, document};

/// One-way time of a message, in microseconds.
const MESSAGE_US: u64 = 500;

/// Time after which a failing worker reports the failure, in seconds.
const FAILURE_S: f64 = 0.005;

/// Credits of a worker to which tasks are pushed without a free slot.
const PUSH_CREDITS: u32 = 1_000_000;

/// Time between two ticks of an entry process, in microseconds.
const TICK_US: u64 = 10_000;

/// Time between two calls of `Credits::rebalance`, in microseconds.
const REBALANCE_US: u64 = 1_000_000;

/// A policy under trial.
#[derive(Debug)]
pub struct Policy {
    /// Placement policy of each entry process; jobs are spread over them.
    pub placements: Vec<Box<dyn Placement>>,
    /// Limits of the dispatchers.
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

/// Outcomes and the frames that moved credits.
#[derive(Debug, Clone, Default)]
pub struct RunResult {
    /// Outcome of each job.
    pub outcomes: Vec<Outcome>,
    /// Tasks started.
    pub starts: u64,
    /// `Demand` frames.
    pub demands: u64,
    /// `Start` frames; one carries all starts of a turn for a worker.
    pub start_frames: u64,
    /// `Grant` (other than in a report), `Recall` and `Return` frames.
    pub moves: u64,
}

/// Something that happens; the numbers are the entry process and the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Tick,
    Rebalance,
    Start(usize, usize, TaskRef),
    Finish(usize, usize, TaskRef, bool, u64),
    Report(usize, usize, TaskRef, bool, u64),
    Demand(usize, usize, u32, i32),
    Grant(usize, usize, u32),
    Recall(usize, usize, u32),
    Return(usize, usize, u32),
}

struct Agent {
    credits: CreditAllocator,
    free: u32,
    queue: VecDeque<(usize, TaskRef)>,
}

struct Entry {
    dispatcher: Dispatcher,
    /// Keys of the workers by place, and the reverse.
    keys: Vec<WorkerKey>,
    places: HashMap<WorkerKey, usize>,
}

struct Model<'a> {
    workload: &'a Workload,
    push: bool,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_seq: u64,
    now_us: u64,
    open: Vec<usize>,
    open_jobs: usize,
    result: RunResult,
}

/// Runs a policy on a workload.
#[must_use]
pub fn run(workload: &Workload, policy: Policy, seed: u64) -> RunResult {
    let outcomes = vec![Outcome::Open; workload.jobs.len()];
    let mut model = Model {
        workload,
        push: policy.push,
        entries: Vec::new(),
        agents: Vec::new(),
        events: BinaryHeap::new(),
        next_seq: 0,
        now_us: 0,
        open: workload.jobs.iter().map(|j| j.tasks.len()).collect(),
        open_jobs: workload.jobs.len(),
        result: RunResult {
            outcomes,
            ..RunResult::default()
        },
    };
    model.connect(policy, seed);
    for (index, job) in workload.jobs.iter().enumerate() {
        model.at((job.arrival_s * 1e6) as u64, Event::Arrive(index));
    }
    model.at(0, Event::Tick);
    model.at(REBALANCE_US, Event::Rebalance);
    while model.open_jobs > 0
        && let Some(Reverse((time_us, _, event))) = model.events.pop()
    {
        model.now_us = time_us;
        model.handle(event);
    }
    model.result
}

impl Model<'_> {
    fn connect(&mut self, policy: Policy, seed: u64) {
        let workers = self.workload.workers.len();
        for (number, placement) in policy.placements.into_iter().enumerate() {
            let limits = policy.limits.clone();
            let mut dispatcher = Dispatcher::new(seed + number as u64, placement, limits);
            dispatcher.configure(&document());
            let mut entry = Entry {
                dispatcher,
                keys: Vec::new(),
                places: HashMap::new(),
            };
            for place in 0..workers {
                let link = LinkKey(place as u64);
                let name = format!("w{place}").into();
                let key = entry.dispatcher.add_worker(link, name, "z".into(), SLOTS);
                entry.keys.push(key);
                entry.places.insert(key, place);
                if self.push {
                    entry.dispatcher.add_credits(key, PUSH_CREDITS);
                }
            }
            self.entries.push(entry);
        }
        for place in 0..workers {
            let mut credits = CreditAllocator::new(SLOTS);
            for entry in 0..self.entries.len() {
                credits.add_link(LinkKey(entry as u64));
            }
            self.agents.push(Agent {
                credits,
                free: SLOTS,
                queue: VecDeque::new(),
            });
            self.assign(place, None);
        }
    }

    fn at(&mut self, time_us: u64, event: Event) {
        self.next_seq += 1;
        self.events.push(Reverse((time_us, self.next_seq, event)));
    }

    /// Sends a message that arrives as `event`.
    fn send(&mut self, event: Event) {
        self.at(self.now_us + MESSAGE_US, event);
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
            Event::Tick => {
                for entry in 0..self.entries.len() {
                    self.dispatch(entry);
                }
                self.at(self.now_us + TICK_US, Event::Tick);
            }
            Event::Rebalance => self.rebalance(),
            Event::Start(entry, place, task) => self.reach(entry, place, task),
            Event::Finish(entry, place, task, failed, run_us) => {
                self.agents[place].free += 1;
                self.agents[place]
                    .credits
                    .release_slot(LinkKey(entry as u64));
                self.send(Event::Report(entry, place, task, failed, run_us));
                self.assign(place, Some(entry));
                self.run_queued(place);
            }
            Event::Report(entry, place, task, failed, run_us) => {
                self.report(entry, place, task, failed, run_us);
                self.dispatch(entry);
            }
            Event::Demand(entry, place, waiting, slack_ms) => {
                let now = self.now().mono;
                let link = LinkKey(entry as u64);
                self.agents[place]
                    .credits
                    .set_demand(now, link, waiting, slack_ms);
                self.assign(place, None);
            }
            Event::Grant(entry, place, credits) => {
                let key = self.entries[entry].keys[place];
                self.entries[entry].dispatcher.add_credits(key, credits);
                self.dispatch(entry);
            }
            Event::Recall(entry, place, credits) => {
                let key = self.entries[entry].keys[place];
                let back = self.entries[entry]
                    .dispatcher
                    .return_unused_credits(key, credits);
                self.result.moves += 1;
                self.send(Event::Return(entry, place, back));
            }
            Event::Return(entry, place, credits) => {
                let link = LinkKey(entry as u64);
                self.agents[place].credits.return_credits(link, credits);
                self.assign(place, None);
            }
        }
    }

    fn rebalance(&mut self) {
        for place in 0..self.agents.len() {
            let mut moves = Vec::new();
            self.agents[place].credits.rebalance(&mut moves);
            self.carry_out(place, moves);
        }
        self.at(self.now_us + REBALANCE_US, Event::Rebalance);
    }

    /// Moves credits of a worker; a grant to the entry process that gets a report goes with it.
    fn assign(&mut self, place: usize, reported: Option<usize>) {
        if self.push {
            return;
        }
        let mut moves = Vec::new();
        self.agents[place].credits.assign(&mut moves);
        let with_report = |m: &&CreditAction| matches!(m, CreditAction::Grant(to, _) if Some(to.0 as usize) == reported);
        let carried = moves.iter().filter(with_report).count() as u64;
        self.carry_out(place, moves);
        self.result.moves -= carried;
    }

    fn carry_out(&mut self, place: usize, moves: Vec<CreditAction>) {
        for step in moves {
            self.result.moves += 1;
            match step {
                CreditAction::Grant(link, credits) => {
                    self.send(Event::Grant(link.0 as usize, place, credits))
                }
                CreditAction::Recall(link, credits) => {
                    self.send(Event::Recall(link.0 as usize, place, credits))
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let job = &self.workload.jobs[index];
        let class = class_names().nth(job.class).unwrap_or_default();
        let now = self.now();
        let count = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let entry = index % self.entries.len();
        let dispatcher = &mut self.entries[entry].dispatcher;
        if dispatcher.admit(now, class, "t", count).is_err() {
            self.result.outcomes[index] = Outcome::Refused;
            self.open_jobs -= 1;
            return;
        }
        let indices: Vec<u32> = (0..count).collect();
        let key = JobKey::from(index as u128);
        dispatcher.enqueue(now, key, class, "t", now.mono, &indices);
        self.dispatch(entry);
    }

    /// Starts what may start at an entry process and sends its demand.
    fn dispatch(&mut self, entry: usize) {
        let now = self.now();
        let mut places = BTreeSet::new();
        while let Some(start) = self.entries[entry].dispatcher.next_assignment(now) {
            let place = self.entries[entry].places[&start.worker];
            self.result.starts += 1;
            places.insert(place);
            self.send(Event::Start(entry, place, start.task));
        }
        self.result.start_frames += places.len() as u64;
        let mut demands = Vec::new();
        self.entries[entry]
            .dispatcher
            .pending_demands(now, &mut demands);
        for (link, waiting, slack_ms) in demands {
            self.result.demands += 1;
            self.send(Event::Demand(entry, link.0 as usize, waiting, slack_ms));
        }
    }

    /// A start reaches a worker.
    fn reach(&mut self, entry: usize, place: usize, task: TaskRef) {
        let agent = &mut self.agents[place];
        if !self.push {
            agent.credits.use_credit(LinkKey(entry as u64));
        }
        agent.queue.push_back((entry, task));
        self.run_queued(place);
    }

    fn run_queued(&mut self, place: usize) {
        while self.agents[place].free > 0
            && let Some((entry, task)) = self.agents[place].queue.pop_front()
        {
            self.agents[place].free -= 1;
            self.agents[place].credits.occupy_slot();
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
            let finish = Event::Finish(entry, place, task, failed, run_us);
            self.at(self.now_us + run_us, finish);
        }
    }

    fn report(&mut self, entry: usize, place: usize, task: TaskRef, failed: bool, run_us: u64) {
        let now = self.now();
        let run = Duration::from_micros(run_us);
        let ended = if failed {
            TaskEnd::Failed { run }
        } else {
            TaskEnd::Done { run }
        };
        let Entry {
            dispatcher, keys, ..
        } = &mut self.entries[entry];
        dispatcher.task_ended(now, task, keys[place], ended);
        if self.push {
            dispatcher.add_credits(keys[place], 1);
        }
        let job = job_index(task);
        self.open[job] -= 1;
        if failed {
            self.result.outcomes[job] = Outcome::Failed;
            self.open[job] -= dispatcher.cancel_job(task.job).len();
        }
        if self.open[job] > 0 {
            return;
        }
        dispatcher.remove_job(task.job);
        self.open_jobs -= 1;
        if self.result.outcomes[job] == Outcome::Open {
            let response_s = self.now_us as f64 / 1e6 - self.workload.jobs[job].arrival_s;
            self.result.outcomes[job] = Outcome::Complete(response_s);
        }
    }
}

fn job_index(task: TaskRef) -> usize {
    usize::try_from(u128::from(task.job)).unwrap_or(usize::MAX)
}
