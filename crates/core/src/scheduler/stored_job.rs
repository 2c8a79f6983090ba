//! State of durable jobs, and its encoding in the rows of the store.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire as wire;
use prost::Message;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::crash_count::CrashCount;
use super::io::CallKey;
use super::jobs::{Job, Progress, Task, TaskState, to_u32};
use crate::ids::Shard;
use crate::job::{JobRequest, MAX_PHASES, MAX_TASKS, PhaseSpec, QueueConfig, shard_of};

/// Outcome of a durable job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobEnd {
    /// All tasks succeeded.
    Completed,
    /// A task failed as often as its queue allows, or its worker rejected it as invalid.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// State of a job's row in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoredState {
    /// No write of the row is confirmed. The job must not start.
    Nothing,
    /// The row exists without an outcome.
    Open,
    /// The row contains the outcome.
    Ended,
}

/// State that only durable jobs have.
#[derive(Debug)]
pub(super) struct DurableState {
    pub(super) shard: Shard,
    pub(super) stored: StoredState,
    /// Outcome, set when it is decided; it may not be stored yet.
    pub(super) end: Option<JobEnd>,
    /// Time of the submission, in milliseconds on the store's clock; 0 if unknown.
    pub(super) arrived_ms: u64,
    /// Time of the end, in milliseconds on the store's clock; 0 before the end, or if unknown.
    pub(super) ended_ms: u64,
    /// Whether the row has to be written.
    pub(super) dirty: bool,
    /// Whether the job was read from the store, so that runs of an earlier owner may exist.
    pub(super) loaded: bool,
    /// Whether attempts of unplaced tasks may have ended without a report.
    pub(super) unreported: bool,
    /// Whether attempts were superseded and the row does not say so yet. No task is started meanwhile.
    pub(super) superseding: bool,
    /// Submissions to be answered once the job is stored.
    pub(super) submit_calls: SmallVec<[CallKey; 1]>,
    /// Cancellations to be answered once the outcome is stored.
    pub(super) cancel_calls: SmallVec<[CallKey; 1]>,
    /// State queries to be answered once the outcome is stored. Queries that arrive before the
    /// outcome is decided are answered after [`super::durable_jobs::QUERY_WAIT_LIMIT`] at the
    /// latest, if the job is still running then.
    pub(super) query_calls: SmallVec<[CallKey; 1]>,
    /// Ended runs whose results are included in the next write of the row.
    pub(super) run_ends: SmallVec<[wire::RunRef; 4]>,
}

impl DurableState {
    /// Creates the state of a job that was just submitted.
    pub(super) fn new(shard: Shard, arrived_ms: u64) -> Self {
        Self {
            shard,
            stored: StoredState::Nothing,
            end: None,
            arrived_ms,
            ended_ms: 0,
            dirty: false,
            loaded: false,
            unreported: false,
            superseding: false,
            submit_calls: SmallVec::new(),
            cancel_calls: SmallVec::new(),
            query_calls: SmallVec::new(),
            run_ends: SmallVec::new(),
        }
    }
}

/// Encodes the row of a job. Returns `None` for a non-durable job.
pub(super) fn encode_job(job: &Job) -> Option<Bytes> {
    let durable = job.durable.as_ref()?;
    let request = &job.request;
    let phases = request.phases.iter().enumerate();
    let phases = phases.map(|(at, spec)| encode_phase(spec, &job.phases[at].tasks));
    let end = match durable.end {
        None => wire::JobAnswer::Unspecified,
        Some(JobEnd::Completed) => wire::JobAnswer::Completed,
        Some(JobEnd::Failed) => wire::JobAnswer::Failed,
        Some(JobEnd::Cancelled) => wire::JobAnswer::Cancelled,
    };
    let stored = wire::StoredJob {
        id: request.id.to_string(),
        queue: request.queue.to_string(),
        spec: request.spec.to_string(),
        phases: phases.collect(),
        end: end.into(),
        service: job.queue_config.service.to_string(),
        attempts: job.queue_config.attempts,
        target_ms: u32::try_from(job.queue_config.target.as_millis()).unwrap_or(u32::MAX),
        stretch: job.queue_config.stretch,
        ended_ms: durable.ended_ms,
        arrived_ms: durable.arrived_ms,
    };
    Some(stored.encode_to_vec().into())
}

fn encode_phase(spec: &PhaseSpec, tasks: &[Task]) -> wire::StoredPhase {
    let mut done = vec![0_u8; tasks.len().div_ceil(8)];
    let mut failures = Vec::new();
    for (index, task) in tasks.iter().enumerate() {
        if task.state == TaskState::Done {
            done[index / 8] |= 1 << (index % 8);
        }
        if task.failures > 0 || task.crashes.total() > 0 {
            let mut failed = wire::TaskFailures {
                index: to_u32(index),
                runs: task.failures,
                attempt: task.last_failed_attempt,
                ..wire::TaskFailures::default()
            };
            task.crashes.encode(&mut failed);
            failures.push(failed);
        }
    }
    wire::StoredPhase {
        count: spec.count,
        room: Some(spec.resources.into()),
        estimate_ms: u32::try_from(spec.estimate.as_millis()).unwrap_or(u32::MAX),
        after: spec.after.to_vec(),
        label: spec.label.clone().unwrap_or_default().into(),
        near: spec.near.clone().unwrap_or_default().into(),
        spread: spec.spread.unwrap_or_default(),
        done: done.into(),
        failures,
        superseded: encode_superseded(tasks),
    }
}

/// Encodes the superseded attempts of a phase, without trailing zeros.
fn encode_superseded(tasks: &[Task]) -> Vec<u32> {
    let count = tasks.iter().rposition(|task| task.superseded > 0);
    let tasks = tasks.iter().take(count.map_or(0, |last| last + 1));
    tasks.map(|task| task.superseded).collect()
}

/// Returns whether the row contains the superseded attempts of all tasks.
pub(super) fn contains_superseded(stored: &wire::StoredJob, job: &Job) -> bool {
    let mut phases = job.phases.iter().zip(&stored.phases);
    phases.all(|(phase, stored)| {
        let mut tasks = phase.tasks.iter().enumerate();
        tasks.all(|(index, task)| {
            let known = stored.superseded.get(index).copied();
            task.superseded <= known.unwrap_or_default()
        })
    })
}

/// Encodes the request of a job, to be forwarded to the owner of its shard.
pub(super) fn encode_request(request: &JobRequest) -> wire::StoredJob {
    let phases = request.phases.iter();
    wire::StoredJob {
        id: request.id.to_string(),
        queue: request.queue.to_string(),
        spec: request.spec.to_string(),
        phases: phases.map(|spec| encode_phase(spec, &[])).collect(),
        ..wire::StoredJob::default()
    }
}

/// Returns why a stored or forwarded job cannot be processed, if it cannot. Other programs may write to
/// the store, too.
pub(super) fn find_fault(stored: &wire::StoredJob) -> Option<&'static str> {
    if shard_of(&stored.id).is_none() {
        return Some("invalid id");
    }
    if stored.phases.len() > MAX_PHASES {
        return Some("too many phases");
    }
    let mut tasks = 0_u32;
    for (at, phase) in stored.phases.iter().enumerate() {
        tasks = tasks.saturating_add(phase.count);
        if tasks > MAX_TASKS {
            return Some("too many tasks");
        }
        if phase.after.iter().any(|earlier| *earlier as usize >= at) {
            return Some("phases out of order");
        }
    }
    None
}

/// Decodes the request of a stored or forwarded job.
pub(super) fn decode_request(stored: &wire::StoredJob) -> JobRequest {
    let phases = stored.phases.iter();
    JobRequest {
        id: stored.id.as_str().into(),
        queue: stored.queue.as_str().into(),
        spec: stored.spec.as_str().into(),
        phases: phases.map(decode_phase).collect(),
        wait: None,
        durable: true,
        unsupported: None,
    }
}

fn decode_phase(phase: &wire::StoredPhase) -> PhaseSpec {
    let text = |text: &str| (!text.is_empty()).then(|| SmolStr::from(text));
    PhaseSpec {
        count: phase.count,
        resources: phase.room.map(Into::into).unwrap_or_default(),
        estimate: Duration::from_millis(u64::from(phase.estimate_ms)),
        after: phase.after.iter().copied().collect(),
        label: text(&phase.label),
        near: text(&phase.near),
        spread: Some(phase.spread).filter(|max_per_worker| *max_per_worker > 0),
    }
}

/// Returns the configuration of a stored job's queue as of the time when the row was written.
pub(super) fn stored_queue_config(stored: &wire::StoredJob) -> QueueConfig {
    QueueConfig {
        name: stored.queue.as_str().into(),
        service: stored.service.as_str().into(),
        attempts: stored.attempts,
        target: Duration::from_millis(u64::from(stored.target_ms)),
        stretch: stored.stretch,
    }
}

/// Recreates a job from its row. `age` is the time since its submission.
pub(super) fn restore_job(
    stored: &wire::StoredJob,
    shard: Shard,
    (now, age): (Duration, Duration),
    queue_config: QueueConfig,
    objective: Duration,
) -> Job {
    let request = decode_request(stored);
    let submitted_at = now.saturating_sub(age);
    let mut job = Job::new(submitted_at, None, request, queue_config, objective);
    for (at, phase) in stored.phases.iter().enumerate() {
        let phase_at = to_u32(at);
        for index in 0..phase.count {
            let byte = phase.done.get(index as usize / 8).copied();
            if byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0) {
                job.set_task_state(phase_at, index, TaskState::Done);
            }
        }
        for (index, superseded) in phase.superseded.iter().enumerate() {
            if let Some(task) = job.task_mut(phase_at, to_u32(index)) {
                task.superseded = *superseded;
                task.attempt = *superseded;
            }
        }
        for failure in &phase.failures {
            let crashes = CrashCount::decode(failure);
            if let Some(task) = job.task_mut(phase_at, failure.index) {
                task.failures = failure.runs;
                task.attempt = task
                    .attempt
                    .max(failure.attempt)
                    .max(crashes.last_attempt());
                task.last_failed_attempt = failure.attempt;
                task.crashes = crashes;
            }
            if crashes.total() > 0 {
                job.isolated = true;
                job.crashed_at = now;
            }
        }
    }
    job.unblock_phases();
    let end = match stored.end() {
        wire::JobAnswer::Completed => Some(JobEnd::Completed),
        wire::JobAnswer::Failed => Some(JobEnd::Failed),
        wire::JobAnswer::Cancelled => Some(JobEnd::Cancelled),
        _ => None,
    };
    if end.is_some() {
        job.progress = Progress::Closed;
    }
    let mut durable = DurableState::new(shard, stored.arrived_ms);
    durable.stored = if end.is_some() {
        StoredState::Ended
    } else {
        StoredState::Open
    };
    durable.end = end;
    durable.ended_ms = stored.ended_ms;
    durable.loaded = true;
    durable.unreported = true;
    job.durable = Some(durable);
    job
}
