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
pub type Witnesses = SmallVec<[AgentKey; 4]>;

/// How far the admission of an open job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its record waits and is in no write that was sent.
    Queued,
    /// Its record is in a write that was sent.
    Written,
    /// Its record is durable; its tasks may start.
    Active,
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
    Unaccounted,
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
    pub phase: Phase,
    /// One state for each task.
    pub tasks: Vec<TaskState>,
    /// Tasks in state `Done`.
    pub done: u32,
    /// Who waits for the answer.
    pub waiters: SmallVec<[Waiter; 1]>,
}

impl Job {
    /// An open job with all tasks waiting.
    pub fn new(id: JobId, shard: Shard, admit: Admit, arrived: Duration, phase: Phase) -> Self {
        let tasks = vec![TaskState::Waiting; admit.tasks.len()];
        let key = id.key();
        Self {
            id,
            key,
            shard,
            admit,
            arrived,
            phase,
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
    pub fn witnesses(&self) -> Witnesses {
        let mut agents = Witnesses::new();
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
pub enum Ending {
    /// Every task has a result.
    Complete(Vec<Bytes>),
    /// The job failed.
    Failed(JobFailure),
}

/// An ended job whose answer is held.
#[derive(Debug)]
pub struct Held {
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
    pub ending: Ending,
    /// Tasks by whether they were started.
    pub counts: TaskCounts,
    /// Monotonic time of the end at this process.
    pub since: Duration,
    /// Monotonic time of the first delivery.
    pub delivered: Option<Duration>,
    /// Agents to tell when the end is durable.
    pub agents: Witnesses,
    /// Whether the end is durable.
    pub durable: bool,
    /// Who waits until the end is durable.
    pub waiters: SmallVec<[Waiter; 1]>,
}

impl Held {
    /// Whether the answer may be given before the end is durable.
    ///
    /// With all results there is nothing left that another owner could start. Every other end says
    /// that some tasks were not started, which a successor must know first.
    pub fn is_final(&self) -> bool {
        self.durable || matches!(self.ending, Ending::Complete(_))
    }

    /// The answer.
    pub fn reply(&self) -> HttpReply {
        match &self.ending {
            Ending::Complete(results) => replies::complete(self.id.as_str(), results),
            Ending::Failed(failure) => replies::failed(self.id.as_str(), failure, self.counts),
        }
    }

    /// Empty when the job ended complete, else the code of the failure.
    pub fn code(&self) -> SmolStr {
        match &self.ending {
            Ending::Complete(_) => SmolStr::default(),
            Ending::Failed(failure) => failure.code.clone(),
        }
    }

    /// The record of the end for the journal.
    pub fn record(&self) -> End {
        let mut end = End {
            job: self.id.key().to_bytes(),
            ended_ms: self.ended_ms,
            started: self.counts.started,
            not_started: self.counts.not_started,
            ..End::default()
        };
        match &self.ending {
            Ending::Complete(results) => end.results.clone_from(results),
            Ending::Failed(failure) => {
                end.code = failure.code.to_string();
                end.text = failure.text.to_string();
            }
        }
        end
    }
}

/// An ended job whose answer is no longer held.
#[derive(Debug, Clone)]
pub struct Forgotten {
    /// Shard of the job.
    pub shard: Shard,
    /// Hash of the content.
    pub digest: u64,
    /// Milliseconds since 1970 from which the id is no longer remembered.
    pub until_ms: u64,
    /// Empty when it ended complete, else the code of the failure.
    pub code: SmolStr,
}

/// What is known of an id.
#[derive(Debug)]
enum Known {
    Open(JobSlot),
    Held(Box<Held>),
    Forgotten(Forgotten),
}

/// Times for which answers and ids are kept.
#[derive(Debug, Clone, Copy)]
pub struct Retention {
    /// See [`super::Settings::id_retention`].
    pub ids: Duration,
    /// See [`super::Settings::answer_hold`].
    pub answers: Duration,
    /// See [`super::Settings::delivered_hold`].
    pub delivered: Duration,
}

/// All jobs that this process knows.
#[derive(Debug)]
pub struct Jobs {
    open: SlotMap<JobSlot, Job>,
    known: KeyMap<JobKey, Known>,
    holds: BinaryHeap<Reverse<(Duration, JobKey)>>,
    ids: BinaryHeap<Reverse<(u64, JobKey)>>,
    retention: Retention,
}

/// A known job, for reading.
#[derive(Debug)]
pub enum Found<'a> {
    /// It is open.
    Open(&'a mut Job),
    /// It has ended and its answer is held.
    Held(&'a mut Held),
    /// It has ended and its answer is not held.
    Forgotten(&'a Forgotten),
}

impl Found<'_> {
    /// Hash of the content.
    pub fn digest(&self) -> u64 {
        match self {
            Self::Open(job) => job.admit.digest,
            Self::Held(held) => held.digest,
            Self::Forgotten(forgotten) => forgotten.digest,
        }
    }
}

impl Jobs {
    /// No jobs.
    pub fn new(retention: Retention) -> Self {
        Self {
            open: SlotMap::with_key(),
            known: KeyMap::default(),
            holds: BinaryHeap::new(),
            ids: BinaryHeap::new(),
            retention,
        }
    }

    /// Number of open jobs.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Number of ids known, open ones included.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    /// Adds an open job. The id must not be known.
    pub fn insert(&mut self, job: Job) {
        let key = job.key;
        let slot = self.open.insert(job);
        self.known.insert(key, Known::Open(slot));
    }

    /// What is known of `key`.
    pub fn find(&mut self, key: JobKey) -> Option<Found<'_>> {
        match self.known.get_mut(&key)? {
            Known::Open(slot) => self.open.get_mut(*slot).map(Found::Open),
            Known::Held(held) => Some(Found::Held(held)),
            Known::Forgotten(forgotten) => Some(Found::Forgotten(forgotten)),
        }
    }

    /// The open job of `key`.
    pub fn open(&mut self, key: JobKey) -> Option<&mut Job> {
        match self.known.get(&key)? {
            Known::Open(slot) => self.open.get_mut(*slot),
            _ => None,
        }
    }

    /// The held answer of `key`.
    pub fn held(&mut self, key: JobKey) -> Option<&mut Held> {
        match self.known.get_mut(&key)? {
            Known::Held(held) => Some(held),
            _ => None,
        }
    }

    /// All open jobs.
    pub fn iter_open(&self) -> impl Iterator<Item = &Job> {
        self.open.values()
    }

    /// All held answers.
    pub fn iter_held(&self) -> impl Iterator<Item = &Held> {
        self.known.values().filter_map(|known| match known {
            Known::Held(held) => Some(held.as_ref()),
            _ => None,
        })
    }

    /// All ids of ended jobs whose answers are not held.
    pub fn iter_forgotten(&self) -> impl Iterator<Item = (JobKey, &Forgotten)> {
        self.known.iter().filter_map(|(key, known)| match known {
            Known::Forgotten(forgotten) => Some((*key, forgotten)),
            _ => None,
        })
    }

    /// Removes an open job that was not admitted.
    pub fn discard(&mut self, key: JobKey) -> Option<Job> {
        let Known::Open(slot) = self.known.get(&key)? else {
            return None;
        };
        let job = self.open.remove(*slot);
        self.known.remove(&key);
        job
    }

    /// Ends an open job; its answer is held from now on, with those who waited.
    pub fn end(&mut self, now: Now, key: JobKey, ending: Ending) -> Option<&mut Held> {
        let job = self.discard(key)?;
        let held = Held {
            shard: job.shard,
            digest: job.admit.digest,
            ended_ms: now.wall_ms,
            expires_ms: job.admit.expires_ms,
            counts: job.counts(),
            agents: job.witnesses(),
            id: job.id,
            ending,
            since: now.mono,
            delivered: None,
            durable: false,
            waiters: job.waiters,
        };
        self.hold(held);
        self.held(key)
    }

    /// Adds an ended job with its answer.
    pub fn hold(&mut self, held: Held) {
        let key = held.id.key();
        self.holds
            .push(Reverse((held.since + self.retention.delivered, key)));
        self.known.insert(key, Known::Held(Box::new(held)));
    }

    /// Adds the id of an ended job.
    pub fn remember(&mut self, key: JobKey, forgotten: Forgotten) {
        self.ids.push(Reverse((forgotten.until_ms, key)));
        self.known.insert(key, Known::Forgotten(forgotten));
    }

    /// Removes all jobs of a shard; returns the open ones and those with answers on their way.
    pub fn remove_shard_jobs(&mut self, shard: Shard) -> (Vec<Job>, Vec<Held>) {
        let mut jobs = Vec::new();
        let mut ended = Vec::new();
        for (key, known) in std::mem::take(&mut self.known) {
            match known {
                Known::Open(slot) if self.open.get(slot).is_some_and(|job| job.shard == shard) => {
                    jobs.extend(self.open.remove(slot));
                }
                Known::Held(held) if held.shard == shard => ended.push(*held),
                Known::Forgotten(forgotten) if forgotten.shard == shard => {}
                other => {
                    self.known.insert(key, other);
                }
            }
        }
        (jobs, ended)
    }

    /// Drops answers and ids whose time is over.
    pub fn sweep(&mut self, now: Now) {
        while let Some(Reverse((due, key))) = self.holds.peek().copied() {
            if due > now.mono {
                break;
            }
            self.holds.pop();
            self.release(now, key);
        }
        while let Some(Reverse((until_ms, key))) = self.ids.peek().copied() {
            if until_ms > now.wall_ms {
                break;
            }
            self.ids.pop();
            if matches!(self.known.get(&key), Some(Known::Forgotten(f)) if f.until_ms <= until_ms) {
                self.known.remove(&key);
            }
        }
    }

    /// Drops the answer of `key` if its time is over, else looks again later.
    fn release(&mut self, now: Now, key: JobKey) {
        let Some(Known::Held(held)) = self.known.get(&key) else {
            return;
        };
        let due = held
            .delivered
            .map_or(held.since + self.retention.answers, |at| {
                (at + self.retention.delivered).min(held.since + self.retention.answers)
            });
        if due > now.mono {
            self.holds.push(Reverse((due, key)));
            return;
        }
        let ids_ms = u64::try_from(self.retention.ids.as_millis()).unwrap_or(u64::MAX);
        let forgotten = Forgotten {
            shard: held.shard,
            digest: held.digest,
            until_ms: held.expires_ms.max(held.ended_ms.saturating_add(ids_ms)),
            code: held.code(),
        };
        self.remember(key, forgotten);
    }
}
