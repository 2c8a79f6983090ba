//! Jobs as submitted by clients, and the queues that accept them.

use std::time::Duration;

use smallvec::SmallVec;
use smol_str::SmolStr;

use super::resources::Resources;

/// Largest number of tasks in a job.
pub const MAX_TASKS: u32 = 10_000;

/// Largest number of phases in a job.
pub const MAX_PHASES: usize = 256;

/// A submitted job. Its size and the references between its phases have been validated.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// Id of the job, chosen by the client.
    pub id: SmolStr,
    /// Name of the queue that the job is submitted to.
    pub queue: SmolStr,
    /// Specification of what the tasks run; passed to the worker unchanged.
    pub spec: SmolStr,
    /// Phases in topological order: each phase comes after those that it depends on.
    pub phases: Vec<PhaseSpec>,
    /// How long the client waits for the response; `None` if it gave no limit.
    pub wait: Option<Duration>,
    /// Whether the job survives the failure of the process that accepted it.
    pub durable: bool,
    /// Feature that the job requires and that is not implemented.
    pub unsupported: Option<UnsupportedFeature>,
}

impl JobRequest {
    /// Returns the number of tasks in all phases.
    #[must_use]
    pub fn tasks(&self) -> u32 {
        self.phases.iter().map(|phase| phase.count).sum()
    }

    /// Returns the estimated run time of the longest chain of dependent phases.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.phases.len());
        for phase in &self.phases {
            let dependency_ends = phase
                .after
                .iter()
                .filter_map(|&index| ends.get(index as usize));
            let start = dependency_ends.max().copied().unwrap_or_default();
            ends.push(start.saturating_add(phase.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

/// A phase of a job: a group of identical tasks.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PhaseSpec {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// Resources that each task requires.
    pub resources: Resources,
    /// The client's estimate of a task's run time, which can be inaccurate.
    pub estimate: Duration,
    /// Indexes of the phases that must complete before this one starts.
    pub after: SmallVec<[u32; 4]>,
    /// Label that a worker must have to run the tasks.
    pub label: Option<SmolStr>,
    /// Label of the rack that holds the input data; tasks run longer in other racks.
    pub near: Option<SmolStr>,
    /// Maximum number of tasks of the phase on one worker.
    pub spread: Option<u32>,
}

/// Features of the job model that are parsed but not implemented. A job that requires one is
/// rejected without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[non_exhaustive]
pub enum UnsupportedFeature {
    /// Tasks that must run simultaneously.
    #[display("gangs")]
    Gang,
    /// Tasks that run until their job is cancelled.
    #[display("long-running tasks")]
    LongRunning,
    /// Jobs that start at given times.
    #[display("scheduled jobs")]
    Scheduled,
    /// Low-priority tasks that use otherwise idle resources; called filling tasks in responses to
    /// clients.
    #[display("filling tasks")]
    Backfill,
}

/// Configuration of a queue.
///
/// The target response time of a job is `target` plus `stretch` times the run time of its critical
/// path.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueConfig {
    /// Name; unique in a [`QueueCatalog`].
    pub name: SmolStr,
    /// Service whose workers run the tasks.
    pub service: SmolStr,
    /// Maximum number of failed runs of a task before its job fails.
    pub attempts: u32,
    /// Part of the target response time that does not depend on the run time.
    pub target: Duration,
    /// Factor by which the run time of the critical path is multiplied.
    pub stretch: f64,
}

/// All queues of one version of the queue configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QueueCatalog {
    /// Version number, incremented by each change.
    pub version: u64,
    /// Configured queues.
    pub queues: Vec<QueueConfig>,
}

impl QueueCatalog {
    /// Returns the queue with this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&QueueConfig> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
