//! The jobs of a run, made from its seed.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use smol_str::SmolStr;

use super::mix::{Kind, Mix};

/// One job to submit.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id, unique for the seed and prefix.
    pub id: SmolStr,
    /// Class.
    pub class: SmolStr,
    /// Number of tasks.
    pub tasks: u32,
    /// Longest run time of its tasks on an endpoint of normal speed: the response time with a
    /// free slot for each task.
    pub ideal: Duration,
    /// When its caller cancels it, counted from the submission.
    pub cancel: Option<Duration>,
    /// Body of the submission.
    pub body: Bytes,
}

impl Job {
    /// Result that the endpoint stand-in returns for a task of this job.
    #[must_use]
    pub fn expected(&self, index: u32) -> String {
        format!("{}/{index}", self.id)
    }
}

/// Makes `count` jobs. The same generator state gives the same jobs.
pub fn jobs(rng: &mut ChaCha8Rng, mix: &Mix, prefix: &str, count: usize) -> Vec<Job> {
    let mut jobs = Vec::with_capacity(count);
    for n in 0..count {
        let Some(kind) = pick(rng, mix) else { continue };
        jobs.push(job(rng, kind, &format!("{prefix}-{n}")));
    }
    jobs
}

fn pick<'a>(rng: &mut ChaCha8Rng, mix: &'a Mix) -> Option<&'a Kind> {
    let total: f64 = mix.kinds.iter().map(|k| k.share).sum();
    let mut rest = rng.random::<f64>() * total;
    for kind in &mix.kinds {
        rest -= kind.share;
        if rest < 0.0 {
            return Some(kind);
        }
    }
    mix.kinds.last()
}

fn job(rng: &mut ChaCha8Rng, kind: &Kind, id: &str) -> Job {
    let count = rng.random_range(kind.tasks.0..=kind.tasks.1);
    let mut longest = 0;
    let mut tasks = Vec::with_capacity(count as usize);
    for index in 0..count {
        let mut ms = rng.random_range(kind.run_ms.0..=kind.run_ms.1);
        if rng.random::<f64>() < kind.stragglers {
            ms *= kind.straggler_factor;
        }
        longest = longest.max(ms);
        let payload = json!({ "ms": ms, "result": format!("{id}/{index}") }).to_string();
        tasks.push(json!({ "payload": payload, "non_idempotent": kind.non_idempotent }));
    }
    let mut body = json!({ "id": id, "class": kind.class, "tasks": tasks });
    if let Some(team) = &kind.team {
        body["team"] = json!(team);
    }
    let cancels = rng.random::<f64>() < kind.cancelled;
    let part = Duration::from_millis(longest).mul_f64(rng.random::<f64>());
    Job {
        id: id.into(),
        class: kind.class.clone(),
        tasks: count,
        ideal: Duration::from_millis(longest),
        cancel: cancels.then_some(part),
        body: body.to_string().into(),
    }
}
