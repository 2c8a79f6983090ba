//! Jobs held by this entry process.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use super::crash_count::CrashCount;
use super::io::CallKey;
use super::stored_job::DurableState;
use super::workers::WorkerKey;
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::job::{JobRequest, QueueConfig};
use crate::peer::LinkKey;

new_key_type! {
    /// Identifies a job within this process.
    pub(super) struct JobKey;
}

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// The task's phase depends on one that is not complete.
    Blocked,
    /// The task can run and waits for a worker.
    Waiting,
    /// The task was sent to the agent of this worker, and its end has not been reported.
    Placed(WorkerKey),
    /// The task succeeded.
    Done,
}

/// One task.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) state: TaskState,
    /// Number of the latest attempt; 0 before the first.
    pub(super) attempt: u32,
    /// Number of the latest attempt that may have ended `done` without a report; 0 if there is none.
    pub(super) unreported: u32,
    /// Number of the latest attempt whose end does not count, because the task is started again.
    pub(super) superseded: u32,
    /// Number of failed runs.
    pub(super) failures: u32,
    /// Number of the latest failed attempt.
    pub(super) last_failed_attempt: u32,
    /// Crashes of workers under its runs.
    pub(super) crashes: CrashCount,
    /// Workers on which the task failed or stalled; used only if no other worker is suitable.
    pub(super) avoided_workers: SmallVec<[WorkerKey; 2]>,
}

/// Tasks of one phase.
#[derive(Debug, Clone)]
pub(super) struct Phase {
    pub(super) tasks: Vec<Task>,
    /// Number of tasks that have not succeeded.
    pub(super) unfinished_tasks: u32,
    /// Number of tasks in [`TaskState::Waiting`].
    pub(super) waiting_tasks: u32,
    /// Whether the last order was sent to an agent without room, where it waits or from where it is returned.
    pub(super) queued: bool,
    /// Since when tasks have waited, here or at an agent, although workers that suit them had room, as of the
    /// last search for stalled jobs. Starts anew when a task is sent to a worker with room.
    pub(super) stalled_since: Option<Duration>,
}

/// Progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// No task has been placed yet.
    Queued,
    /// At least one task has been placed.
    Running,
    /// The outcome is decided. Runs that are still active are being stopped. Ended durable jobs
    /// keep this state during their retention.
    Closed,
}

/// A submission that waits until an earlier job with its id is removed.
#[derive(Debug)]
pub(super) struct Resubmission {
    pub(super) call: CallKey,
    pub(super) request: JobRequest,
    pub(super) received_at: Duration,
    /// When it arrived at the earliest.
    pub(super) arrived_at: Duration,
}

/// One job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) request: JobRequest,
    /// See [`job_hash`].
    pub(super) hash: u64,
    pub(super) queue_config: QueueConfig,
    pub(super) calls: SmallVec<[CallKey; 1]>,
    pub(super) progress: Progress,
    /// When this process received the submission.
    pub(super) submitted_at: Duration,
    /// When the submission arrived at the earliest. It may have waited unread.
    pub(super) arrived_at: Duration,
    /// When the caller first sent the submission, as far as that is known. The objective counts
    /// from then.
    pub(super) requested_at: Duration,
    /// Time at which the first task was placed.
    pub(super) first_placed_at: Option<Duration>,
    /// Response time to aim for: target + stretch * expected run time, where target and stretch are
    /// those of the queue.
    pub(super) objective: Duration,
    pub(super) phases: Vec<Phase>,
    /// Number of tasks in [`TaskState::Waiting`], or 0 once the job is stopped.
    pub(super) waiting_tasks: u32,
    /// Number of tasks in [`TaskState::Placed`].
    pub(super) placed_tasks: u32,
    /// Since when the job has had tasks to place and none placed, as of the last search for stalled jobs.
    pub(super) idle_since: Option<Duration>,
    /// Whether that was logged.
    pub(super) stall_logged: bool,
    /// When placement last tried the job.
    pub(super) tried_at: Option<Duration>,
    /// Number of attempts sent to agents.
    pub(super) starts: u32,
    /// Whether the job may have crashed a worker, so that its tasks share no worker with those of
    /// other jobs.
    pub(super) isolated: bool,
    /// Time of the last crash of a worker under the job.
    pub(super) crashed_at: Duration,
    /// Blame of the job for crashes, as added to that of its queue.
    pub(super) blame: f64,
    /// Whether at least one of the ended runs started or may have started.
    pub(super) may_have_run: bool,
    /// A later submission with the same id, processed once this job is removed.
    pub(super) resubmission: Option<Box<Resubmission>>,
    /// Requests of other entry processes to join this job, received after it was closed and answered
    /// once it is removed: connection, and number on that connection.
    pub(super) late_joins: SmallVec<[(LinkKey, u64); 1]>,
    /// Number of the first heartbeat to all entry processes that lists the job.
    pub(super) announced: Option<u64>,
    /// Whether agents stop its runs after a time limit, since not all entry processes know of the job.
    pub(super) limited: bool,
    /// Whether another entry process lists the job as well.
    pub(super) contested: bool,
    /// Set for durable jobs only.
    pub(super) durable: Option<DurableState>,
}

impl Job {
    pub(super) fn new(
        now: Duration,
        call: Option<CallKey>,
        request: JobRequest,
        queue_config: QueueConfig,
        objective: Duration,
    ) -> Self {
        let mut waiting = 0;
        let mut phases = Vec::with_capacity(request.phases.len());
        for spec in &request.phases {
            let (state, waiting_tasks) = if spec.after.is_empty() {
                (TaskState::Waiting, spec.count)
            } else {
                (TaskState::Blocked, 0)
            };
            waiting += waiting_tasks;
            let task = Task {
                state,
                attempt: 0,
                unreported: 0,
                superseded: 0,
                failures: 0,
                last_failed_attempt: 0,
                crashes: CrashCount::default(),
                avoided_workers: SmallVec::new(),
            };
            phases.push(Phase {
                tasks: vec![task; spec.count as usize],
                unfinished_tasks: spec.count,
                waiting_tasks,
                queued: false,
                stalled_since: None,
            });
        }
        Self {
            hash: job_hash(&request.id),
            request,
            queue_config,
            calls: call.into_iter().collect(),
            progress: Progress::Queued,
            submitted_at: now,
            arrived_at: now,
            requested_at: now,
            first_placed_at: None,
            objective,
            phases,
            waiting_tasks: waiting,
            placed_tasks: 0,
            idle_since: None,
            stall_logged: false,
            tried_at: None,
            starts: 0,
            isolated: false,
            crashed_at: Duration::ZERO,
            blame: 0.0,
            may_have_run: false,
            resubmission: None,
            late_joins: SmallVec::new(),
            announced: None,
            limited: false,
            contested: false,
            durable: None,
        }
    }

    pub(super) fn task(&self, phase: u32, index: u32) -> Option<&Task> {
        self.phases.get(phase as usize)?.tasks.get(index as usize)
    }

    pub(super) fn task_mut(&mut self, phase: u32, index: u32) -> Option<&mut Task> {
        let phase = self.phases.get_mut(phase as usize)?;
        phase.tasks.get_mut(index as usize)
    }

    /// Returns the phase and index of each waiting task.
    pub(super) fn waiting_positions(&self) -> Vec<(u32, u32)> {
        let mut waiting = Vec::new();
        for (phase, tasks) in self.phases.iter().enumerate() {
            for (index, task) in tasks.tasks.iter().enumerate() {
                if task.state == TaskState::Waiting {
                    waiting.push((to_u32(phase), to_u32(index)));
                }
            }
        }
        waiting
    }

    /// Returns whether no task of the job has run or is placed.
    pub(super) fn is_unstarted(&self) -> bool {
        !self.may_have_run && self.placed_tasks == 0
    }

    /// Changes the state of a task and updates the counts.
    pub(super) fn set_task_state(&mut self, phase: u32, index: u32, state: TaskState) {
        let Some(task) = self.task_mut(phase, index) else {
            return;
        };
        let previous = std::mem::replace(&mut task.state, state);
        let phase = &mut self.phases[phase as usize];
        match previous {
            TaskState::Waiting => {
                self.waiting_tasks -= 1;
                phase.waiting_tasks -= 1;
            }
            TaskState::Placed(_) => self.placed_tasks -= 1,
            TaskState::Blocked | TaskState::Done => {}
        }
        match state {
            TaskState::Waiting => {
                self.waiting_tasks += 1;
                phase.waiting_tasks += 1;
            }
            TaskState::Placed(_) => self.placed_tasks += 1,
            TaskState::Done => phase.unfinished_tasks -= 1,
            TaskState::Blocked => {}
        }
    }

    /// Returns a task to [`TaskState::Waiting`], or [`TaskState::Blocked`] if its phase is blocked.
    pub(super) fn requeue_task(&mut self, phase: u32, index: u32) {
        let state = if self.is_blocked(phase as usize) {
            TaskState::Blocked
        } else {
            TaskState::Waiting
        };
        self.set_task_state(phase, index, state);
    }

    /// Returns whether a phase depends on one that is not complete.
    fn is_blocked(&self, phase: usize) -> bool {
        let after = &self.request.phases[phase].after;
        let mut dependencies = after.iter();
        dependencies.any(|&phase| self.phases[phase as usize].unfinished_tasks > 0)
    }

    /// Moves the tasks of phases whose dependencies are complete to [`TaskState::Waiting`].
    pub(super) fn unblock_phases(&mut self) {
        for at in 0..self.phases.len() {
            if self.is_blocked(at) {
                continue;
            }
            for index in 0..self.phases[at].tasks.len() {
                if self.phases[at].tasks[index].state == TaskState::Blocked {
                    let (phase, index) = (to_u32(at), to_u32(index));
                    self.set_task_state(phase, index, TaskState::Waiting);
                }
            }
        }
    }

    /// Returns whether all tasks succeeded.
    pub(super) fn is_done(&self) -> bool {
        self.phases.iter().all(|phase| phase.unfinished_tasks == 0)
    }
}

/// Returns the hash by which a job is listed in heartbeats.
pub(super) fn job_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Converts a position or count to the width used in messages.
pub(super) fn to_u32(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

/// All jobs, including ended durable jobs within their retention.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    arena: SlotMap<JobKey, Job>,
    by_id: DeterministicMap<SmolStr, JobKey>,
    /// Durable jobs whose outcome is not decided, and all non-durable jobs. The latter are included
    /// until they are removed, even in [`Progress::Closed`].
    open: DeterministicSet<JobKey>,
    by_call: DeterministicMap<CallKey, JobKey>,
}

impl Jobs {
    pub(super) fn insert(&mut self, job: Job) -> JobKey {
        let (id, calls) = (job.request.id.clone(), job.calls.clone());
        let closed = job.progress == Progress::Closed;
        let key = self.arena.insert(job);
        self.by_id.insert(id, key);
        if !closed {
            self.open.insert(key);
        }
        for call in calls {
            self.by_call.insert(call, key);
        }
        key
    }

    pub(super) fn find(&self, id: &str) -> Option<JobKey> {
        self.by_id.get(id).copied()
    }

    /// Adds a caller that waits for the job.
    pub(super) fn add_caller(&mut self, key: JobKey, call: CallKey) {
        if let Some(job) = self.arena.get_mut(key) {
            job.calls.push(call);
            self.by_call.insert(call, key);
        }
    }

    /// Removes a caller. Returns the job that it waited for, and whether no other caller waits.
    pub(super) fn remove_caller(&mut self, call: CallKey) -> Option<(JobKey, bool)> {
        let key = self.by_call.remove(&call)?;
        let job = self.arena.get_mut(key)?;
        job.calls.retain(|waiting| *waiting != call);
        Some((key, job.calls.is_empty()))
    }

    /// Removes and returns all callers of a job.
    pub(super) fn take_calls(&mut self, key: JobKey) -> SmallVec<[CallKey; 1]> {
        let Some(job) = self.arena.get_mut(key) else {
            return SmallVec::new();
        };
        let calls = std::mem::take(&mut job.calls);
        for call in &calls {
            self.by_call.remove(call);
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
        self.by_id.remove(&job.request.id);
        self.open.remove(&key);
        Some(job)
    }

    /// Removes a durable job whose outcome is decided from the open ones. Its state can still be
    /// queried.
    pub(super) fn remove_from_open(&mut self, key: JobKey) {
        self.open.remove(&key);
    }

    /// Iterates over the open jobs, see [`Jobs::open`].
    pub(super) fn iter_open(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        let open = self.open.iter();
        open.filter_map(|&key| Some((key, self.arena.get(key)?)))
    }

    /// Iterates over all jobs, including ended ones.
    pub(super) fn iter_all(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        self.arena.iter()
    }

    /// The same, for changes.
    pub(super) fn iter_all_mut(&mut self) -> impl Iterator<Item = (JobKey, &mut Job)> {
        self.arena.iter_mut()
    }

    /// Returns the number of jobs that are not marked as ended.
    pub(super) fn open_len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether any caller waits for a job.
    pub(super) fn has_callers(&self) -> bool {
        !self.by_call.is_empty()
    }
}
