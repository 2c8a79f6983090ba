//! Jobs as callers submit them, and the queues that they are submitted to.

use std::time::Duration;

use smallvec::SmallVec;
use smol_str::SmolStr;

use super::room::Room;

/// A job as submitted; sizes and references between phases have been checked.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// Id, chosen by the caller.
    pub id: SmolStr,
    /// Name of the queue.
    pub queue: SmolStr,
    /// What the tasks run, passed on to the worker.
    pub spec: SmolStr,
    /// Phases; each comes after those that it refers to.
    pub phases: Vec<PhaseSpec>,
    /// How long the caller waits for the answer; none when it gave no limit.
    pub wait: Option<Duration>,
    /// Whether the job outlives the process that accepted it.
    pub durable: bool,
    /// What the job needs and this version does not provide.
    pub unsupported: Option<Feature>,
}

impl JobRequest {
    /// Number of tasks.
    #[must_use]
    pub fn tasks(&self) -> u32 {
        self.phases.iter().map(|phase| phase.count).sum()
    }

    /// Estimated run time of the longest chain of phases.
    #[must_use]
    pub fn longest_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.phases.len());
        for phase in &self.phases {
            let earlier = phase.after.iter().filter_map(|&at| ends.get(at as usize));
            let start = earlier.max().copied().unwrap_or_default();
            ends.push(start + phase.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

/// Equal tasks of a job.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PhaseSpec {
    /// Number of tasks; at least 1.
    pub count: u32,
    /// Room that each task takes.
    pub room: Room,
    /// Estimated run time of a task, by the caller; may be far off.
    pub estimate: Duration,
    /// Positions of earlier phases that have to be done before.
    pub after: SmallVec<[u32; 4]>,
    /// Label that the worker must have.
    pub label: Option<SmolStr>,
    /// Label of the rack where the data is; elsewhere tasks run longer.
    pub near: Option<SmolStr>,
    /// Most tasks of the phase that may run on one worker.
    pub spread: Option<u32>,
}

/// Parts of the job model that are parsed and not provided; such jobs are refused as not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[non_exhaustive]
pub enum Feature {
    /// Tasks that work only together.
    #[display("gangs")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[display("long-running tasks")]
    LongRunning,
    /// Jobs that run at given times.
    #[display("scheduled jobs")]
    Scheduled,
    /// Tasks that fill unused room.
    #[display("filling tasks")]
    Filling,
}

/// Rules of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueRules {
    /// Name, unique in a version of the configuration.
    pub name: SmolStr,
    /// Service whose workers run the tasks.
    pub service: SmolStr,
    /// Runs of a task that may fail before the job has failed.
    pub attempts: u32,
    /// Response time beyond the stretched run time.
    pub target: Duration,
    /// Response time in multiples of the longest chain of run times.
    pub stretch: f64,
}

/// The queues of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Catalog {
    /// Version; rises with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<QueueRules>,
}

impl Catalog {
    /// The queue of this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&QueueRules> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
