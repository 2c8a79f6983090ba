//! Jobs known to this process: open jobs, ended jobs whose result is stored, and collected jobs,
//! whose result has been dropped and of which little more than the id is kept.
//!
//! Each job is in exactly one of these three states.

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
use crate::deterministic::DeterministicMap;
use crate::ids::{JobId, JobKey, Shard};

new_key_type! {
    /// Key of an open job.
    pub struct JobSlot;
}

/// Agents to which tasks of a job were sent. They remember these tasks until the job is settled.
pub type AgentKeys = SmallVec<[AgentKey; 4]>;

/// Admission progress of an open job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The record is queued and not part of any write that was sent.
    Queued,
    /// The record is part of a write that was sent.
    Sent,
    /// The record is durable, so tasks may start.
    Durable,
}

/// State of a task of an open job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// Known not to have started.
    Waiting,
    /// Sent to this agent, without a result yet. Also set for a failed or cancelled task, since its
    /// job ends at once.
    Started(AgentKey),
    /// Completed by this agent with this result.
    Done(AgentKey, Bytes),
    /// Recovered in a takeover; not all agents have reported yet whether they started it.
    Unknown,
}

#[derive(Debug)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: JobId,
    /// Hash of the id.
    pub key: JobKey,
    pub shard: Shard,
    /// Job description as admitted.
    pub admit: Admit,
    /// Monotonic time of arrival at this process.
    pub arrived: Duration,
    pub admission: Admission,
    /// State of each task, by index.
    pub tasks: Vec<TaskState>,
    /// Number of tasks in state `Done`.
    pub done: u32,
    /// Requests waiting for the result.
    pub waiters: SmallVec<[Waiter; 1]>,
}

impl Job {
    /// Creates an open job with all tasks waiting.
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

    /// Returns whether all tasks have results.
    pub fn is_complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Counts started and not started tasks. Tasks in state `Unknown` count as started.
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

    /// Returns the agents to which tasks of the job were sent, as far as this process knows.
    pub fn agents_with_tasks(&self) -> AgentKeys {
        let mut agents = AgentKeys::new();
        for task in &self.tasks {
            let (TaskState::Started(agent) | TaskState::Done(agent, _)) = task else {
                continue;
            };
            if !agents.contains(agent) {
                agents.push(*agent);
            }
        }
        agents
    }
}

/// Outcome of an ended job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks have results.
    Complete(Vec<Bytes>),
    Failed(JobFailure),
}

/// An ended job whose result is stored.
#[derive(Debug)]
pub struct EndedJob {
    pub shard: Shard,
    /// Id chosen by the caller.
    pub id: JobId,
    /// Hash of the job description.
    pub digest: u64,
    /// Time of the end, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// Expiry of the id, in milliseconds since the Unix epoch; 0 if the caller set none.
    pub expires_ms: u64,
    pub outcome: JobOutcome,
    pub counts: TaskCounts,
    /// Monotonic time at which the result was stored by this process: the end of the job, or its
    /// restore in a takeover.
    pub stored_at: Duration,
    /// Monotonic time of the first delivery.
    pub delivered_at: Option<Duration>,
    /// Agents to notify once the end is durable.
    pub agents: AgentKeys,
    /// Whether the end record is durable.
    pub durable: bool,
    /// Requests waiting until the end is durable.
    pub waiters: SmallVec<[Waiter; 1]>,
}

impl EndedJob {
    /// Returns whether the result may be delivered now.
    ///
    /// A complete result may be delivered before its end is durable, since no task is left for
    /// another owner to start. Any other outcome may report tasks as not started, so a successor
    /// must be able to learn of the end before the reply is sent.
    pub fn can_reply(&self) -> bool {
        self.durable || matches!(self.outcome, JobOutcome::Complete(_))
    }

    /// Builds the reply with the result.
    pub fn reply(&self) -> HttpReply {
        match &self.outcome {
            JobOutcome::Complete(results) => replies::complete(self.id.as_str(), results),
            JobOutcome::Failed(failure) => replies::failed(self.id.as_str(), failure, self.counts),
        }
    }

    /// Returns the failure code, or an empty string if the job completed.
    pub fn failure_code(&self) -> SmolStr {
        match &self.outcome {
            JobOutcome::Complete(_) => SmolStr::default(),
            JobOutcome::Failed(failure) => failure.code.clone(),
        }
    }

    /// Builds the journal record of the end.
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

/// An ended job whose result is no longer stored. Its id is kept until its retention ends, so that
/// a resubmission does not run again.
#[derive(Debug, Clone)]
pub struct CollectedJob {
    pub shard: Shard,
    /// Hash of the job description.
    pub digest: u64,
    /// End of the id's retention, in milliseconds since the Unix epoch.
    pub retain_until_ms: u64,
    /// Failure code; empty if the job completed.
    pub failure_code: SmolStr,
}

/// State of a known job.
#[derive(Debug)]
enum JobEntry {
    Open(JobSlot),
    Ended(Box<EndedJob>),
    Collected(CollectedJob),
}

/// Retention times of results and ids.
#[derive(Debug, Clone, Copy)]
pub struct Retention {
    /// See [`super::Settings::id_retention`].
    pub ids: Duration,
    /// See [`super::Settings::answer_hold`].
    pub undelivered: Duration,
    /// See [`super::Settings::delivered_hold`].
    pub delivered: Duration,
}

/// All jobs known to this process.
#[derive(Debug)]
pub struct Jobs {
    open: SlotMap<JobSlot, Job>,
    by_key: DeterministicMap<JobKey, JobEntry>,
    result_expirations: BinaryHeap<Reverse<(Duration, JobKey)>>,
    id_expirations: BinaryHeap<Reverse<(u64, JobKey)>>,
    retention: Retention,
}

/// Reference to a known job.
#[derive(Debug)]
pub enum JobRef<'a> {
    /// The job is open.
    Open(&'a mut Job),
    /// The job has ended and its result is stored.
    Ended(&'a mut EndedJob),
    /// The job has ended and its result is no longer stored.
    Collected(&'a CollectedJob),
}

impl JobRef<'_> {
    /// Returns the hash of the job description.
    pub fn digest(&self) -> u64 {
        match self {
            Self::Open(job) => job.admit.digest,
            Self::Ended(ended_job) => ended_job.digest,
            Self::Collected(collected) => collected.digest,
        }
    }
}

impl Jobs {
    pub fn new(retention: Retention) -> Self {
        Self {
            open: SlotMap::with_key(),
            by_key: DeterministicMap::default(),
            result_expirations: BinaryHeap::new(),
            id_expirations: BinaryHeap::new(),
            retention,
        }
    }

    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of known ids, including those of open jobs.
    pub fn known_count(&self) -> usize {
        self.by_key.len()
    }

    /// Adds an open job. The id must not be known.
    pub fn insert(&mut self, job: Job) {
        let key = job.key;
        let slot = self.open.insert(job);
        self.by_key.insert(key, JobEntry::Open(slot));
    }

    /// Returns the known job with this key.
    pub fn find(&mut self, key: JobKey) -> Option<JobRef<'_>> {
        match self.by_key.get_mut(&key)? {
            JobEntry::Open(slot) => self.open.get_mut(*slot).map(JobRef::Open),
            JobEntry::Ended(ended_job) => Some(JobRef::Ended(ended_job)),
            JobEntry::Collected(collected) => Some(JobRef::Collected(collected)),
        }
    }

    /// Returns the open job with this key.
    pub fn open(&mut self, key: JobKey) -> Option<&mut Job> {
        match self.by_key.get(&key)? {
            JobEntry::Open(slot) => self.open.get_mut(*slot),
            _ => None,
        }
    }

    /// Returns the ended job with this key if its result is stored.
    pub fn ended_job(&mut self, key: JobKey) -> Option<&mut EndedJob> {
        match self.by_key.get_mut(&key)? {
            JobEntry::Ended(ended_job) => Some(ended_job),
            _ => None,
        }
    }

    pub fn iter_open(&self) -> impl Iterator<Item = &Job> {
        self.open.values()
    }

    /// Iterates over ended jobs with a stored result.
    pub fn iter_ended(&self) -> impl Iterator<Item = &EndedJob> {
        self.by_key.values().filter_map(|entry| match entry {
            JobEntry::Ended(ended_job) => Some(ended_job.as_ref()),
            _ => None,
        })
    }

    /// Iterates over ended jobs without a stored result.
    pub fn iter_collected(&self) -> impl Iterator<Item = (JobKey, &CollectedJob)> {
        self.by_key.iter().filter_map(|(key, entry)| match entry {
            JobEntry::Collected(collected) => Some((*key, collected)),
            _ => None,
        })
    }

    /// Removes an open job.
    pub fn remove_open(&mut self, key: JobKey) -> Option<Job> {
        let JobEntry::Open(slot) = self.by_key.get(&key)? else {
            return None;
        };
        let job = self.open.remove(*slot);
        self.by_key.remove(&key);
        job
    }

    /// Ends an open job. Its result is stored and its waiters are kept.
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
            stored_at: now.mono,
            delivered_at: None,
            durable: false,
            waiters: job.waiters,
        };
        self.insert_ended(ended_job);
        self.ended_job(key)
    }

    /// Adds an ended job with its result.
    pub fn insert_ended(&mut self, ended_job: EndedJob) {
        let key = ended_job.id.key();
        self.result_expirations.push(Reverse((
            ended_job.stored_at + self.retention.delivered,
            key,
        )));
        self.by_key
            .insert(key, JobEntry::Ended(Box::new(ended_job)));
    }

    /// Adds an ended job without its result.
    pub fn insert_collected(&mut self, key: JobKey, collected: CollectedJob) {
        self.id_expirations
            .push(Reverse((collected.retain_until_ms, key)));
        self.by_key.insert(key, JobEntry::Collected(collected));
    }

    /// Removes all jobs of a shard. Returns the open jobs and the ended jobs, which may have
    /// waiters.
    pub fn remove_shard_jobs(&mut self, shard: Shard) -> (Vec<Job>, Vec<EndedJob>) {
        let mut jobs = Vec::new();
        let mut ended = Vec::new();
        for (key, entry) in std::mem::take(&mut self.by_key) {
            match entry {
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

    /// Drops expired results and ids.
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
            let expired = matches!(
                self.by_key.get(&key),
                Some(JobEntry::Collected(job)) if job.retain_until_ms <= until_ms
            );
            if expired {
                self.by_key.remove(&key);
            }
        }
    }

    /// Drops the result of `key` if it has expired; otherwise schedules the next check.
    fn collect_if_due(&mut self, now: Now, key: JobKey) {
        let Some(JobEntry::Ended(ended_job)) = self.by_key.get(&key) else {
            return;
        };
        let due =
            ended_job
                .delivered_at
                .map_or(ended_job.stored_at + self.retention.undelivered, |at| {
                    (at + self.retention.delivered)
                        .min(ended_job.stored_at + self.retention.undelivered)
                });
        if due > now.mono {
            self.result_expirations.push(Reverse((due, key)));
            return;
        }
        let ids_ms = u64::try_from(self.retention.ids.as_millis()).unwrap_or(u64::MAX);
        let collected = CollectedJob {
            shard: ended_job.shard,
            digest: ended_job.digest,
            retain_until_ms: ended_job
                .expires_ms
                .max(ended_job.ended_ms.saturating_add(ids_ms)),
            failure_code: ended_job.failure_code(),
        };
        self.insert_collected(key, collected);
    }
}
