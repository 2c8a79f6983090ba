//! Which task goes to which worker, and when.
//!
//! Jobs that can still meet their objective come first. Among them, those that have started go
//! before others, since what has run of them is lost otherwise, and then the shortest, since it
//! needs the least room for its answer. A job goes to workers on which it meets its objective:
//! while there is much room to the fastest, else to the slowest, which leaves the fast ones to jobs
//! that have waited. While room is scarce a job starts only when all its tasks fit, as it is as
//! late as its last task. Jobs that are late already get what is left.

use std::time::Duration;

use knapweedwall_wire as wire;
use smallvec::SmallVec;

use super::durable::next_attempt;
use super::intake::LATE_FACTOR;
use super::io::Action;
use super::jobs::{Job, JobKey, Place, Progress, to_u32};
use super::machine::Machine;
use super::workers::{Worker, WorkerKey};
use crate::clock::Now;
use crate::job::{PhaseSpec, RunId, TaskId};

/// Slow-down of a task whose data is on another rack.
const FAR_FACTOR: f64 = 1.5;

/// Cost of a worker in another zone, in milliseconds of expected run time: a way there and back.
const ZONE_COST_MS: f64 = 3.0;

/// Cost of a fully used worker against an empty one, in milliseconds: other entry processes may
/// take the last room at the same time.
const USE_COST_MS: f64 = 8.0;

/// Jobs without room that are looked at before placing ends for this turn.
const BLOCKED_JOBS: u32 = 2;

/// Margin on expected run times: estimates are off by 40% in the mean.
const RUN_MARGIN: f64 = 1.4;

/// Share of the fleet's processor below which room is scarce.
const SCARCE_SHARE: f64 = 0.35;

/// Share of a worker's processor that late jobs leave free for others.
const LATE_JOBS_LEAVE: f64 = 0.2;

/// Smallest part of a job's tasks that has to fit when it starts.
const SMALLEST_START: f64 = 0.5;

/// Whether a job can meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Tier {
    /// It can meet the objective on the fastest worker.
    InTime,
    /// It is late, and its answer is still of use.
    Late,
    /// Its answer is of no use any more.
    Useless,
}

/// Position of a job in the order of placement; lower goes first.
type Urgency = (Tier, bool, Duration);

/// The fleet as it is at one turn.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetView {
    /// Speed of the fastest usable worker.
    fastest: f64,
    /// Whether room is scarce.
    pub(super) scarce: bool,
}

impl Machine {
    /// Places as many waiting tasks as there is room for.
    pub(super) fn place(&mut self, now: Now) {
        let fleet = self.fleet_view(now);
        let mut ready: Vec<(Urgency, JobKey)> = Vec::new();
        for (key, job) in self.jobs.iter() {
            let waits = job.waiting > 0 && job.progress != Progress::Closing;
            if waits && self.may_place(now, job) {
                ready.push((self.urgency(now, job, fleet), key));
            }
        }
        ready.sort_unstable();
        let mut blocked = 0;
        for (urgency, key) in ready {
            if !self.place_job(now, key, urgency, fleet) {
                blocked += 1;
            }
            if blocked >= BLOCKED_JOBS {
                break;
            }
        }
    }

    pub(super) fn fleet_view(&self, now: Now) -> FleetView {
        let (mut fastest, mut free, mut all) = (0.0_f64, 0.0, 0.0);
        for (_, worker) in self.workers.iter() {
            if worker.is_usable(now.mono) {
                fastest = fastest.max(worker.speed.factor());
                free += f64::from(worker.free().cpu);
                all += f64::from(worker.capacity.cpu);
            }
        }
        FleetView {
            fastest: if fastest > 0.0 { fastest } else { 1.0 },
            scarce: free < all * SCARCE_SHARE,
        }
    }

    /// Expected run time of a job's longest chain, with a margin.
    fn cautious_run(&self, job: &Job) -> Duration {
        let run = self
            .learning
            .expected(&job.rules.name, job.request.critical_path());
        run.mul_f64(RUN_MARGIN)
    }

    pub(super) fn urgency(&self, now: Now, job: &Job, fleet: FleetView) -> Urgency {
        let run = self.cautious_run(job).div_f64(fleet.fastest);
        let unstarted = job.is_untouched();
        let due = job.arrived + job.objective;
        if now.mono + run <= due {
            return (Tier::InTime, unstarted, run);
        }
        let last = job.arrived + job.objective * LATE_FACTOR;
        let tier = if now.mono + run <= last {
            Tier::Late
        } else {
            Tier::Useless
        };
        (tier, unstarted, job.arrived + run)
    }

    /// Places the waiting tasks of a job; false when one found no room.
    fn place_job(&mut self, now: Now, key: JobKey, urgency: Urgency, fleet: FleetView) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return true;
        };
        let mut waiting: Vec<(u32, u32)> = Vec::new();
        for (phase, tasks) in job.phases.iter().enumerate() {
            for (index, task) in tasks.tasks.iter().enumerate() {
                if task.place == Place::Waiting {
                    waiting.push((to_u32(phase), to_u32(index)));
                }
            }
        }
        if urgency.1 && fleet.scarce && !self.has_room(now, key, &waiting, urgency) {
            return false;
        }
        for at in waiting {
            let Some((worker, waits)) = self.choose(now, key, at, urgency, fleet) else {
                return false;
            };
            self.order(now, key, at, worker, (urgency.2, waits));
        }
        true
    }

    /// Whether all waiting tasks of a job fit on workers that are fast enough.
    fn has_room(&self, now: Now, key: JobKey, waiting: &[(u32, u32)], urgency: Urgency) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let mut needed = wanted_room(now, job, waiting.len());
        let Some(&(phase, _)) = waiting.first() else {
            return true;
        };
        let spec = &job.request.phases[phase as usize];
        let expected = self.learning.expected(&job.rules.name, spec.estimate);
        let left = (job.arrived + job.objective).saturating_sub(now.mono);
        for (worker_key, worker) in self.workers.iter() {
            let usable = worker.is_usable(now.mono) && worker.service == job.rules.service;
            if !usable || !fits(job, spec, phase, worker_key, worker) {
                continue;
            }
            let run_ms = self.cost(spec, worker, expected) * RUN_MARGIN;
            if urgency.0 == Tier::InTime && run_ms > left.as_secs_f64() * 1_000.0 {
                continue;
            }
            let fit = worker.free().count_fitting(spec.resources) as usize;
            if fit >= needed {
                return true;
            }
            needed -= fit;
        }
        false
    }

    /// The worker for a task, and whether it has to wait there.
    fn choose(
        &self,
        now: Now,
        key: JobKey,
        (phase, index): (u32, u32),
        (tier, unstarted, _): Urgency,
        fleet: FleetView,
    ) -> Option<(WorkerKey, bool)> {
        let job = self.jobs.get(key)?;
        let spec = &job.request.phases[phase as usize];
        let task = job.task(phase, index)?;
        let expected = self.learning.expected(&job.rules.name, spec.estimate);
        let left = (job.arrived + job.objective).saturating_sub(now.mono);
        let left_ms = left.as_secs_f64() * 1_000.0;
        let mut best: Option<([bool; 3], f64, WorkerKey)> = None;
        for (worker_key, worker) in self.workers.iter() {
            if !worker.is_usable(now.mono) || worker.service != job.rules.service {
                continue;
            }
            if !fits(job, spec, phase, worker_key, worker) {
                continue;
            }
            let has_room = worker.free().can_fit(spec.resources);
            if !has_room && (tier != Tier::InTime || !worker.may_wait(spec.resources)) {
                continue;
            }
            if tier != Tier::InTime && unstarted && worker.free_share() < LATE_JOBS_LEAVE {
                continue;
            }
            let cost = self.cost(spec, worker, expected);
            let too_slow = tier == Tier::InTime && cost * RUN_MARGIN > left_ms;
            if too_slow && unstarted && fleet.scarce {
                continue;
            }
            let avoided = task.avoid.contains(&worker_key);
            let rank = [avoided, !has_room, too_slow];
            let cost = if fleet.scarce && !too_slow {
                -cost
            } else {
                cost
            };
            if best.is_none_or(|best| (rank, cost) < (best.0, best.1)) {
                best = Some((rank, cost, worker_key));
            }
        }
        best.map(|(rank, _, worker)| (worker, rank[1]))
    }

    /// Expected time to the end of a run, in milliseconds.
    fn cost(&self, spec: &PhaseSpec, worker: &Worker, expected: Duration) -> f64 {
        let mut run_ms = expected.as_secs_f64() * 1_000.0 / worker.speed.factor();
        if let Some(near) = &spec.near
            && !worker.labels.contains(near)
        {
            run_ms *= FAR_FACTOR;
        }
        if worker.zone != self.settings.zone {
            run_ms += ZONE_COST_MS;
        }
        run_ms + USE_COST_MS * (1.0 - worker.free_share())
    }

    fn order(
        &mut self,
        now: Now,
        key: JobKey,
        (phase, index): (u32, u32),
        worker_key: WorkerKey,
        (start_by, waits): (Duration, bool),
    ) {
        let epoch = self.jobs.get(key).map_or(0, |job| self.epoch_of(job));
        let (Some(job), Some(worker)) = (self.jobs.get_mut(key), self.workers.get_mut(worker_key))
        else {
            return;
        };
        job.set_place(phase, index, Place::Placed(worker_key));
        job.placed = job.placed.or(Some(now.mono));
        job.progress = Progress::Running;
        job.starts += 1;
        let spec = &job.request.phases[phase as usize];
        let room = spec.resources;
        let expected = self.learning.expected(&job.rules.name, spec.estimate);
        let expected = expected.div_f64(worker.speed.factor());
        let Some(task) = job.task_mut(phase, index) else {
            return;
        };
        task.attempt = next_attempt(task.attempt, epoch);
        let attempt = wire::TaskAttempt {
            index,
            attempt: task.attempt,
        };
        let run = RunId {
            task: TaskId {
                job: job.request.id.clone(),
                phase,
                index,
            },
            attempt: attempt.attempt,
        };
        worker.add_order(run, room, waits);
        let same = worker.outbox.phases.last_mut().filter(|order| {
            order.job == job.request.id.as_str() && order.phase == phase && order.waits == waits
        });
        if let Some(order) = same {
            return order.tasks.push(attempt);
        }
        worker.outbox.phases.push(wire::PhaseOrder {
            job: job.request.id.to_string(),
            phase,
            spec: job.request.spec.to_string(),
            room: Some(room.into()),
            expected_ms: u32::try_from(expected.as_millis()).unwrap_or(u32::MAX),
            slack_ms: slack_ms(now, start_by),
            waits,
            tasks: vec![attempt],
            epoch,
        });
    }

    /// Orders the stop of everything of a job that is placed; its other tasks are not started.
    pub(super) fn stop_tasks(&mut self, key: JobKey) {
        self.stop_runs(key);
        if let Some(job) = self.jobs.get_mut(key) {
            job.waiting = 0;
        }
    }

    /// Orders the stop of everything of a job that is placed.
    pub(super) fn stop_runs(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let mut placed: SmallVec<[(RunId, WorkerKey); 8]> = SmallVec::new();
        for (phase, tasks) in job.phases.iter().enumerate() {
            for (index, task) in tasks.tasks.iter().enumerate() {
                let Place::Placed(worker) = task.place else {
                    continue;
                };
                let run = RunId {
                    task: TaskId {
                        job: job.request.id.clone(),
                        phase: to_u32(phase),
                        index: to_u32(index),
                    },
                    attempt: task.attempt,
                };
                placed.push((run, worker));
            }
        }
        for (run, worker) in placed {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.outbox.stops.push((&run).into());
            }
        }
    }

    /// Sends the orders of this turn.
    pub(super) fn send_orders(&mut self, now: Now, out: &mut Vec<Action>) {
        for (_, worker) in self.workers.iter_mut() {
            if let Some((link, orders)) = worker.take_orders() {
                for order in &orders.phases {
                    log_order(order, &worker.instance, out);
                }
                self.metrics.orders.inc();
                out.push(Action::Send(link, wire::frame::Body::RunOrders(orders)));
            }
        }
        self.send_beats(now, out);
    }
}

/// Tasks of a job that have to fit before it starts, of those that wait: all at first, and fewer
/// the longer the job waits, so that wide jobs are not passed by narrow ones for ever.
fn wanted_room(now: Now, job: &Job, waiting: usize) -> usize {
    let waited = now.since(job.arrived).as_secs_f64();
    let patience = job.rules.target.as_secs_f64().max(f64::MIN_POSITIVE);
    let share = (1.0 - waited / patience).max(SMALLEST_START);
    (waiting as f64 * share).ceil() as usize
}

fn fits(job: &Job, spec: &PhaseSpec, phase: u32, key: WorkerKey, worker: &Worker) -> bool {
    if spec
        .label
        .as_ref()
        .is_some_and(|label| !worker.labels.contains(label))
    {
        return false;
    }
    let Some(most) = spec.spread else {
        return true;
    };
    let tasks = job.phases[phase as usize].tasks.iter();
    let there = tasks.filter(|task| task.place == Place::Placed(key));
    to_u32(there.count()) < most
}

fn slack_ms(now: Now, start_by: Duration) -> i32 {
    let ahead = i32::try_from(start_by.saturating_sub(now.mono).as_millis());
    let past = i32::try_from(now.since(start_by).as_millis());
    ahead.unwrap_or(i32::MAX / 2) - past.unwrap_or(i32::MAX / 2)
}

fn log_order(order: &wire::PhaseOrder, worker: &str, out: &mut Vec<Action>) {
    let tasks: Vec<String> = order
        .tasks
        .iter()
        .map(|task| format!("{}#{}", task.index, task.attempt))
        .collect();
    let fields = vec![
        ("job", order.job.clone()),
        ("worker", worker.to_owned()),
        ("tasks", tasks.join(",")),
        ("expected_ms", order.expected_ms.to_string()),
        ("slack_ms", order.slack_ms.to_string()),
        ("waits", order.waits.to_string()),
    ];
    super::machine::log(out, 305, "tasks ordered", false, fields);
}
