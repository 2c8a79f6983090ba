//! Names of tasks and of their runs.

use std::fmt;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: SmolStr,
    /// Position of the phase in the job, from 0.
    pub phase: u32,
    /// Position of the task in the phase, from 0.
    pub index: u32,
}

/// One start of a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the start, from 1; rises with each start of the task.
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
