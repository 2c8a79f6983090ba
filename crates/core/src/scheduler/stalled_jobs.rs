//! Jobs that wait with nothing running, and tasks that wait beside room for them.
//!
//! The log of such a job tells apart that no worker suits it, that those that suit it are full or kept
//! for other jobs, and that placement has not come to it. Tasks that have waited beside room for long are
//! overdue, and are placed whatever the room is kept for.

use std::time::Duration;

use smol_str::SmolStr;

use super::io::Action;
use super::jobs::{Job, JobKey, Phase, Progress};
use super::machine::{Machine, log, ms};
use super::placement::meets_constraints;
use super::workers::Worker;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::job::{PhaseSpec, Resources};

/// Interval of the search for stalled jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time with nothing running from which on a job is logged.
const LOGGED_AFTER: Duration = Duration::from_millis(1_500);

/// Time after which tasks that wait beside room for them are placed whatever it is kept for. Leaves 750 ms of
/// the 3 s that are promised for the search above, an order and a start.
const OVERDUE_AFTER: Duration = Duration::from_millis(2_000);

/// Jobs that are logged in one search. Bounds the log when very many jobs wait.
const MAX_LOGGED: usize = 8;

/// What is known of jobs that wait with nothing running.
#[derive(Debug, Default)]
pub(super) struct StalledJobs {
    checked_at: Duration,
}

/// What a task requires of a worker.
#[derive(Debug, PartialEq, Eq, Hash)]
struct Requirement {
    service: SmolStr,
    label: Option<SmolStr>,
    resources: Resources,
}

impl Requirement {
    fn new(job: &Job, spec: &PhaseSpec) -> Self {
        Self {
            service: job.queue_config.service.clone(),
            label: spec.label.clone(),
            resources: spec.resources,
        }
    }

    /// Returns whether a worker meets the requirement and has room now.
    fn has_room(&self, now: Now, worker: &Worker) -> bool {
        worker.is_usable(now.mono)
            && worker.service == self.service
            && worker.has_label(self.label.as_ref())
            && worker.free().can_fit(self.resources)
    }
}

/// Workers that a waiting task may use.
#[derive(Debug, Default)]
struct Candidates {
    /// Usable workers that meet the constraints of the task.
    suitable: u32,
    /// Those of them with room for it.
    with_room: u32,
    /// Those with room that are reserved for isolated jobs.
    reserved: u32,
    /// Those with room that run isolated jobs.
    grouped: u32,
}

impl Phase {
    /// Notes that a task is sent to a worker, at whose agent it may have to wait for room.
    pub(super) fn record_order(&mut self, waits: bool) {
        self.queued = waits;
        if !waits {
            self.stalled_since = None;
        }
    }

    /// Returns whether tasks have waited beside room for them for too long.
    pub(super) fn is_overdue(&self, now: Now) -> bool {
        let stalled = self.stalled_since;
        stalled.is_some_and(|since| now.since(since) >= OVERDUE_AFTER)
    }
}

impl Job {
    /// Returns whether tasks of a phase have waited beside room for them for too long.
    pub(super) fn is_phase_overdue(&self, now: Now, phase: u32) -> bool {
        self.phases[phase as usize].is_overdue(now)
    }
}

impl Machine {
    /// Notes since when jobs have had nothing running, and logs those that have waited for long.
    pub(super) fn update_stalled_jobs(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.since(self.stalled_jobs.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.stalled_jobs.checked_at = now.mono;
        let mut stalled: Vec<JobKey> = Vec::new();
        let mut count = 0;
        let open: Vec<JobKey> = self.jobs.iter_open().map(|(key, _)| key).collect();
        for key in open {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.progress == Progress::Closed || job.waiting_tasks == 0 || job.placed_tasks > 0 {
                job.idle_since = None;
                job.stall_logged = false;
                continue;
            }
            let since = *job.idle_since.get_or_insert(now.mono);
            if now.since(since) < LOGGED_AFTER {
                continue;
            }
            count += 1;
            if !job.stall_logged && stalled.len() < MAX_LOGGED {
                job.stall_logged = true;
                stalled.push(key);
            }
        }
        self.metrics.stalled_jobs.set(count);
        self.update_stalled_phases(now);
        for key in stalled {
            if let Some(job) = self.jobs.get(key) {
                self.log_stalled_job(now, job, out);
            }
        }
    }

    /// Notes since when tasks have waited beside room for them.
    fn update_stalled_phases(&mut self, now: Now) {
        let mut rooms: DeterministicMap<Requirement, bool> = DeterministicMap::default();
        let open: Vec<JobKey> = self.jobs.iter_open().map(|(key, _)| key).collect();
        for key in open {
            for at in 0..self.jobs.get(key).map_or(0, |job| job.phases.len()) {
                let Some(job) = self.jobs.get(key) else {
                    continue;
                };
                let phase = &job.phases[at];
                let waits = phase.waiting_tasks > 0 || phase.queued;
                let since = if job.progress == Progress::Closed || !waits {
                    None
                } else if phase.stalled_since.is_none() {
                    Some(now.mono)
                } else {
                    let needed = Requirement::new(job, &job.request.phases[at]);
                    let has_room = rooms.entry(needed).or_insert_with_key(|needed| {
                        let mut workers = self.workers.iter();
                        workers.any(|(_, worker)| needed.has_room(now, worker))
                    });
                    phase.stalled_since.filter(|_| *has_room).or(Some(now.mono))
                };
                if let Some(job) = self.jobs.get_mut(key) {
                    job.phases[at].stalled_since = since;
                }
            }
        }
    }

    fn log_stalled_job(&self, now: Now, job: &Job, out: &mut Vec<Action>) {
        let Some(&(phase, _)) = job.waiting_positions().first() else {
            return;
        };
        let spec = &job.request.phases[phase as usize];
        let found = self.find_candidates(now, job, phase);
        let tried = job.tried_at.map(|at| ms(now.since(at)));
        let fields = vec![
            ("job", job.request.id.to_string()),
            ("queue", job.request.queue.to_string()),
            ("phase", phase.to_string()),
            ("waiting", job.waiting_tasks.to_string()),
            (
                "idle_ms",
                job.idle_since
                    .map_or_else(String::new, |at| ms(now.since(at))),
            ),
            ("label", spec.label.clone().unwrap_or_default().to_string()),
            ("suitable", found.suitable.to_string()),
            ("with_room", found.with_room.to_string()),
            ("reserved", found.reserved.to_string()),
            ("grouped", found.grouped.to_string()),
            ("allowed", self.may_place(now, job).to_string()),
            ("tried_ms", tried.unwrap_or_default()),
        ];
        log(out, 340, "job waits with nothing running", true, fields);
    }

    /// Counts the workers that a task of a phase may use.
    fn find_candidates(&self, now: Now, job: &Job, phase: u32) -> Candidates {
        let spec = &job.request.phases[phase as usize];
        let mut found = Candidates::default();
        for (key, worker) in self.workers.iter() {
            let usable = worker.is_usable(now.mono) && worker.service == job.queue_config.service;
            if !usable || !meets_constraints(job, spec, phase, key, worker) {
                continue;
            }
            found.suitable += 1;
            if !worker.free().can_fit(spec.resources) {
                continue;
            }
            found.with_room += 1;
            found.reserved += u32::from(self.crashes.reserved.contains(&key));
            found.grouped += u32::from(!worker.group.is_empty());
        }
        found
    }
}
