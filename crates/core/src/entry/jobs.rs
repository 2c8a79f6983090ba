//! The jobs that this process knows: open ones, answers that are held, and ids of ended ones.
//!
//! Owned by the entry process's state machine; one job is in one of the three places at a time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{Admit, End};
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::agents::AgentKey;
use super::replies::{self, HttpReply, JobFailure, TaskCounts};
use super::waiters::Waiter;
use crate::clock::Now;
use crate::ids::{JobId, JobKey, Shard};
use crate::maps::KeyMap;

new_key_type! {
    /// Key of an open job.
    pub struct JobSlot;
}

/// Agents that remember tasks of a job.
pub type AgentKeys = SmallVec<[AgentKey; 4]>;

/// How far the admission of an open job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Its record waits and is in no write that was sent.
    Queued,
    /// Its record is in a write that was sent.
    Sent,
    /// Its record is durable; its tasks may start.
    Durable,
}

/// What is known of one task of an open job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// Provably not started.
    Waiting,
    /// Sent to this agent.
    Running(AgentKey),
    /// Ended with this result at this agent.
    Done(AgentKey, Bytes),
    /// After a takeover: not every agent has said whether it was started.
    Unknown,
}

/// An open job.
#[derive(Debug)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: JobId,
    /// Hash of the id.
    pub key: JobKey,
    /// Shard of the key.
    pub shard: Shard,
    /// Content as admitted.
    pub admit: Admit,
    /// Monotonic time of its arrival at this process.
    pub arrived: Duration,
    /// Progress of the admission.
    pub admission: Admission,
    /// One state for each task.
    pub tasks: Vec<TaskState>,
    /// Tasks in state `Done`.
    pub done: u32,
    /// Who waits for the answer.
    pub waiters: SmallVec<[Waiter; 1]>,
}

impl Job {
    /// An open job with all tasks waiting.
    pub fn new(
        id: JobId,
        shard: Shard,
        admit: Admit,
        arrived: Duration,
        admission: Admission,
    ) -> Self {
        let tasks = vec![TaskState::Waiting; admit.tasks.len()];
        let key = id.key();
        Self {
            id,
            key,
            shard,
            admit,
            arrived,
            admission,
            tasks,
            done: 0,
            waiters: SmallVec::new(),
        }
    }

    /// Whether all tasks have results.
    pub fn is_complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Tasks by whether they were started. Unaccounted tasks count as started.
    pub fn counts(&self) -> TaskCounts {
        let mut counts = TaskCounts::default();
        for task in &self.tasks {
            if *task == TaskState::Waiting {
                counts.not_started += 1;
            } else {
                counts.started += 1;
            }
        }
        counts
    }

    /// Agents that remember tasks of the job.
    pub fn agents_with_tasks(&self) -> AgentKeys {
        let mut agents = AgentKeys::new();
        for task in &self.tasks {
            let (TaskState::Running(agent) | TaskState::Done(agent, _)) = task else {
                continue;
            };
            if !agents.contains(agent) {
                agents.push(*agent);
            }
        }
        agents
    }
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// Every task has a result.
    Complete(Vec<Bytes>),
    /// The job failed.
    Failed(JobFailure),
}

/// An ended job whose answer is held.
#[derive(Debug)]
pub struct EndedJob {
    /// Shard of the job.
    pub shard: Shard,
    /// Id chosen by the caller.
    pub id: JobId,
    /// Hash of the content.
    pub digest: u64,
    /// Milliseconds since 1970.
    pub ended_ms: u64,
    /// Milliseconds since 1970; 0 when the caller gave none.
    pub expires_ms: u64,
    /// How it ended.
    pub outcome: JobOutcome,
    /// Tasks by whether they were started.
    pub counts: TaskCounts,
    /// Monotonic time of the end at this process.
    pub ended_at: Duration,
    /// Monotonic time of the first delivery.
    pub delivered_at: Option<Duration>,
    /// Agents to tell when the end is durable.
    pub agents: AgentKeys,
    /// Whether the end is durable.
    pub durable: bool,
    /// Who waits until the end is durable.
    pub waiters: SmallVec<[Waiter; 1]>,
}

impl EndedJob {
    /// Whether the answer may be given before the end is durable.
    ///
    /// With all results there is nothing left that another owner could start. Every other end says
    /// that some tasks were not started, which a successor must know first.
    pub fn can_reply(&self) -> bool {
        self.durable || matches!(self.outcome, JobOutcome::Complete(_))
    }

    /// The answer.
    pub fn reply(&self) -> HttpReply {
        match &self.outcome {
            JobOutcome::Complete(results) => replies::complete(self.id.as_str(), results),
            JobOutcome::Failed(failure) => replies::failed(self.id.as_str(), failure, self.counts),
        }
    }

    /// Empty when the job ended complete, else the code of the failure.
    pub fn failure_code(&self) -> SmolStr {
        match &self.outcome {
            JobOutcome::Complete(_) => SmolStr::default(),
            JobOutcome::Failed(failure) => failure.code.clone(),
        }
    }

    /// The record of the end for the journal.
    pub fn end_record(&self) -> End {
        let mut end = End {
            job: self.id.key().to_bytes(),
            ended_ms: self.ended_ms,
            started: self.counts.started,
            not_started: self.counts.not_started,
            ..End::default()
        };
        match &self.outcome {
            JobOutcome::Complete(results) => end.results.clone_from(results),
            JobOutcome::Failed(failure) => {
                end.code = failure.code.to_string();
                end.text = failure.text.to_string();
            }
        }
        end
    }
}

/// An ended job whose answer is no longer held.
#[derive(Debug, Clone)]
pub struct CollectedJob {
    /// Shard of the job.
    pub shard: Shard,
    /// Hash of the content.
    pub digest: u64,
    /// Milliseconds since 1970 from which the id is no longer remembered.
    pub until_ms: u64,
    /// Empty when it ended complete, else the code of the failure.
    pub failure_code: SmolStr,
}

/// What is known of an id.
#[derive(Debug)]
enum JobEntry {
    Open(JobSlot),
    Ended(Box<EndedJob>),
    Collected(CollectedJob),
}

/// Times for which answers and ids are kept.
#[derive(Debug, Clone, Copy)]
pub struct Retention {
    /// See [`super::Settings::id_retention`].
    pub ids: Duration,
    /// See [`super::Settings::answer_hold`].
    pub undelivered: Duration,
    /// See [`super::Settings::delivered_hold`].
    pub delivered: Duration,
}

/// All jobs that this process knows.
#[derive(Debug)]
pub struct Jobs {
    open: SlotMap<JobSlot, Job>,
    by_key: KeyMap<JobKey, JobEntry>,
    result_expirations: BinaryHeap<Reverse<(Duration, JobKey)>>,
    id_expirations: BinaryHeap<Reverse<(u64, JobKey)>>,
    retention: Retention,
}

/// A known job, for reading.
#[derive(Debug)]
pub enum JobRef<'a> {
    /// It is open.
    Open(&'a mut Job),
    /// It has ended and its answer is held.
    Ended(&'a mut EndedJob),
    /// It has ended and its answer is not held.
    Collected(&'a CollectedJob),
}

impl JobRef<'_> {
    /// Hash of the content.
    pub fn digest(&self) -> u64 {
        match self {
            Self::Open(job) => job.admit.digest,
            Self::Ended(ended_job) => ended_job.digest,
            Self::Collected(collected) => collected.digest,
        }
    }
}

impl Jobs {
    /// No jobs.
    pub fn new(retention: Retention) -> Self {
        Self {
            open: SlotMap::with_key(),
            by_key: KeyMap::default(),
            result_expirations: BinaryHeap::new(),
            id_expirations: BinaryHeap::new(),
            retention,
        }
    }

    /// Number of open jobs.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Number of ids known, open ones included.
    pub fn known_count(&self) -> usize {
        self.by_key.len()
    }

    /// Adds an open job. The id must not be known.
    pub fn insert(&mut self, job: Job) {
        let key = job.key;
        let slot = self.open.insert(job);
        self.by_key.insert(key, JobEntry::Open(slot));
    }

    /// What is known of `key`.
    pub fn find(&mut self, key: JobKey) -> Option<JobRef<'_>> {
        match self.by_key.get_mut(&key)? {
            JobEntry::Open(slot) => self.open.get_mut(*slot).map(JobRef::Open),
            JobEntry::Ended(ended_job) => Some(JobRef::Ended(ended_job)),
            JobEntry::Collected(collected) => Some(JobRef::Collected(collected)),
        }
    }

    /// The open job of `key`.
    pub fn open(&mut self, key: JobKey) -> Option<&mut Job> {
        match self.by_key.get(&key)? {
            JobEntry::Open(slot) => self.open.get_mut(*slot),
            _ => None,
        }
    }

    /// The held answer of `key`.
    pub fn ended_job(&mut self, key: JobKey) -> Option<&mut EndedJob> {
        match self.by_key.get_mut(&key)? {
            JobEntry::Ended(ended_job) => Some(ended_job),
            _ => None,
        }
    }

    /// All open jobs.
    pub fn iter_open(&self) -> impl Iterator<Item = &Job> {
        self.open.values()
    }

    /// All held answers.
    pub fn iter_ended(&self) -> impl Iterator<Item = &EndedJob> {
        self.by_key.values().filter_map(|by_key| match by_key {
            JobEntry::Ended(ended_job) => Some(ended_job.as_ref()),
            _ => None,
        })
    }

    /// All ids of ended jobs whose answers are not held.
    pub fn iter_collected(&self) -> impl Iterator<Item = (JobKey, &CollectedJob)> {
        self.by_key.iter().filter_map(|(key, by_key)| match by_key {
            JobEntry::Collected(collected) => Some((*key, collected)),
            _ => None,
        })
    }

    /// Removes an open job that was not admitted.
    pub fn remove_open(&mut self, key: JobKey) -> Option<Job> {
        let JobEntry::Open(slot) = self.by_key.get(&key)? else {
            return None;
        };
        let job = self.open.remove(*slot);
        self.by_key.remove(&key);
        job
    }

    /// Ends an open job; its answer is held from now on, with those who waited.
    pub fn end(&mut self, now: Now, key: JobKey, outcome: JobOutcome) -> Option<&mut EndedJob> {
        let job = self.remove_open(key)?;
        let ended_job = EndedJob {
            shard: job.shard,
            digest: job.admit.digest,
            ended_ms: now.wall_ms,
            expires_ms: job.admit.expires_ms,
            counts: job.counts(),
            agents: job.agents_with_tasks(),
            id: job.id,
            outcome,
            ended_at: now.mono,
            delivered_at: None,
            durable: false,
            waiters: job.waiters,
        };
        self.insert_ended(ended_job);
        self.ended_job(key)
    }

    /// Adds an ended job with its answer.
    pub fn insert_ended(&mut self, ended_job: EndedJob) {
        let key = ended_job.id.key();
        self.result_expirations.push(Reverse((
            ended_job.ended_at + self.retention.delivered,
            key,
        )));
        self.by_key
            .insert(key, JobEntry::Ended(Box::new(ended_job)));
    }

    /// Adds the id of an ended job.
    pub fn insert_collected(&mut self, key: JobKey, collected: CollectedJob) {
        self.id_expirations.push(Reverse((collected.until_ms, key)));
        self.by_key.insert(key, JobEntry::Collected(collected));
    }

    /// Removes all jobs of a shard; returns the open ones and those with answers on their way.
    pub fn remove_shard_jobs(&mut self, shard: Shard) -> (Vec<Job>, Vec<EndedJob>) {
        let mut jobs = Vec::new();
        let mut ended = Vec::new();
        for (key, by_key) in std::mem::take(&mut self.by_key) {
            match by_key {
                JobEntry::Open(slot)
                    if self.open.get(slot).is_some_and(|job| job.shard == shard) =>
                {
                    jobs.extend(self.open.remove(slot));
                }
                JobEntry::Ended(ended_job) if ended_job.shard == shard => ended.push(*ended_job),
                JobEntry::Collected(collected) if collected.shard == shard => {}
                other => {
                    self.by_key.insert(key, other);
                }
            }
        }
        (jobs, ended)
    }

    /// Drops answers and ids whose time is over.
    pub fn sweep(&mut self, now: Now) {
        while let Some(Reverse((due, key))) = self.result_expirations.peek().copied() {
            if due > now.mono {
                break;
            }
            self.result_expirations.pop();
            self.collect_if_due(now, key);
        }
        while let Some(Reverse((until_ms, key))) = self.id_expirations.peek().copied() {
            if until_ms > now.wall_ms {
                break;
            }
            self.id_expirations.pop();
            if matches!(self.by_key.get(&key), Some(JobEntry::Collected(job)) if job.until_ms <= until_ms)
            {
                self.by_key.remove(&key);
            }
        }
    }

    /// Drops the answer of `key` if its time is over, else looks again later.
    fn collect_if_due(&mut self, now: Now, key: JobKey) {
        let Some(JobEntry::Ended(ended_job)) = self.by_key.get(&key) else {
            return;
        };
        let due =
            ended_job
                .delivered_at
                .map_or(ended_job.ended_at + self.retention.undelivered, |at| {
                    (at + self.retention.delivered)
                        .min(ended_job.ended_at + self.retention.undelivered)
                });
        if due > now.mono {
            self.result_expirations.push(Reverse((due, key)));
            return;
        }
        let ids_ms = u64::try_from(self.retention.ids.as_millis()).unwrap_or(u64::MAX);
        let collected = CollectedJob {
            shard: ended_job.shard,
            digest: ended_job.digest,
            until_ms: ended_job
                .expires_ms
                .max(ended_job.ended_ms.saturating_add(ids_ms)),
            failure_code: ended_job.failure_code(),
        };
        self.insert_collected(key, collected);
    }
}
