//! Rows of durable jobs.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire as wire;
use prost::Message;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::io::CallKey;
use super::jobs::{Job, Place, Progress, to_u32};
use crate::ids::Shard;
use crate::job::{JobRequest, PhaseSpec, QueueConfig};

/// How a durable job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// What the store has of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stored {
    /// Nothing that is known; it must not start.
    Nothing,
    /// The job, open.
    Open,
    /// The job with its end.
    Ended,
}

/// The durable side of a job.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) shard: Shard,
    pub(super) stored: Stored,
    /// How it ended, as decided.
    pub(super) end: Option<End>,
    /// Wall-clock times of its arrival and its end in milliseconds.
    pub(super) arrived_ms: u64,
    pub(super) ended_ms: u64,
    /// Whether its row is to be written.
    pub(super) dirty: bool,
    /// Whether it was read from the store: runs of earlier owners may exist.
    pub(super) loaded: bool,
    /// Callers who wait until the job is stored.
    pub(super) accepting: SmallVec<[CallKey; 1]>,
    /// Callers who wait until the cancellation is stored.
    pub(super) cancelling: SmallVec<[CallKey; 1]>,
    /// Callers who asked for the state while its end was being stored.
    pub(super) asking: SmallVec<[CallKey; 1]>,
    /// Ends of runs that the next row contains.
    pub(super) ends: SmallVec<[wire::RunRef; 4]>,
}

impl Record {
    /// A job that has just arrived.
    pub(super) fn new(shard: Shard, arrived_ms: u64) -> Self {
        Self {
            shard,
            stored: Stored::Nothing,
            end: None,
            arrived_ms,
            ended_ms: 0,
            dirty: false,
            loaded: false,
            accepting: SmallVec::new(),
            cancelling: SmallVec::new(),
            asking: SmallVec::new(),
            ends: SmallVec::new(),
        }
    }
}

/// Row of a job. None for one that is not durable.
pub(super) fn encode(job: &Job) -> Option<Bytes> {
    let record = job.record.as_ref()?;
    let request = &job.request;
    let phases = request.phases.iter().enumerate();
    let phases = phases.map(|(at, spec)| encode_phase(spec, &job.phases[at].tasks));
    let end = match record.end {
        None => wire::JobAnswer::Unspecified,
        Some(End::Completed) => wire::JobAnswer::Completed,
        Some(End::Failed) => wire::JobAnswer::Failed,
        Some(End::Cancelled) => wire::JobAnswer::Cancelled,
    };
    let stored = wire::StoredJob {
        id: request.id.to_string(),
        queue: request.queue.to_string(),
        spec: request.spec.to_string(),
        phases: phases.collect(),
        end: end.into(),
        ended_ms: record.ended_ms,
        arrived_ms: record.arrived_ms,
        service: job.rules.service.to_string(),
        attempts: job.rules.attempts,
        target_ms: u32::try_from(job.rules.target.as_millis()).unwrap_or(u32::MAX),
        stretch: job.rules.stretch,
    };
    Some(stored.encode_to_vec().into())
}

fn encode_phase(spec: &PhaseSpec, tasks: &[super::jobs::Task]) -> wire::StoredPhase {
    let mut done = vec![0_u8; tasks.len().div_ceil(8)];
    let mut failures = Vec::new();
    for (index, task) in tasks.iter().enumerate() {
        if task.place == Place::Done {
            done[index / 8] |= 1 << (index % 8);
        }
        if task.failed > 0 {
            failures.push(wire::TaskFailures {
                index: to_u32(index),
                runs: task.failed,
                attempt: task.counted,
            });
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
    }
}

/// The request of a job as it is passed on to the owner of its shard.
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

/// The request of a stored or passed on job.
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
        spread: Some(phase.spread).filter(|most| *most > 0),
    }
}

/// Rules of the queue of a stored job, as they were when it was written.
pub(super) fn stored_rules(stored: &wire::StoredJob) -> QueueConfig {
    QueueConfig {
        name: stored.queue.as_str().into(),
        service: stored.service.as_str().into(),
        attempts: stored.attempts,
        target: Duration::from_millis(u64::from(stored.target_ms)),
        stretch: stored.stretch,
    }
}

/// A job as it was read from the store. `age` is the time since its arrival.
pub(super) fn restore(
    stored: &wire::StoredJob,
    shard: Shard,
    (now, age): (Duration, Duration),
    rules: QueueConfig,
    objective: Duration,
) -> Job {
    let request = decode_request(stored);
    let arrived = now.saturating_sub(age);
    let mut job = Job::new(arrived, None, request, rules, objective);
    for (at, phase) in stored.phases.iter().enumerate() {
        let phase_at = to_u32(at);
        for index in 0..phase.count {
            let byte = phase.done.get(index as usize / 8).copied();
            if byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0) {
                job.set_place(phase_at, index, Place::Done);
            }
        }
        for failure in &phase.failures {
            if let Some(task) = job.task_mut(phase_at, failure.index) {
                task.failed = failure.runs;
                task.attempt = failure.attempt;
                task.counted = failure.attempt;
            }
        }
    }
    job.unblock();
    let end = match stored.end() {
        wire::JobAnswer::Completed => Some(End::Completed),
        wire::JobAnswer::Failed => Some(End::Failed),
        wire::JobAnswer::Cancelled => Some(End::Cancelled),
        _ => None,
    };
    if end.is_some() {
        job.progress = Progress::Closing;
    }
    let mut record = Record::new(shard, stored.arrived_ms);
    record.stored = if end.is_some() {
        Stored::Ended
    } else {
        Stored::Open
    };
    record.end = end;
    record.ended_ms = stored.ended_ms;
    record.loaded = true;
    job.record = Some(record);
    job
}
