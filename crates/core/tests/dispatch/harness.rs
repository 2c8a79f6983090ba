//! Test harness: a dispatcher with a manual clock.

use std::time::Duration;

use knapweedwall_core::config::{Class, Document, Team};
use knapweedwall_core::dispatch::{
    Assignment, Dispatcher, FastestFirst, Limits, TaskEnd, WorkerKey,
};
use knapweedwall_core::{JobId, JobKey, LinkKey, Now, TaskRef};

/// Dispatcher under test and its clock.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Now,
    link_count: u64,
}

impl Harness {
    /// Creates a dispatcher with the classes `short`, `plain` and `bulk`, whose targets are 200 ms,
    /// 1 s and 60 s, and the team `small` with a quota of 4 slots.
    pub fn new() -> Self {
        let dispatcher = Dispatcher::new(7, Box::new(FastestFirst), Limits::default());
        let now = Now {
            mono: Duration::from_secs(100),
            wall_ms: 0,
        };
        let mut harness = Self {
            dispatcher,
            now,
            link_count: 0,
        };
        harness.configure(&["small"]);
        harness
    }

    /// Configures the classes, and a quota of 4 slots for each of `teams`.
    pub fn configure(&mut self, teams: &[&str]) {
        let mut document = Document::default();
        for (name, target_ms) in [("short", 200), ("plain", 1_000), ("bulk", 60_000)] {
            let target = Duration::from_millis(target_ms);
            document.classes.insert(name.into(), Class { target });
        }
        for team in teams {
            document.teams.insert((*team).into(), Team { slots: 4 });
        }
        self.dispatcher.configure(&document);
    }

    /// Connects a worker with `credits` credits and as many slots, but at least 8.
    pub fn connect_worker(&mut self, name: &str, credits: u32) -> WorkerKey {
        self.link_count += 1;
        let link = LinkKey(self.link_count);
        let worker = self
            .dispatcher
            .add_worker(link, name.into(), "z1".into(), credits.max(8));
        self.dispatcher.add_credits(worker, credits);
        worker
    }

    /// Submits a job with `tasks` tasks, which arrives at the current time.
    pub fn submit(&mut self, id: &str, class: &str, team: &str, tasks: u32) -> JobKey {
        let indices: Vec<u32> = (0..tasks).collect();
        let key = job_key(id);
        let arrived = self.now.mono;
        self.dispatcher
            .enqueue(self.now, key, class, team, arrived, &indices);
        key
    }

    /// Starts tasks until the dispatcher assigns no more.
    pub fn start_all(&mut self) -> Vec<Assignment> {
        std::iter::from_fn(|| self.dispatcher.next_assignment(self.now)).collect()
    }

    /// Completes a started task with the run time `run_ms`, and grants a credit for its slot.
    pub fn complete_task(&mut self, assignment: Assignment, run_ms: u64) {
        let run = Duration::from_millis(run_ms);
        self.end_task(assignment, TaskEnd::Done { run });
    }

    /// Ends a started task and grants a credit for its slot.
    pub fn end_task(&mut self, assignment: Assignment, end: TaskEnd) {
        let Assignment { task, worker } = assignment;
        self.dispatcher.task_ended(self.now, task, worker, end);
        self.dispatcher.add_credits(worker, 1);
    }

    /// Advances the clock.
    pub fn advance(&mut self, ms: u64) {
        self.now.mono += Duration::from_millis(ms);
    }
}

/// Key of the job with the given id.
pub fn job_key(id: &str) -> JobKey {
    JobId::parse(id).expect("job id is valid").key()
}

/// Task `index` of the job with the given id.
pub fn task_ref(id: &str, index: u32) -> TaskRef {
    TaskRef {
        job: job_key(id),
        index,
    }
}
