//! Jobs that are open at this entry process.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::io::CallKey;
use super::record::Record;
use super::workers::WorkerKey;
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::job::{JobRequest, QueueConfig};

new_key_type! {
    /// One open job.
    pub(super) struct JobKey;
}

/// Where a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    /// An earlier phase is not done.
    Blocked,
    /// It waits for a worker.
    Waiting,
    /// It was ordered from the agent of this worker and its end has not been reported.
    Placed(WorkerKey),
    /// It is done.
    Done,
}

/// One task.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) place: Place,
    /// Number of the last start.
    pub(super) attempt: u32,
    /// Runs that failed, and the number of the last start among them.
    pub(super) failed: u32,
    pub(super) counted: u32,
    /// Workers on which it failed or stood still.
    pub(super) avoid: SmallVec<[WorkerKey; 2]>,
}

/// Tasks of one phase.
#[derive(Debug, Clone)]
pub(super) struct Phase {
    pub(super) tasks: Vec<Task>,
    /// Tasks that are not done.
    pub(super) open: u32,
}

/// How far a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// No task was placed.
    Queued,
    /// A task was placed.
    Running,
    /// It was answered or given up; what still runs is being stopped.
    Closing,
}

/// One job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) request: JobRequest,
    pub(super) rules: QueueConfig,
    pub(super) calls: SmallVec<[CallKey; 1]>,
    pub(super) progress: Progress,
    pub(super) arrived: Duration,
    /// When the first task was placed.
    pub(super) placed: Option<Duration>,
    /// Response time in which the answer meets the target, by what is known of run times.
    pub(super) objective: Duration,
    pub(super) phases: Vec<Phase>,
    /// Tasks that wait for a worker.
    pub(super) waiting: u32,
    /// Tasks that are placed.
    pub(super) out: u32,
    /// Starts that were ordered.
    pub(super) starts: u32,
    /// Whether a task has run, or may have.
    pub(super) ran: bool,
    /// A later submission of the same id, taken up when this one is closed.
    pub(super) next: Option<Box<(CallKey, JobRequest)>>,
    /// Set for a durable job.
    pub(super) record: Option<Record>,
}

impl Job {
    pub(super) fn new(
        now: Duration,
        call: Option<CallKey>,
        request: JobRequest,
        rules: QueueConfig,
        objective: Duration,
    ) -> Self {
        let mut waiting = 0;
        let mut phases = Vec::with_capacity(request.phases.len());
        for spec in &request.phases {
            let place = if spec.after.is_empty() {
                waiting += spec.count;
                Place::Waiting
            } else {
                Place::Blocked
            };
            let task = Task {
                place,
                attempt: 0,
                failed: 0,
                counted: 0,
                avoid: SmallVec::new(),
            };
            phases.push(Phase {
                tasks: vec![task; spec.count as usize],
                open: spec.count,
            });
        }
        Self {
            request,
            rules,
            calls: call.into_iter().collect(),
            progress: Progress::Queued,
            arrived: now,
            placed: None,
            objective,
            phases,
            waiting,
            out: 0,
            starts: 0,
            ran: false,
            next: None,
            record: None,
        }
    }

    pub(super) fn task(&self, phase: u32, index: u32) -> Option<&Task> {
        self.phases.get(phase as usize)?.tasks.get(index as usize)
    }

    pub(super) fn task_mut(&mut self, phase: u32, index: u32) -> Option<&mut Task> {
        let phase = self.phases.get_mut(phase as usize)?;
        phase.tasks.get_mut(index as usize)
    }

    /// Whether nothing of the job has run or is placed.
    pub(super) fn is_untouched(&self) -> bool {
        !self.ran && self.out == 0
    }

    /// Moves a task and keeps the counts.
    pub(super) fn set_place(&mut self, phase: u32, index: u32, place: Place) {
        let Some(task) = self.task_mut(phase, index) else {
            return;
        };
        let before = std::mem::replace(&mut task.place, place);
        match before {
            Place::Waiting => self.waiting -= 1,
            Place::Placed(_) => self.out -= 1,
            Place::Blocked | Place::Done => {}
        }
        match place {
            Place::Waiting => self.waiting += 1,
            Place::Placed(_) => self.out += 1,
            Place::Done => self.phases[phase as usize].open -= 1,
            Place::Blocked => {}
        }
    }

    /// Lets a task wait, for a worker or for an earlier phase.
    pub(super) fn wait_again(&mut self, phase: u32, index: u32) {
        let place = if self.is_blocked(phase as usize) {
            Place::Blocked
        } else {
            Place::Waiting
        };
        self.set_place(phase, index, place);
    }

    /// Whether an earlier phase is not done.
    fn is_blocked(&self, phase: usize) -> bool {
        let after = &self.request.phases[phase].after;
        let mut after = after.iter();
        after.any(|&before| self.phases[before as usize].open > 0)
    }

    /// Lets phases wait for workers whose earlier phases are done.
    pub(super) fn unblock(&mut self) {
        for at in 0..self.phases.len() {
            if self.is_blocked(at) {
                continue;
            }
            for index in 0..self.phases[at].tasks.len() {
                if self.phases[at].tasks[index].place == Place::Blocked {
                    let (phase, index) = (to_u32(at), to_u32(index));
                    self.set_place(phase, index, Place::Waiting);
                }
            }
        }
    }

    /// Whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.phases.iter().all(|phase| phase.open == 0)
    }
}

/// A position as it stands in messages.
pub(super) fn to_u32(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

/// All open jobs.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    arena: SlotMap<JobKey, Job>,
    ids: DeterministicMap<SmolStr, JobKey>,
    /// Jobs that have not ended for good.
    open: DeterministicSet<JobKey>,
    calls: DeterministicMap<CallKey, JobKey>,
}

impl Jobs {
    pub(super) fn insert(&mut self, job: Job) -> JobKey {
        let (id, calls) = (job.request.id.clone(), job.calls.clone());
        let ended = job.progress == Progress::Closing;
        let key = self.arena.insert(job);
        self.ids.insert(id, key);
        if !ended {
            self.open.insert(key);
        }
        for call in calls {
            self.calls.insert(call, key);
        }
        key
    }

    pub(super) fn find(&self, id: &str) -> Option<JobKey> {
        self.ids.get(id).copied()
    }

    /// Adds a caller that waits for the same job.
    pub(super) fn join(&mut self, key: JobKey, call: CallKey) {
        if let Some(job) = self.arena.get_mut(key) {
            job.calls.push(call);
            self.calls.insert(call, key);
        }
    }

    /// Takes a caller away that is gone; the job it waited for, and whether nobody else waits.
    pub(super) fn leave(&mut self, call: CallKey) -> Option<(JobKey, bool)> {
        let key = self.calls.remove(&call)?;
        let job = self.arena.get_mut(key)?;
        job.calls.retain(|waiting| *waiting != call);
        Some((key, job.calls.is_empty()))
    }

    /// Takes all callers of a job, to answer them.
    pub(super) fn take_calls(&mut self, key: JobKey) -> SmallVec<[CallKey; 1]> {
        let Some(job) = self.arena.get_mut(key) else {
            return SmallVec::new();
        };
        let calls = std::mem::take(&mut job.calls);
        for call in &calls {
            self.calls.remove(call);
        }
        calls
    }

    pub(super) fn get(&self, key: JobKey) -> Option<&Job> {
        self.arena.get(key)
    }

    pub(super) fn get_mut(&mut self, key: JobKey) -> Option<&mut Job> {
        self.arena.get_mut(key)
    }

    pub(super) fn remove(&mut self, key: JobKey) -> Option<Job> {
        let job = self.arena.remove(key)?;
        self.ids.remove(&job.request.id);
        self.open.remove(&key);
        Some(job)
    }

    /// Notes that a job has ended and is only kept for those who ask for it.
    pub(super) fn retire(&mut self, key: JobKey) {
        self.open.remove(&key);
    }

    /// Jobs that have not ended for good.
    pub(super) fn iter(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        let open = self.open.iter();
        open.filter_map(|&key| Some((key, self.arena.get(key)?)))
    }

    /// All jobs, also those that are only kept for those who ask for them.
    pub(super) fn iter_all(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        self.arena.iter()
    }

    /// Number of jobs that have not ended for good.
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether somebody waits for an answer.
    pub(super) fn any_caller(&self) -> bool {
        !self.calls.is_empty()
    }
}
