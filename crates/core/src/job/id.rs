//! Ids of tasks and runs.

use std::fmt;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

/// Id of a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: SmolStr,
    /// Zero-based index of the phase in the job.
    pub phase: u32,
    /// Zero-based index of the task in the phase.
    pub index: u32,
}

/// Id of a run, which is one attempt at a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId {
    /// Id of the task.
    pub task: TaskId,
    /// Number of the attempt, starting at 1 and incremented by each start of the task.
    pub attempt: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.phase, self.index)
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}

impl From<wire::RunRef> for RunId {
    fn from(run: wire::RunRef) -> Self {
        Self {
            task: TaskId {
                job: run.job.into(),
                phase: run.phase,
                index: run.index,
            },
            attempt: run.attempt,
        }
    }
}

impl From<&RunId> for wire::RunRef {
    fn from(run: &RunId) -> Self {
        Self {
            job: run.task.job.to_string(),
            phase: run.task.phase,
            index: run.task.index,
            attempt: run.attempt,
        }
    }
}
