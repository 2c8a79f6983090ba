//! Tasks that crash the workers that run them.
//!
//! All runs on a worker end with it, so its crash tells little about which of them has caused it. The
//! jobs that are the most likely causes run isolated from then on: on a worker without tasks of other
//! jobs, so that a further crash harms nobody else and shows which job is to blame. A job of which a
//! task has crashed two workers, the second one in isolation and as long after its start as the first
//! one, is given up. If the times differ, the workers may have crashed by themselves, and the task gets
//! two more chances; so it does if a worker had not confirmed that it started the task.
//!
//! A queue whose jobs keep crashing workers is confined: its jobs share no worker with those of other
//! queues, and use a bounded share of the workers.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::{SmolStr, format_smolstr};
use xxhash_rust::xxh3::xxh3_64;

use super::blame::Blame;
use super::io::{Action, Answer};
use super::jobs::{Job, JobKey, Progress};
use super::machine::{Machine, log};
use super::placement::meets_constraints;
use super::priority::Priority;
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::job::RunId;

/// Time after the first crash in which crashes of other workers are taken to have the same cause, such
/// as the loss of a rack, and are not added to the blame unless a single isolated job was on them.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(60);

/// Time after a crash in which a job of a queue that is not confined waits for a worker of its own. Then
/// it runs beside others: where all workers that it may use are always busy, none ever becomes idle.
const ISOLATION_WAIT: Duration = Duration::from_secs(3);

/// Fraction of the workers of a service that are reserved for isolated jobs while there are any.
const RESERVED_SHARE: f64 = 0.2;

/// Fraction of the reserved workers that are left to jobs that may have crashed a worker, rounded down.
const SUSPECTS_SHARE: f64 = 0.5;

/// Multiple of the CPU that other jobs use, that has to stay free for them before jobs of confined queues
/// use workers that are not reserved.
const SPARE_FACTOR: f64 = 1.5;

/// Time in which the CPU that other jobs have used is forgotten, to 1/e.
const DEMAND_DECAY: Duration = Duration::from_secs(4);

/// What is known of crashes.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Blame of queues for crashes under jobs of this process.
    blame: DeterministicMap<SmolStr, Blame>,
    confined: DeterministicSet<SmolStr>,
    /// Start of the last group of crashes with a common cause, and the first crashed worker.
    group: Option<(Duration, WorkerKey)>,
    /// Whether this process has jobs to isolate, as last told to its peers.
    isolating: bool,
    /// Workers that run isolated jobs only.
    pub(super) reserved: DeterministicSet<WorkerKey>,
    /// Those of them that run only jobs that may have crashed a worker.
    suspects_only: DeterministicSet<WorkerKey>,
    /// Whether jobs of confined queues may use other workers as well.
    spare: bool,
    /// CPU that jobs without a group have used recently, in thousandths of a core, and when that was
    /// updated.
    demand: (f64, Duration),
}

impl Crashes {
    /// Returns whether a queue is confined.
    pub(super) fn is_confined(&self, queue: &str) -> bool {
        self.confined.contains(queue)
    }

    /// Returns whether this process has jobs to isolate.
    pub(super) fn is_isolating(&self) -> bool {
        self.isolating
    }

    /// Returns the blame of queues for crashes under jobs of this process, for its peers.
    pub(super) fn blame_report(&self, now: Duration) -> Vec<wire::QueueBlame> {
        let blame = self.blame.iter().map(|(queue, blame)| {
            let blame = blame.at(now);
            wire::QueueBlame {
                queue: queue.to_string(),
                blame: (blame.total * 1_000.0) as u32,
                proved: (blame.proved * 1_000.0) as u32,
            }
        });
        blame.filter(|blame| blame.blame > 0).collect()
    }
}

impl Machine {
    /// Counts a run whose worker crashed against its task, unless it has been counted, and gives the
    /// job up if the task has crashed too many workers.
    pub(super) fn record_crash(
        &mut self,
        now: Now,
        from: WorkerKey,
        run: &RunId,
        evidence: wire::CrashEvidence,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.jobs.find(&run.task.job) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let closed = job.progress == Progress::Closed;
        let queue = job.request.queue.clone();
        let Some(task) = job.task_mut(run.task.phase, run.task.index) else {
            return;
        };
        if closed || !task.crashes.add(run.attempt, evidence) {
            return;
        }
        let crashes = task.crashes;
        let proved = job.isolated && evidence.alone;
        job.isolated |= evidence.suspect || crashes.is_suspect();
        job.crashed_at = now.mono;
        let fields = vec![
            ("run", run.to_string()),
            ("crashes", crashes.total().to_string()),
            ("unconfirmed", crashes.unconfirmed().to_string()),
            ("blame", evidence.blame.to_string()),
            ("isolated", job.isolated.to_string()),
            ("alone", evidence.alone.to_string()),
            ("age_ms", evidence.age_ms.to_string()),
        ];
        log(out, 332, "worker crashed under a run", true, fields);
        // A job counts once, however many of its tasks crash workers, and however often.
        let blame = f64::from(evidence.blame) / 1_000.0;
        let added = (blame - job.blame).max(0.0);
        if added > 0.0 && (proved || self.is_first_of_group(now, from)) {
            let known = self.crashes.blame.entry(queue).or_default();
            let added = Blame {
                total: added,
                proved: if proved { blame } else { 0.0 },
                since: now.mono,
            };
            *known = known.at(now.mono).plus(added);
            if let Some(job) = self.jobs.get_mut(key) {
                job.blame = blame;
            }
        }
        self.mark_dirty(now, key, Duration::ZERO);
        if crashes.is_exhausted(evidence) {
            self.metrics.crashing.inc();
            self.close_job(now, key, Answer::Failed, "crashes workers", out);
        }
    }

    /// Returns whether no other worker has crashed shortly before this one.
    fn is_first_of_group(&mut self, now: Now, from: WorkerKey) -> bool {
        let group = self.crashes.group;
        match group.filter(|(since, _)| now.since(*since) < COMMON_CAUSE_TIME) {
            Some((_, first)) => first == from,
            None => {
                self.crashes.group = Some((now.mono, from));
                true
            }
        }
    }

    /// Updates which queues are confined, and tells peers when this process starts or stops isolating
    /// jobs.
    pub(super) fn update_crashes(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.crashes.blame.is_empty()
            && !self.crashes.isolating
            && !self.peers.is_any_blaming()
            && self.crashes.confined.is_empty()
        {
            return;
        }
        self.crashes
            .blame
            .retain(|_, blame| !blame.at(now.mono).is_forgotten());
        self.update_confinement(now, out);
        let jobs = self.jobs.iter_open();
        let mut unfinished = jobs.filter(|(_, job)| job.waiting_tasks + job.placed_tasks > 0);
        let isolating =
            !self.crashes.confined.is_empty() || unfinished.any(|(_, job)| job.isolated);
        drop(unfinished);
        if isolating != self.crashes.isolating {
            self.crashes.isolating = isolating;
            self.send_peer_beats(now, false, out);
        }
    }

    fn update_confinement(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut total: DeterministicMap<SmolStr, Blame> = self.peers.queue_blame();
        for (queue, blame) in &self.crashes.blame {
            let known = total.entry(queue.clone()).or_default();
            *known = known.plus(blame.at(now.mono));
        }
        let confined = &mut self.crashes.confined;
        let mut changes: Vec<(SmolStr, bool)> = Vec::new();
        for (queue, blame) in &total {
            if blame.confines() && confined.insert(queue.clone()) {
                changes.push((queue.clone(), true));
            }
        }
        confined.retain(|queue| {
            let blame = total.get(queue);
            let keep = blame.is_some_and(|blame| blame.keeps_confined());
            if !keep {
                changes.push((queue.clone(), false));
            }
            keep
        });
        for (queue, begins) in changes {
            let blame = total.get(&queue).copied().unwrap_or_default();
            let fields = vec![
                ("queue", queue.to_string()),
                ("blame", format!("{:.2}", blame.total)),
                ("proved", format!("{:.2}", blame.proved)),
            ];
            if begins {
                self.metrics.confined.inc();
                log(out, 333, "queue confined to reserved workers", true, fields);
            } else {
                log(out, 334, "queue no longer confined", false, fields);
            }
        }
    }

    /// Returns the group whose tasks alone share a worker with those of a job: that of the job itself if
    /// it may have crashed a worker, else that of its queue if it is confined and a reserved worker is
    /// suitable. Other jobs have none.
    pub(super) fn group_of(&self, now: Now, job: &Job) -> SmolStr {
        let confined = self.crashes.is_confined(&job.request.queue);
        let waits = job.placed_tasks > 0 || now.since(job.crashed_at) < ISOLATION_WAIT;
        if job.isolated && (confined || waits) {
            return format_smolstr!("job {}", job.request.id);
        }
        if confined && self.has_reserved_worker(job) {
            return format_smolstr!("queue {}", job.request.queue);
        }
        SmolStr::default()
    }

    /// Returns whether a reserved worker is suitable for all phases of a job.
    fn has_reserved_worker(&self, job: &Job) -> bool {
        let reserved = self.crashes.reserved.iter();
        let mut workers = reserved.filter_map(|key| self.workers.get(*key));
        workers.any(|worker| {
            let mut labels = job.request.phases.iter().map(|spec| spec.label.as_ref());
            worker.service == job.queue_config.service
                && labels.all(|label| label.is_none_or(|label| worker.labels.contains(label)))
        })
    }

    /// Places the waiting tasks of isolated jobs. Jobs of a confined queue that have crashed no worker
    /// go before those that have, which probably crash the next one as well.
    pub(super) fn place_isolated_jobs(&mut self, now: Now, mut jobs: Vec<(Priority, JobKey)>) {
        jobs.sort_by_cached_key(|(priority, key)| {
            let job = self.jobs.get(*key);
            let confined = job.is_some_and(|job| self.crashes.is_confined(&job.request.queue));
            let isolated = job.is_some_and(|job| job.isolated);
            (confined, isolated, *priority)
        });
        for (priority, key) in jobs {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.tried_at = Some(now.mono);
            let unplaced = job.placed_tasks == 0;
            let waiting = job.waiting_positions();
            let group = self.jobs.get(key).map(|job| self.group_of(now, job));
            let group = group.unwrap_or_default();
            let mut without_room = None;
            for (phase, index) in waiting {
                if without_room == Some(phase) {
                    continue;
                }
                let at = (phase, index);
                let job = self.jobs.get(key);
                let overdue = unplaced && job.is_some_and(|job| job.is_phase_overdue(now, phase));
                let Some(worker) = self.choose_group_worker(now, key, &group, at, overdue) else {
                    without_room = Some(phase);
                    continue;
                };
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.group = group.clone();
                }
                let order = (priority.sort_key, false, group.clone());
                self.order_task(now, key, at, worker, order);
            }
        }
    }

    /// Chooses the workers that are reserved for isolated jobs, while any process has such jobs. All
    /// processes choose the same ones, including those that are down at the moment: otherwise one
    /// worker after the other would be reserved and crashed.
    pub(super) fn update_reserved_workers(&mut self, now: Now) {
        self.crashes.reserved.clear();
        self.crashes.suspects_only.clear();
        if !self.crashes.isolating && !self.peers.is_any_isolating() {
            return;
        }
        let mut services: DeterministicMap<SmolStr, Vec<(u64, WorkerKey)>> =
            DeterministicMap::default();
        for (key, worker) in self.workers.iter().filter(|(_, w)| w.link.is_some()) {
            let hash = xxh3_64(worker.name.as_bytes());
            let members = services.entry(worker.service.clone()).or_default();
            members.push((hash, key));
        }
        for mut members in services.into_values() {
            members.sort_unstable();
            let share = (members.len() as f64 * RESERVED_SHARE).ceil() as usize;
            let reserved = members.iter().take(share.min(members.len() - 1));
            self.crashes.reserved.extend(reserved.map(|(_, key)| *key));
            let for_suspects = (share as f64 * SUSPECTS_SHARE) as usize;
            let for_suspects = members.iter().take(for_suspects);
            self.crashes
                .suspects_only
                .extend(for_suspects.map(|(_, key)| *key));
        }
        self.update_spare(now);
    }

    /// Updates the CPU that jobs without a group have used recently, and whether enough is free beyond
    /// it for jobs of confined queues to use workers that are not reserved. When no other jobs come,
    /// confined ones may thus use all workers.
    fn update_spare(&mut self, now: Now) {
        let (mut used, mut free) = (0.0, 0.0);
        for (key, worker) in self.workers.iter() {
            let reserved = self.crashes.reserved.contains(&key);
            if !worker.is_usable(now.mono) || !worker.group.is_empty() {
                continue;
            }
            let left = f64::from(worker.free().cpu);
            used += f64::from(worker.capacity.cpu) - left;
            free += if reserved { 0.0 } else { left };
        }
        let (demand, at) = self.crashes.demand;
        let age = now.since(at).as_secs_f64();
        let demand = used.max(demand * (-age / DEMAND_DECAY.as_secs_f64()).exp());
        self.crashes.demand = (demand, now.mono);
        self.crashes.spare = free > demand * SPARE_FACTOR;
    }

    /// Chooses the worker for a task of a group: one that runs tasks of the group, else an idle one.
    /// Tasks of a job that may have crashed a worker use one worker at a time. Jobs of confined queues
    /// use reserved workers, a part of which is left to those that have crashed a worker, unless the job is
    /// overdue or no such worker suits the task.
    fn choose_group_worker(
        &self,
        now: Now,
        key: JobKey,
        group: &SmolStr,
        (phase, index): (u32, u32),
        overdue: bool,
    ) -> Option<WorkerKey> {
        let job = self.jobs.get(key)?;
        let spec = &job.request.phases[phase as usize];
        let confined = self.crashes.is_confined(&job.request.queue);
        let avoided = &job.task(phase, index)?.avoided_workers;
        let bound = job.isolated && job.placed_tasks > 0;
        let restricted = confined && !overdue;
        let reserved_only =
            restricted && !self.crashes.spare && self.has_reserved_for(job, phase, true);
        let spares_suspects =
            restricted && !job.isolated && self.has_reserved_for(job, phase, false);
        let mut best: Option<([bool; 3], f64, WorkerKey)> = None;
        for (worker_key, worker) in self.workers.iter() {
            if worker.service != job.queue_config.service || !worker.is_usable(now.mono) {
                continue;
            }
            let reserved = self.crashes.reserved.contains(&worker_key);
            let for_suspects = self.crashes.suspects_only.contains(&worker_key);
            if reserved_only && !reserved || spares_suspects && for_suspects {
                continue;
            }
            let joins = worker.group == *group && !worker.runs.is_empty();
            if !joins && (bound || !worker.is_idle()) || !worker.free().can_fit(spec.resources) {
                continue;
            }
            if !meets_constraints(job, spec, phase, worker_key, worker) {
                continue;
            }
            let rank = [avoided.contains(&worker_key), !joins, !reserved];
            // Different processes prefer different workers, so that they do not take the same one.
            let preference = worker.preference;
            if best.is_none_or(|best| (rank, preference) < (best.0, best.1)) {
                best = Some((rank, preference, worker_key));
            }
        }
        best.map(|(_, _, worker)| worker)
    }

    /// Returns whether a reserved worker, or one of those that are not left to suspects, could run a task of
    /// a phase.
    fn has_reserved_for(&self, job: &Job, phase: u32, with_suspects: bool) -> bool {
        let spec = &job.request.phases[phase as usize];
        let mut reserved = self.crashes.reserved.iter();
        reserved.any(|key| {
            let for_suspects = self.crashes.suspects_only.contains(key);
            (with_suspects || !for_suspects)
                && self.workers.get(*key).is_some_and(|worker| {
                    worker.service == job.queue_config.service
                        && worker.capacity.can_fit(spec.resources)
                        && meets_constraints(job, spec, phase, *key, worker)
                })
        })
    }
}
