//! How a job ended, as its caller saw it.

use std::time::Duration;

use serde_json::Value;
use smol_str::SmolStr;

use super::plan::Job;

/// Final state of a job for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// All results are there and are those of this job.
    Complete,
    /// The job failed with this code.
    Failed {
        /// Code.
        code: SmolStr,
        /// Number of tasks that the answer says were started, if it says.
        started: Option<u64>,
    },
    /// Refused with this code and "not run"; no submission of it was ever accepted or unknown.
    Refused(SmolStr),
    /// The system says that the outcome cannot be learned.
    Unknown(SmolStr),
    /// Complete with a wrong number of results.
    Partial,
    /// Complete with a result that is not the one of its task.
    Mismatched,
    /// No final answer in time, or an accepted job that is not known any more.
    Lost(String),
}

/// A job with its ending.
#[derive(Debug, Clone)]
pub struct Record {
    /// Id of the job.
    pub id: SmolStr,
    /// Its class.
    pub class: SmolStr,
    /// Its number of tasks.
    pub tasks: u32,
    /// Ending.
    pub ending: Ending,
    /// Time from its arrival to the final answer.
    pub time: Duration,
    /// Response time with a free slot for each task.
    pub ideal: Duration,
    /// Requests beyond the first submission (queries, resubmissions).
    pub repeats: u32,
}

/// Ending that a `complete` or `failed` answer tells; none for other states.
pub(super) fn read(job: &Job, body: &Value) -> Option<Ending> {
    match body["state"].as_str()? {
        "complete" => Some(complete(job, &body["results"])),
        "failed" => Some(Ending::Failed {
            code: body["code"].as_str().unwrap_or("none").into(),
            started: body["started"].as_u64(),
        }),
        // Nobody got the answer while it was held: this caller was the only one.
        "collected" => Some(Ending::Lost("the answer is no longer held".to_owned())),
        _ => None,
    }
}

fn complete(job: &Job, results: &Value) -> Ending {
    let Some(results) = results.as_array() else {
        return Ending::Partial;
    };
    if results.len() != job.tasks as usize {
        return Ending::Partial;
    }
    for (index, result) in (0..job.tasks).zip(results) {
        if result.as_str() != Some(job.expected(index).as_str()) {
            return Ending::Mismatched;
        }
    }
    Ending::Complete
}
