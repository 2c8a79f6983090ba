//! A dispatcher with a clock that only the test moves.

use std::time::Duration;

use knapweedwall_core::config::{Class, Document, Team};
use knapweedwall_core::dispatch::{
    Assignment, Dispatcher, FastestFirst, Limits, TaskEnd, WorkerKey,
};
use knapweedwall_core::{JobId, JobKey, LinkKey, Now, TaskRef};

/// Dispatcher under test and its time.
pub struct Bench {
    pub dispatcher: Dispatcher,
    pub now: Now,
    links: u64,
}

impl Bench {
    /// Classes `short` (200 ms), `plain` (1 s) and `bulk` (60 s); team `small` with 4 slots.
    pub fn new() -> Self {
        let dispatcher = Dispatcher::new(7, Box::new(FastestFirst), Limits::default());
        let now = Now {
            mono: Duration::from_secs(100),
            wall_ms: 0,
        };
        let mut bench = Self {
            dispatcher,
            now,
            links: 0,
        };
        bench.configure(&["small"]);
        bench
    }

    /// Configures the classes, and 4 slots for each of these teams.
    pub fn configure(&mut self, teams: &[&str]) {
        let mut document = Document::default();
        for (name, ms) in [("short", 200), ("plain", 1_000), ("bulk", 60_000)] {
            let target = Duration::from_millis(ms);
            document.classes.insert(name.into(), Class { target });
        }
        for team in teams {
            document.teams.insert((*team).into(), Team { slots: 4 });
        }
        self.dispatcher.configure(&document);
    }

    /// Connects a worker of at least 8 slots that has granted `credits`.
    pub fn worker(&mut self, name: &str, credits: u32) -> WorkerKey {
        self.links += 1;
        let link = LinkKey(self.links);
        let worker = self
            .dispatcher
            .add_worker(link, name.into(), "z1".into(), credits.max(8));
        self.dispatcher.add_credits(worker, credits);
        worker
    }

    /// Submits a job of `tasks` tasks that arrives now.
    pub fn submit(&mut self, id: &str, class: &str, team: &str, tasks: u32) -> JobKey {
        let indices: Vec<u32> = (0..tasks).collect();
        let key = job(id);
        let arrived = self.now.mono;
        self.dispatcher
            .enqueue(self.now, key, class, team, arrived, &indices);
        key
    }

    /// Starts all tasks that may start now.
    pub fn start_all(&mut self) -> Vec<Assignment> {
        std::iter::from_fn(|| self.dispatcher.next_assignment(self.now)).collect()
    }

    /// Ends a started task after `ms` and grants its slot again.
    pub fn done(&mut self, assignment: Assignment, ms: u64) {
        let run = Duration::from_millis(ms);
        self.end(assignment, TaskEnd::Done { run });
    }

    /// Ends a started task and grants its slot again.
    pub fn end(&mut self, assignment: Assignment, ended: TaskEnd) {
        let Assignment { task, worker } = assignment;
        self.dispatcher.task_ended(self.now, task, worker, ended);
        self.dispatcher.add_credits(worker, 1);
    }

    /// Lets time pass.
    pub fn pass(&mut self, ms: u64) {
        self.now.mono += Duration::from_millis(ms);
    }
}

/// Key of the job with this id.
pub fn job(id: &str) -> JobKey {
    JobId::parse(id).expect("test ids are valid").key()
}

/// One task of a job.
pub fn task(id: &str, index: u32) -> TaskRef {
    TaskRef {
        job: job(id),
        index,
    }
}
