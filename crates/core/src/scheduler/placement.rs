//! Placement of tasks on workers.
//!
//! Started jobs are placed before unstarted ones, since their completed work would be lost
//! otherwise, and then those that can still meet their objective. Among equals the shortest goes
//! first, since it needs the least capacity per answer. Jobs whose answers would be too late to be
//! of use come last.
//!
//! A task is placed on a worker on which its job can meet the objective. While capacity is
//! plentiful fast workers come first, otherwise slow ones, which keeps the fast workers for jobs
//! that have waited. Each entry process prefers workers of its zone, workers with uncontended room,
//! and, among equals, workers of its own choice, so that processes do not all place the next task on
//! the same worker. While capacity is scarce, a job starts only if its tasks fit at the
//! same time, because it ends no earlier than its last task; the longer it waits, the fewer tasks
//! have to fit. Late jobs use the remaining capacity. Whether capacity is scarce is asked of the workers that
//! a task can use.
//!
//! Tasks that have waited for long although a worker that suits them has room are overdue. They are placed
//! whatever the room is kept for.

use std::time::Duration;

use smol_str::SmolStr;

use super::jobs::{Job, JobKey, Progress, TaskState, to_u32};
use super::machine::Machine;
use super::priority::{Priority, RUN_TIME_MARGIN, Tier};
use super::scarcity::Scarcity;
use super::shortages::Shortages;
use super::workers::{Worker, WorkerKey};
use crate::clock::Now;
use crate::job::{PhaseSpec, Resources};

/// Slowdown of a task whose data is on another rack.
const REMOTE_DATA_FACTOR: f64 = 1.5;

/// Network round trip to another zone, in milliseconds.
const CROSS_ZONE_MS: f64 = 3.0;

/// Number of further tasks that fit on a worker from which on its room is not contended: that many
/// entry processes may choose it at the same time.
const UNCONTENDED_TASKS: f64 = 3.0;

/// Affinity to a worker in another zone, relative to one in the zone of the process.
const OTHER_ZONE_AFFINITY: f64 = 0.4;

/// Expected run time that full affinity to a worker outweighs, in milliseconds. Larger values spread
/// tasks better, but leave jobs on slower workers less time for a second attempt.
const AFFINITY_MS: f64 = 15.0;

/// Fraction of a worker's CPU that unstarted late jobs leave free for other jobs while capacity is scarce on
/// the workers of the service. Otherwise those that other jobs can use have room as well.
const LATE_JOB_CPU_RESERVE: f64 = 0.2;

/// Smallest fraction of a job's waiting tasks that have to fit before the job starts.
const MIN_START_SHARE: f64 = 0.5;

/// State of one turn of placement.
#[derive(Debug, Default)]
struct Turn {
    scarcity: Scarcity,
    shortages: Shortages,
}

/// Whether capacity is scarce for a task.
#[derive(Debug, Clone, Copy)]
struct Scarce {
    /// On all workers of the service.
    service: bool,
    /// On those with the label that the task requires.
    suitable: bool,
}

/// Workers that a job without a group may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// Those that are neither reserved for isolated jobs nor run any.
    Open,
    /// Reserved ones as well.
    Reserved,
    /// All with room, for overdue tasks: also those that run isolated jobs, are too slow, or keep their room
    /// for jobs that are in time.
    All,
}

impl Reach {
    fn includes(self, reserved: bool, worker: &Worker) -> bool {
        match self {
            Self::Open => !reserved && worker.group.is_empty(),
            Self::Reserved => worker.group.is_empty(),
            Self::All => true,
        }
    }
}

impl Machine {
    /// Places waiting tasks in the order of their jobs' priorities, as far as capacity allows.
    pub(super) fn place_tasks(&mut self, now: Now) {
        self.update_reserved_workers(now);
        self.supersede_unreported(now);
        let fleet = self.fleet_view(now);
        let mut ready: Vec<(Priority, JobKey)> = Vec::new();
        let mut isolated: Vec<(Priority, JobKey)> = Vec::new();
        for (key, job) in self.jobs.iter_open() {
            let has_waiting = job.waiting_tasks > 0 && job.progress != Progress::Closed;
            if has_waiting && self.may_place(now, job) {
                let jobs = if self.group_of(now, job).is_empty() {
                    &mut ready
                } else {
                    &mut isolated
                };
                jobs.push((self.priority(now, job, fleet), key));
            }
        }
        self.place_isolated_jobs(now, isolated);
        ready.sort_unstable();
        let mut turn = Turn::default();
        for (priority, key) in ready {
            self.place_job(now, key, priority, &mut turn);
        }
    }

    /// Places the waiting tasks of a job as far as there is room for them, and records the phases for
    /// which there is none.
    fn place_job(&mut self, now: Now, key: JobKey, priority: Priority, turn: &mut Turn) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let service = job.queue_config.service.clone();
        let phases = job.phases.iter().zip(&job.request.phases);
        let mut ready = phases.filter(|(phase, _)| phase.waiting_tasks > 0);
        let shortages = &turn.shortages;
        if ready.all(|(phase, spec)| shortages.holds_back(&service, spec, phase.is_overdue(now))) {
            return;
        }
        job.tried_at = Some(now.mono);
        let waiting = job.waiting_positions();
        let Some(&(first, _)) = waiting.first() else {
            return;
        };
        let overdue = job.is_phase_overdue(now, first);
        if priority.group.is_unstarted()
            && !overdue
            && self.is_scarce_for(now, key, first, turn)
            && !self.has_room_to_start(now, key, &waiting, priority.tier)
        {
            return self.record_shortage(now, key, first, turn);
        }
        let mut without_room = None;
        for (phase, index) in waiting {
            if without_room == Some(phase) {
                continue;
            }
            let held_back = self.jobs.get(key).is_some_and(|job| {
                let spec = &job.request.phases[phase as usize];
                let overdue = job.is_phase_overdue(now, phase);
                turn.shortages.holds_back(&service, spec, overdue)
            });
            if held_back {
                without_room = Some(phase);
                continue;
            }
            let at = (phase, index);
            let Some((worker, waits)) = self.find_worker(now, key, at, priority, turn) else {
                self.record_shortage(now, key, phase, turn);
                without_room = Some(phase);
                continue;
            };
            let shared = self.workers.get(worker).map(|worker| worker.group.clone());
            let group = shared.unwrap_or_default();
            self.order_task(now, key, at, worker, (priority.sort_key, waits, group));
        }
    }

    /// Records that there is no room for the tasks of a phase, unless only the limits of the job itself
    /// keep them from workers with room.
    fn record_shortage(&self, now: Now, key: JobKey, phase: u32, turn: &mut Turn) {
        let scarce = self.is_scarce_for(now, key, phase, turn);
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let spec = &job.request.phases[phase as usize];
        let service = &job.queue_config.service;
        let may_be_limited = !scarce || spec.spread.is_some();
        if may_be_limited && self.has_room(now, service, spec) {
            return;
        }
        let resources = if scarce {
            Resources::default()
        } else {
            spec.resources
        };
        let overdue = job.is_phase_overdue(now, phase);
        turn.shortages.record(service, spec, resources, overdue);
    }

    /// Returns whether capacity is scarce on the workers with the label that a phase of a job requires.
    fn is_scarce_for(&self, now: Now, key: JobKey, phase: u32, turn: &mut Turn) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let label = job.request.phases[phase as usize].label.as_ref();
        self.is_scarce(now, &job.queue_config.service, label, &mut turn.scarcity)
    }

    /// Returns whether a worker that any job may use has room for a task, whatever limit there is on the
    /// tasks of the phase for each worker.
    fn has_room(&self, now: Now, service: &SmolStr, spec: &PhaseSpec) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|(key, worker)| {
            let reserved = self.crashes.reserved.contains(&key);
            worker.is_usable(now.mono)
                && worker.service == *service
                && Reach::Open.includes(reserved, worker)
                && worker.has_label(spec.label.as_ref())
                && worker.free().can_fit(spec.resources)
        })
    }

    /// Returns whether no worker that is not reserved could run a task of a phase, also if all of them were
    /// idle.
    fn needs_reserved(&self, now: Now, job: &Job, phase: u32) -> bool {
        if self.crashes.reserved.is_empty() {
            return false;
        }
        let spec = &job.request.phases[phase as usize];
        let mut workers = self.workers.iter();
        !workers.any(|(key, worker)| {
            !self.crashes.reserved.contains(&key)
                && worker.is_usable(now.mono)
                && worker.service == job.queue_config.service
                && worker.capacity.can_fit(spec.resources)
                && meets_constraints(job, spec, phase, key, worker)
        })
    }

    /// Finds a worker for a task as [`Machine::choose_worker`] does. Workers that are kept for isolated jobs
    /// are used by tasks that no other worker can run, and by tasks that are overdue.
    fn find_worker(
        &self,
        now: Now,
        key: JobKey,
        at: (u32, u32),
        priority: Priority,
        turn: &mut Turn,
    ) -> Option<(WorkerKey, bool)> {
        let job = self.jobs.get(key)?;
        let scarce = Scarce {
            service: self.is_scarce(now, &job.queue_config.service, None, &mut turn.scarcity),
            suitable: self.is_scarce_for(now, key, at.0, turn),
        };
        let choose = |reach| self.choose_worker(now, key, at, (priority, scarce), reach);
        let found = choose(Reach::Open);
        if job.is_phase_overdue(now, at.0) && found.is_none_or(|(_, waits)| waits) {
            choose(Reach::All).or(found)
        } else if found.is_some() {
            found
        } else if self.needs_reserved(now, job, at.0) {
            choose(Reach::Reserved)
        } else {
            None
        }
    }

    /// Returns whether a job can start: whether enough of its waiting tasks fit on workers that are
    /// fast enough.
    fn has_room_to_start(&self, now: Now, key: JobKey, waiting: &[(u32, u32)], tier: Tier) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let mut needed = required_task_count(now, job, waiting.len());
        let Some(&(phase, _)) = waiting.first() else {
            return true;
        };
        let spec = &job.request.phases[phase as usize];
        let reach = if self.needs_reserved(now, job, phase) {
            Reach::Reserved
        } else {
            Reach::Open
        };
        let expected = self
            .run_times
            .expected_run_time(&job.queue_config.name, spec.estimate);
        let left = (job.requested_at + job.objective).saturating_sub(now.mono);
        for (worker_key, worker) in self.workers.iter() {
            let usable = worker.is_usable(now.mono) && worker.service == job.queue_config.service;
            let reserved = self.crashes.reserved.contains(&worker_key);
            if !usable
                || !reach.includes(reserved, worker)
                || !meets_constraints(job, spec, phase, worker_key, worker)
            {
                continue;
            }
            let run_ms = self.run_ms(spec, worker, expected) * RUN_TIME_MARGIN;
            if tier == Tier::InTime && run_ms > left.as_secs_f64() * 1_000.0 {
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

    /// Chooses the worker for a task. Also returns whether the task has to wait at the agent for
    /// resources.
    fn choose_worker(
        &self,
        now: Now,
        key: JobKey,
        (phase, index): (u32, u32),
        (priority, scarce): (Priority, Scarce),
        reach: Reach,
    ) -> Option<(WorkerKey, bool)> {
        let job = self.jobs.get(key)?;
        let spec = &job.request.phases[phase as usize];
        let task = job.task(phase, index)?;
        let restricted = priority.group.is_unstarted() && reach != Reach::All;
        let expected = self
            .run_times
            .expected_run_time(&job.queue_config.name, spec.estimate);
        let left = (job.requested_at + job.objective).saturating_sub(now.mono);
        let left_ms = left.as_secs_f64() * 1_000.0;
        let late = priority.tier != Tier::InTime;
        let mut best: Option<([bool; 4], f64, WorkerKey)> = None;
        for (worker_key, worker) in self.workers.iter() {
            if !worker.is_usable(now.mono) || worker.service != job.queue_config.service {
                continue;
            }
            let reserved = self.crashes.reserved.contains(&worker_key);
            if !reach.includes(reserved, worker) {
                continue;
            }
            if !meets_constraints(job, spec, phase, worker_key, worker) {
                continue;
            }
            let has_room = worker.free().can_fit(spec.resources);
            let grouped = !worker.group.is_empty();
            if !has_room && (late || grouped || !worker.can_queue(spec.resources)) {
                continue;
            }
            let keeps_room = scarce.service && worker.free_share() < LATE_JOB_CPU_RESERVE;
            if late && restricted && keeps_room {
                continue;
            }
            let run_ms = self.run_ms(spec, worker, expected);
            let too_slow = !late && run_ms * RUN_TIME_MARGIN > left_ms;
            if too_slow && restricted && scarce.suitable {
                continue;
            }
            let avoided = task.avoided_workers.contains(&worker_key);
            let rank = [avoided, !has_room, grouped, too_slow];
            let affinity = self.affinity(spec, worker);
            let speed_ms = if scarce.suitable && !too_slow {
                -run_ms
            } else {
                run_ms
            };
            let cost = speed_ms - AFFINITY_MS * affinity;
            if best.is_none_or(|best| (rank, cost) < (best.0, best.1)) {
                best = Some((rank, cost, worker_key));
            }
        }
        best.map(|(rank, _, worker)| (worker, rank[1]))
    }

    /// Returns the expected time until the end of a run on a worker is known here, in milliseconds.
    fn run_ms(&self, spec: &PhaseSpec, worker: &Worker, expected: Duration) -> f64 {
        let mut run_ms = expected.as_secs_f64() * 1_000.0 / worker.speed.factor();
        if let Some(near) = &spec.near
            && !worker.labels.contains(near)
        {
            run_ms *= REMOTE_DATA_FACTOR;
        }
        if !worker.in_zone {
            run_ms += CROSS_ZONE_MS;
        }
        run_ms
    }

    /// Returns how suitable a worker is apart from its speed, from 0 to 1. Spreads the tasks of many
    /// entry processes, whose views of the workers are older than a short task, and keeps them in
    /// the zone: without it, all processes send the next task to the same few workers.
    fn affinity(&self, spec: &PhaseSpec, worker: &Worker) -> f64 {
        let needed = f64::from(spec.resources.cpu.max(1));
        let fitting = f64::from(worker.free().cpu) / needed;
        let uncontended = (fitting / UNCONTENDED_TASKS).min(1.0);
        let zone = if worker.in_zone {
            1.0
        } else {
            OTHER_ZONE_AFFINITY
        };
        (1.0 - worker.preference) * uncontended * zone
    }
}

/// Returns the number of waiting tasks that have to fit before a job starts: all at first, and
/// fewer the longer the job waits, so that jobs with many tasks are not starved by those with few.
fn required_task_count(now: Now, job: &Job, waiting: usize) -> usize {
    let waited_s = now.since(job.submitted_at).as_secs_f64();
    let target_s = job.queue_config.target.as_secs_f64().max(f64::MIN_POSITIVE);
    let share = (1.0 - waited_s / target_s).max(MIN_START_SHARE);
    (waiting as f64 * share).ceil() as usize
}

/// Returns whether a worker has the label that a phase requires, and has fewer tasks of the phase
/// than the phase allows per worker.
pub(super) fn meets_constraints(
    job: &Job,
    spec: &PhaseSpec,
    phase: u32,
    key: WorkerKey,
    worker: &Worker,
) -> bool {
    if !worker.has_label(spec.label.as_ref()) {
        return false;
    }
    let Some(max_per_worker) = spec.spread else {
        return true;
    };
    let tasks = job.phases[phase as usize].tasks.iter();
    let placed = tasks.filter(|task| task.state == TaskState::Placed(key));
    to_u32(placed.count()) < max_per_worker
}
