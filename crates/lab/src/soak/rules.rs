//! Promises that a soak checks, and answers to submissions.

use std::fmt;
use std::time::Duration;

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Rule {
    /// No task runs twice at the same time.
    Twice,
    /// No worker takes more than its room.
    Room,
    /// Phases run in their order.
    Order,
    /// At most so many tasks of a phase run on one worker.
    Spread,
    /// Only what was submitted runs.
    Unasked,
    /// A refusal as not run is true.
    Refused,
    /// An answer is whole and has a cause.
    Answer,
    /// An accepted job is shown as ended.
    Lost,
    /// Nothing starts after a cancellation.
    Cancelled,
    /// A worker that leaves gets no new work.
    Leaving,
    /// Planned work cuts no request.
    Cut,
    /// Every request is answered in time, and jobs are done, while nothing is disturbed.
    Served,
    /// A configuration is in force in time and never goes back.
    Configuration,
    /// Processes end only when they are told to, and then in time.
    Exit,
}

/// A broken promise.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The promise.
    pub rule: Rule,
    /// Time since the start of the soak.
    pub at: Duration,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { rule, at, text } = self;
        write!(f, "{:.3} s {rule}: {text}", at.as_secs_f64())
    }
}

/// Final answer to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// It is stored and will run.
    Accepted,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// Not run.
    Refused,
    /// Given up after tasks had run.
    GaveUp,
    /// No answer: the connection broke, or the caller left.
    None,
}
