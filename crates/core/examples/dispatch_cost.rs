//! Measures the processor time of one task in the dispatch decisions (push, next, ended, credit)
//! with 1,500 workers: `cargo run --release --example dispatch_cost`.

use std::collections::{HashMap, VecDeque};
use std::io::{self, Write};
use std::time::{Duration, Instant};

use knapweedwall_core::config::{Class, Document, Team};
use knapweedwall_core::dispatch::{Assignment, Dispatcher, FastestFirst, Limits, TaskEnd};
use knapweedwall_core::{JobKey, LinkKey, Now};

const WORKERS: u64 = 1_500;
const CREDITS: u32 = 2;
const TEAMS: u32 = 33;
const TASKS: u64 = 1_000_000;

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    for (tasks, backlog) in [
        (1, 0),
        (10, 0),
        (500, 0),
        (10, 1_000),
        (10, 20_000),
        (500, 100_000),
    ] {
        let cost = cost_ns(tasks, backlog);
        writeln!(
            out,
            "jobs of {tasks:3} tasks, {backlog:6} waiting: {cost:5.0} ns a task"
        )?;
    }
    Ok(())
}

/// Dispatcher with workers of four speeds, three classes and 33 teams with quotas.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(1, Box::new(FastestFirst), Limits::default());
    let mut document = Document::default();
    for (name, target) in [("c0", 1), ("c1", 5), ("c2", 60)] {
        let target = Duration::from_secs(target);
        document.classes.insert(name.into(), Class { target });
    }
    for team in 0..TEAMS {
        document
            .teams
            .insert(format!("t{team}").into(), Team { slots: 1_000 });
    }
    dispatcher.configure(&document);
    for worker in 0..WORKERS {
        let name = format!("w{worker}").into();
        let key = dispatcher.add_worker(LinkKey(worker), name, "z".into(), 8);
        dispatcher.add_credits(key, CREDITS);
    }
    dispatcher
}

/// Nanoseconds for one task when jobs of `tasks` tasks arrive and `backlog` tasks stay waiting.
fn cost_ns(tasks: u32, backlog: u32) -> f64 {
    let mut dispatcher = dispatcher();
    let classes = ["c0", "c1", "c2"];
    let teams: Vec<String> = (0..TEAMS).map(|t| format!("t{t}")).collect();
    let indices: Vec<u32> = (0..tasks).collect();
    let mut running: VecDeque<Assignment> = VecDeque::new();
    let mut open: HashMap<JobKey, u32> = HashMap::new();
    let mut demand = Vec::new();
    let mut ended = 0;
    let mut jobs = 0_u64;
    let start = Instant::now();
    while ended < TASKS {
        let now = Now {
            mono: Duration::from_micros(ended * 20),
            wall_ms: 0,
        };
        while dispatcher.waiting() <= backlog {
            let key = JobKey::from(u128::from(jobs).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c));
            let class = classes[(jobs % 3) as usize];
            let team = &teams[(jobs % u64::from(TEAMS)) as usize];
            let _ = dispatcher.admit(now, class, team, tasks);
            dispatcher.enqueue(now, key, class, team, now.mono, &indices);
            open.insert(key, tasks);
            jobs += 1;
        }
        while let Some(assignment) = dispatcher.next_assignment(now) {
            running.push_back(assignment);
        }
        demand.clear();
        dispatcher.pending_demands(now, &mut demand);
        // Half of the running tasks end, so that credits are of mixed speed.
        for _ in 0..running.len().div_ceil(2) {
            let Some(Assignment { task, worker }) = running.pop_front() else {
                break;
            };
            let run = Duration::from_millis(100 + u64::from(task.index % 7) * 20);
            dispatcher.task_ended(now, task, worker, TaskEnd::Done { run });
            dispatcher.add_credits(worker, 1);
            ended += 1;
            let Some(left) = open.get_mut(&task.job) else {
                continue;
            };
            *left -= 1;
            if *left == 0 {
                open.remove(&task.job);
                dispatcher.remove_job(task.job);
            }
        }
    }
    start.elapsed().as_nanos() as f64 / ended as f64
}
