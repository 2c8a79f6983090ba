//! The dispatcher: waiting tasks, credits and the next start.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slotmap::SlotMap;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::credits::Credits;
use super::ended::Ended;
use super::health::Health;
use super::jobs::{Job, JobSlot};
use super::learning::Speed;
use super::limits::Limits;
use super::placement::{Placement, Request};
use super::queues::{ClassKey, QueueKey, Queues, Team};
use super::worker::{Worker, WorkerKey};
use crate::clock::Now;
use crate::config::Document;
use crate::ids::{JobKey, TaskRef};
use crate::peer::LinkKey;

/// Names of workers whose speed and health are remembered after they are gone.
const REMEMBERED_WORKERS: usize = 16_384;

/// Weight of one outcome in the fleet's failure rate.
const FLEET_GAIN: f64 = 1.0 / 256.0;

/// Weight of one start in the common run time.
const COMMON_GAIN: f64 = 1.0 / 256.0;

/// A job is placed behind smaller jobs of its class by this many times the time that its tasks
/// take on all slots of this process.
const SIZE_DELAY_FACTOR: f64 = 16.0;

/// Most targets by which a job is placed behind smaller jobs.
const SIZE_DELAY_TARGETS: u32 = 2;

/// A task that is to start on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// The task.
    pub task: TaskRef,
    /// The worker.
    pub worker: WorkerKey,
}

/// Decides which waiting task starts next, and on which worker.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) limits: Limits,
    pub(super) queues: Queues,
    pub(super) workers: SlotMap<WorkerKey, Worker>,
    /// Level of demand that all agents have been told.
    pub(super) told_all: Option<u32>,
    policy: Box<dyn Placement>,
    random: ChaCha8Rng,
    pub(super) jobs: SlotMap<JobSlot, Job>,
    job_keys: HashMap<JobKey, JobSlot>,
    next_seq: u64,
    credits: Credits,
    /// Unused credits of all workers.
    held_credits: u32,
    slots: u32,
    held_back: Vec<WorkerKey>,
    remembered: HashMap<SmolStr, (Speed, Health)>,
    fleet_failures: f64,
    common_s: f64,
    /// Jobs of which no task had started when they were pushed, by time of the push.
    unstarted: VecDeque<(Duration, JobSlot)>,
}

impl Dispatcher {
    /// Dispatcher without workers, classes and jobs; equal seeds give equal decisions.
    #[must_use]
    pub fn new(seed: u64, policy: Box<dyn Placement>, limits: Limits) -> Self {
        Self {
            limits,
            queues: Queues::default(),
            workers: SlotMap::with_key(),
            told_all: Some(0),
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            jobs: SlotMap::with_key(),
            job_keys: HashMap::new(),
            next_seq: 0,
            credits: Credits::default(),
            held_credits: 0,
            slots: 0,
            held_back: Vec::new(),
            remembered: HashMap::new(),
            fleet_failures: 0.0,
            common_s: 0.0,
            unstarted: VecDeque::new(),
        }
    }

    /// Takes targets and team quotas from the configuration.
    pub fn configure(&mut self, document: &Document) {
        for class in self.queues.classes.values_mut() {
            class.configured = false;
        }
        for team in self.queues.teams.values_mut() {
            team.quota = None;
        }
        for (name, class) in &document.classes {
            let key = self.queues.class(name);
            if let Some(known) = self.queues.classes.get_mut(key) {
                known.target = class.target;
                known.configured = true;
            }
        }
        for (name, team) in &document.teams {
            let key = self.queues.team(name);
            if let Some(known) = self.queues.teams.get_mut(key) {
                known.quota = Some(team.slots);
            }
        }
        self.queues.shortest = document.classes.values().map(|c| c.target).min();
        self.queues.refresh_all();
    }

    /// A worker has connected. What was learned under its name is taken up again.
    pub fn worker_up(
        &mut self,
        link: LinkKey,
        name: SmolStr,
        zone: SmolStr,
        slots: u32,
    ) -> WorkerKey {
        let (speed, health) = self.remembered.remove(&name).unwrap_or_default();
        self.slots += slots;
        self.told_all = None;
        let held = health.held();
        let key = self.workers.insert(Worker {
            link,
            name,
            zone,
            slots,
            busy: 0,
            credits: 0,
            running: 0,
            speed,
            health,
            told: (0, None),
        });
        if held {
            self.held_back.push(key);
        }
        key
    }

    /// A worker is gone; its credits are void. Its running tasks end by [`Self::ended`].
    pub fn worker_down(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        self.slots -= worker.slots;
        self.held_credits -= worker.credits;
        self.credits.remove(key);
        self.held_back.retain(|k| *k != key);
        if self.remembered.len() >= REMEMBERED_WORKERS {
            self.remembered.clear();
        }
        self.remembered
            .insert(worker.name, (worker.speed, worker.health));
    }

    /// Slots and busy slots of a worker by its heartbeat.
    pub fn worker_slots(&mut self, key: WorkerKey, slots: u32, busy: u32) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        self.slots = self.slots - worker.slots + slots;
        worker.slots = slots;
        worker.busy = busy;
    }

    /// A worker grants credits.
    pub fn credit(&mut self, key: WorkerKey, credits: u32) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.credits += credits;
        self.held_credits += credits;
        self.list(key);
    }

    /// A worker asks for credits back; returns how many unused ones it gets.
    pub fn recall(&mut self, key: WorkerKey, credits: u32) -> u32 {
        let Some(worker) = self.workers.get_mut(key) else {
            return 0;
        };
        let given = credits.min(worker.credits);
        worker.credits -= given;
        self.held_credits -= given;
        self.list(key);
        given
    }

    /// Brings the worker's place among the credits up to date.
    fn list(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if worker.credits == 0 || worker.health.held() {
            self.credits.remove(key);
            return;
        }
        let near = !self.limits.zone.is_empty() && worker.zone == self.limits.zone;
        self.credits
            .insert(key, worker.speed.log2(), near, worker.running);
    }

    /// Tasks of a job wait from now on. Tasks that wait or run already are ignored, and so are
    /// those of a cancelled job.
    pub fn push(
        &mut self,
        now: Now,
        key: JobKey,
        class: &str,
        team: &str,
        arrived: Duration,
        indices: &[u32],
    ) {
        let slot = match self.job_keys.get(&key) {
            Some(slot) => *slot,
            None => self.open(now, key, class, team, arrived, indices.len()),
        };
        let Some(job) = self.jobs.get_mut(slot).filter(|j| !j.cancelled) else {
            return;
        };
        let mut added = 0;
        for index in indices {
            added += i64::from(job.wait(*index));
        }
        if added == 0 {
            return;
        }
        let (queue, order, seq) = (job.queue, job.order, job.seq);
        self.queues.count_waiting(queue, added);
        self.queues.enter(queue, order, seq, slot);
        let class = self
            .queues
            .pair(queue)
            .and_then(|p| self.queues.classes.get_mut(p.0));
        if let Some(class) = class {
            class.last_arrival = Some(now.mono);
        }
    }

    fn open(
        &mut self,
        now: Now,
        key: JobKey,
        class: &str,
        team: &str,
        arrived: Duration,
        tasks: usize,
    ) -> JobSlot {
        let class = self.queues.class(class);
        let order = arrived.saturating_add(self.size_delay(class, tasks));
        let team = self.queues.team(team);
        let queue = self.queues.join(class, team);
        self.next_seq += 1;
        let slot = self.jobs.insert(Job {
            key,
            queue,
            arrived,
            order,
            seq: self.next_seq,
            waiting: VecDeque::new(),
            running: Vec::new(),
            started: false,
            cancelled: false,
        });
        self.job_keys.insert(key, slot);
        self.unstarted.push_back((now.mono, slot));
        slot
    }

    /// By how much a job of this size is placed behind smaller jobs of its class.
    fn size_delay(&self, class: ClassKey, tasks: usize) -> Duration {
        let Some(class) = self.queues.classes.get(class) else {
            return Duration::ZERO;
        };
        let work_s = class.run_time.mean_s() * tasks as f64;
        let ideal_s = work_s / f64::from(self.usable_slots());
        let most = class.target * SIZE_DELAY_TARGETS;
        Duration::from_secs_f64((ideal_s * SIZE_DELAY_FACTOR).min(most.as_secs_f64()))
    }

    /// A task that provably did not start waits again, at its place.
    pub fn requeue(&mut self, _now: Now, task: TaskRef) {
        let Some(slot) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        self.stop(slot, task.index);
        let Some(job) = self.jobs.get_mut(slot).filter(|j| !j.cancelled) else {
            return;
        };
        if !job.wait(task.index) {
            return;
        }
        let (queue, order, seq) = (job.queue, job.order, job.seq);
        self.queues.count_waiting(queue, 1);
        self.queues.enter(queue, order, seq, slot);
    }

    /// Drops the waiting tasks of a job and returns them. The job takes no more tasks.
    pub fn cancel(&mut self, key: JobKey) -> SmallVec<[u32; 8]> {
        let Some(slot) = self.job_keys.get(&key).copied() else {
            return SmallVec::new();
        };
        let Some(job) = self.jobs.get_mut(slot) else {
            return SmallVec::new();
        };
        job.cancelled = true;
        let dropped: SmallVec<[u32; 8]> = job.waiting.drain(..).collect();
        let (queue, order, seq) = (job.queue, job.order, job.seq);
        if !dropped.is_empty() {
            let count = i64::try_from(dropped.len()).unwrap_or(i64::MAX);
            self.queues.count_waiting(queue, -count);
            self.queues.exit(queue, order, seq, slot);
        }
        dropped
    }

    /// Forgets a job that has ended.
    pub fn remove(&mut self, key: JobKey) {
        self.cancel(key);
        let Some(slot) = self.job_keys.remove(&key) else {
            return;
        };
        let Some(job) = self.jobs.remove(slot) else {
            return;
        };
        let running = i64::try_from(job.running.len()).unwrap_or(i64::MAX);
        self.queues.count_running(job.queue, -running);
        for (_, worker) in job.running {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.running = worker.running.saturating_sub(1);
            }
        }
        self.queues.leave(job.queue);
    }

    /// Removes a running task from all counts; returns its worker.
    fn stop(&mut self, slot: JobSlot, index: u32) -> Option<WorkerKey> {
        let job = self.jobs.get_mut(slot)?;
        let worker = job.stop(index)?;
        self.queues.count_running(job.queue, -1);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.running = worker.running.saturating_sub(1);
        }
        Some(worker)
    }

    /// The next start; uses one credit. `None` when no task may start now.
    pub fn next(&mut self, now: Now) -> Option<Assignment> {
        if self.queues.waiting == 0 || self.held_credits == 0 {
            return None;
        }
        let trial = self.due_trial(now);
        if self.credits.is_empty() && trial.is_none() {
            return None;
        }
        let (deadline, queue) = self.next_queue(now)?;
        let worker = match trial {
            Some(worker) => worker,
            None => {
                let request = self.request(now, deadline, queue);
                self.policy
                    .choose(&request, &self.credits, &mut self.random)?
            }
        };
        self.start(now, queue, worker)
    }

    /// A held-back worker with a credit whose next trial task is due.
    fn due_trial(&self, now: Now) -> Option<WorkerKey> {
        let due = |key: &WorkerKey| {
            let worker = self.workers.get(*key);
            worker.is_some_and(|w| {
                w.credits > 0 && w.health.next_trial().is_some_and(|at| at <= now.mono)
            })
        };
        self.held_back.iter().copied().find(due)
    }

    /// The queue with the earliest deadline that may start a task now.
    fn next_queue(&self, now: Now) -> Option<(Duration, QueueKey)> {
        let mut over_quota = None;
        for (deadline, key) in self.queues.heads() {
            let Some((class, team)) = self.queues.pair(key) else {
                continue;
            };
            if self.reserve_blocks(now, class) {
                continue;
            }
            let team = self.queues.teams.get(team);
            let share = team.and_then(|t| self.quota_share(t));
            if share.is_some_and(|s| team.is_some_and(|t| t.running >= s)) {
                over_quota = over_quota.or(Some((deadline, key)));
                continue;
            }
            return Some((deadline, key));
        }
        over_quota
    }

    /// Slots that this process uses or could use at once.
    pub(super) fn usable_slots(&self) -> u32 {
        (self.queues.running + self.held_credits).max(1)
    }

    /// The team's quota, scaled to the share of the slots that this process uses.
    pub(super) fn quota_share(&self, team: &Team) -> Option<u32> {
        let quota = u64::from(team.quota?);
        let slots = u64::from(self.slots.max(1));
        let share = (quota * u64::from(self.usable_slots())).div_ceil(slots);
        u32::try_from(share.min(quota)).ok()
    }

    /// Whether the slots kept for short classes forbid a start of `class`.
    fn reserve_blocks(&self, now: Now, class: ClassKey) -> bool {
        let Some(limit_s) = self.long_limit_s() else {
            return false;
        };
        let is_long = |s: f64| s > limit_s;
        let Some(class) = self.queues.classes.get(class) else {
            return false;
        };
        if !is_long(class.run_time.typical_s()) {
            return false;
        }
        let recent = |at: Duration| now.since(at) < self.limits.reserve_time;
        let mut long_running = 0;
        let mut short_arrivals = false;
        for other in self.queues.classes.values() {
            if is_long(other.run_time.typical_s()) {
                long_running += other.running;
            } else {
                short_arrivals |= other.last_arrival.is_some_and(recent);
            }
        }
        let usable = self.usable_slots();
        short_arrivals && long_running >= usable - usable / self.limits.reserve_divisor.max(1)
    }

    /// Run time above which a class is long, in seconds.
    fn long_limit_s(&self) -> Option<f64> {
        self.queues
            .shortest
            .map(|t| t.as_secs_f64() * self.limits.long_factor)
    }

    fn request(&self, now: Now, deadline: Duration, queue: QueueKey) -> Request {
        let class = self
            .queues
            .pair(queue)
            .and_then(|p| self.queues.classes.get(p.0));
        Request {
            run_s: class.map_or(0.0, |c| c.run_time.typical_s()),
            high_s: class.map_or(0.0, |c| c.run_time.high_s()),
            common_s: self.common_s,
            slack_s: deadline.as_secs_f64() - now.mono.as_secs_f64(),
        }
    }

    /// Starts the first task of a queue on a worker.
    fn start(&mut self, now: Now, queue: QueueKey, key: WorkerKey) -> Option<Assignment> {
        let slot = self.queues.front(queue)?;
        let worker = self.workers.get_mut(key).filter(|w| w.credits > 0)?;
        let job = self.jobs.get_mut(slot)?;
        let index = job.waiting.pop_front()?;
        worker.credits -= 1;
        worker.running += 1;
        worker.health.trial_started(now.mono);
        job.run(index, key);
        let task = TaskRef {
            job: job.key,
            index,
        };
        let (empty, order, seq) = (job.waiting.is_empty(), job.order, job.seq);
        self.held_credits -= 1;
        self.queues.count_waiting(queue, -1);
        self.queues.count_running(queue, 1);
        if empty {
            self.queues.exit(queue, order, seq, slot);
        }
        self.list(key);
        Some(Assignment { task, worker: key })
    }

    /// A task has ended at a worker. Unknown tasks are ignored.
    pub fn ended(&mut self, now: Now, task: TaskRef, worker: WorkerKey, ended: Ended) {
        let Some(slot) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        // A report from a worker that is connected but does not run the task is a late one.
        let known = job
            .worker_of(task.index)
            .is_some_and(|at| at == worker || !self.workers.contains_key(at));
        if !known {
            return;
        }
        let queue = job.queue;
        self.stop(slot, task.index);
        match ended {
            Ended::Done { run } => {
                self.learn(queue, worker, run);
                self.judge(now, worker, false);
            }
            Ended::Failed { .. } | Ended::NotStarted => self.judge(now, worker, true),
            Ended::Lost => {}
        }
    }

    /// Learns the run time of the class and the speed of the worker.
    fn learn(&mut self, queue: QueueKey, key: WorkerKey, run: Duration) {
        let Some((class, _)) = self.queues.pair(queue) else {
            return;
        };
        let Some(class) = self.queues.classes.get_mut(class) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let surprise = class.run_time.learn(run, worker.speed.factor());
        worker.speed.learn(surprise);
        self.common_s += COMMON_GAIN * (class.run_time.typical_s() - self.common_s);
        self.list(key);
    }

    /// Records an outcome of a worker and holds it back, or releases it, on the evidence.
    fn judge(&mut self, now: Now, key: WorkerKey, failed: bool) {
        self.fleet_failures += FLEET_GAIN * (f64::from(u8::from(failed)) - self.fleet_failures);
        let room = (self.held_back.len() + 1) * 2 <= self.workers.len();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let held = worker.health.held();
        worker.health.record(now.mono, failed);
        if held && !worker.health.held() {
            self.held_back.retain(|k| *k != key);
        } else if !held && room && worker.health.suspect(self.fleet_failures) {
            worker.health.hold(now.mono);
            self.held_back.push(key);
        }
        self.list(key);
    }

    /// Appends the jobs of which no task has started in time.
    pub fn expired(&mut self, now: Now, out: &mut Vec<JobKey>) {
        while let Some((since, slot)) = self.unstarted.front().copied() {
            if now.since(since) < self.limits.start_limit {
                return;
            }
            self.unstarted.pop_front();
            let unstarted = |j: &&Job| !j.started && !j.cancelled;
            if let Some(job) = self.jobs.get(slot).filter(unstarted) {
                out.push(job.key);
            }
        }
    }

    /// Waiting tasks.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.queues.waiting
    }

    /// Running tasks.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.queues.running
    }
}
