//! The reference: one queue without delay that knows true run times and speeds.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use super::model::Outcome;
use super::scenario::{SLOTS, Workload};

struct Reference<'a> {
    workload: &'a Workload,
    /// Jobs with waiting tasks: remaining work in microseconds, job.
    waiting: BTreeSet<(u64, usize)>,
    /// Waiting tasks of each job, shortest first.
    tasks: Vec<Vec<f64>>,
    free: Vec<u32>,
    /// Running tasks by end: time in microseconds, worker, job.
    running: BinaryHeap<Reverse<(u64, usize, usize)>>,
    open: Vec<usize>,
    outcomes: Vec<Outcome>,
}

/// Runs the workload through the reference: the job with the least remaining work goes first,
/// its longest task first, on the fastest free slot. Workers that fail everything are not used
/// from the moment at which they begin to fail.
#[must_use]
pub fn run_reference(workload: &Workload) -> Vec<Outcome> {
    let mut reference = Reference {
        workload,
        waiting: BTreeSet::new(),
        tasks: Vec::new(),
        free: vec![SLOTS; workload.workers.len()],
        running: BinaryHeap::new(),
        open: workload.jobs.iter().map(|j| j.tasks.len()).collect(),
        outcomes: vec![Outcome::Open; workload.jobs.len()],
    };
    for job in &workload.jobs {
        let mut tasks = job.tasks.clone();
        tasks.sort_by(f64::total_cmp);
        reference.tasks.push(tasks);
    }
    for (index, job) in workload.jobs.iter().enumerate() {
        let arrival_us = (job.arrival_s * 1e6) as u64;
        reference.end_until(arrival_us);
        reference
            .waiting
            .insert((reference.remaining_us(index), index));
        reference.start_all(arrival_us);
    }
    reference.end_until(u64::MAX);
    reference.outcomes
}

impl Reference<'_> {
    fn remaining_us(&self, job: usize) -> u64 {
        (self.tasks[job].iter().sum::<f64>() * 1e6) as u64
    }

    fn end_until(&mut self, until_us: u64) {
        while let Some(Reverse((end_us, worker, job))) = self.running.peek().copied() {
            if end_us > until_us {
                return;
            }
            self.running.pop();
            self.free[worker] += 1;
            self.open[job] -= 1;
            if self.open[job] == 0 {
                let response_s = end_us as f64 / 1e6 - self.workload.jobs[job].arrival_s;
                self.outcomes[job] = Outcome::Complete(response_s);
            }
            self.start_all(end_us);
        }
    }

    fn start_all(&mut self, now_us: u64) {
        while let Some((remaining_us, job)) = self.waiting.first().copied() {
            let Some(worker) = self.fastest_free(now_us) else {
                return;
            };
            self.waiting.remove(&(remaining_us, job));
            let Some(work_s) = self.tasks[job].pop() else {
                continue;
            };
            self.free[worker] -= 1;
            let run_us = (work_s / self.workload.workers[worker].speed * 1e6) as u64;
            self.running.push(Reverse((now_us + run_us, worker, job)));
            if !self.tasks[job].is_empty() {
                self.waiting.insert((self.remaining_us(job), job));
            }
        }
    }

    fn fastest_free(&self, now_us: u64) -> Option<usize> {
        let works = |place: &usize| {
            let fails_from = self.workload.workers[*place].fails_from;
            self.free[*place] > 0 && fails_from.is_none_or(|from| (now_us as f64) < from * 1e6)
        };
        let speed = |place: &usize| self.workload.workers[*place].speed;
        let free = (0..self.free.len()).filter(works);
        free.max_by(|a, b| speed(a).total_cmp(&speed(b)))
    }
}
