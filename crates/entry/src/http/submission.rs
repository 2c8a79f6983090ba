//! Parses and validates the body of a submission.

use std::borrow::Cow;

use bytes::BytesMut;
use knapweedwall_core::JobId;
use knapweedwall_wire::{Admit, AdmitTask};
use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3Default;

use super::body;
use super::error::{ApiError, Result};

/// Maximum number of tasks of a job.
const MAX_TASKS: usize = 500;

/// Maximum size of a task's payload.
const MAX_PAYLOAD_BYTES: usize = 16 * 1024;

/// Maximum length of a class or team name.
const MAX_NAME_CHARS: usize = 64;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    class: Cow<'a, str>,
    #[serde(borrow, default)]
    team: Option<Cow<'a, str>>,
    #[serde(default)]
    expires: Option<u64>,
    #[serde(borrow)]
    tasks: Vec<Task<'a>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Task<'a> {
    #[serde(borrow)]
    payload: Cow<'a, str>,
    #[serde(default)]
    non_idempotent: bool,
}

/// Parses and checks a submission.
pub(super) fn parse(body: &[u8]) -> Result<Admit> {
    let submission: Submission<'_> =
        serde_json::from_slice(body).map_err(|error| body::json_error(&error))?;
    let id = job_id(&submission.id)?;
    check_name("class", &submission.class)?;
    let team = submission.team.unwrap_or_default();
    if !team.is_empty() {
        check_name("team", &team)?;
    }
    check_tasks(&submission.tasks)?;
    Ok(Admit {
        job: id.key().to_bytes(),
        id: submission.id.into_owned(),
        digest: digest(&submission.class, &team, &submission.tasks),
        class: submission.class.into_owned(),
        team: team.into_owned(),
        admitted_ms: 0,
        expires_ms: submission.expires.unwrap_or_default(),
        tasks: admit_tasks(&submission.tasks),
    })
}

/// Parses a job id.
pub(super) fn job_id(text: &str) -> Result<JobId> {
    let allowed = "1 to 128 characters of A-Z a-z 0-9 . _ : -";
    JobId::parse(text).map_err(|_error| ApiError::bad_field("id", &quoted_excerpt(text), allowed))
}

/// Checks the name of a class or team.
pub(super) fn check_name(field: &str, name: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    if (1..=MAX_NAME_CHARS).contains(&name.len()) && name.chars().all(allowed) {
        return Ok(());
    }
    let allowed = "1 to 64 characters of a-z 0-9 - _";
    Err(ApiError::bad_field(field, &quoted_excerpt(name), allowed))
}

/// Quotes `text` for an error message, truncated to [`MAX_NAME_CHARS`].
fn quoted_excerpt(text: &str) -> String {
    let mut excerpt: String = text.chars().take(MAX_NAME_CHARS).collect();
    if excerpt.len() < text.len() {
        excerpt.push_str("...");
    }
    format!("{excerpt:?}")
}

fn check_tasks(tasks: &[Task<'_>]) -> Result<()> {
    if tasks.is_empty() {
        return Err(ApiError::bad_field("tasks", &"none", "1 to 500 tasks"));
    }
    if tasks.len() > MAX_TASKS {
        return Err(ApiError::too_many_tasks(tasks.len(), MAX_TASKS));
    }
    for (index, task) in tasks.iter().enumerate() {
        if task.payload.len() > MAX_PAYLOAD_BYTES {
            let what = format!("tasks[{index}].payload");
            return Err(ApiError::too_large(&what, MAX_PAYLOAD_BYTES));
        }
    }
    Ok(())
}

/// Digest of the content that must match when a job is submitted again. Each text is hashed with
/// its length, so that different contents never hash the same bytes.
fn digest(class: &str, team: &str, tasks: &[Task<'_>]) -> u64 {
    let mut hash = Xxh3Default::new();
    let mut add = |text: &str| {
        hash.update(&(text.len() as u64).to_le_bytes());
        hash.update(text.as_bytes());
    };
    add(class);
    add(team);
    for task in tasks {
        add(&task.payload);
        add(if task.non_idempotent { "!" } else { "" });
    }
    hash.digest()
}

/// Copies the payloads into one allocation. Slices of the body would keep its buffer, which can be
/// much larger, in memory.
fn admit_tasks(tasks: &[Task<'_>]) -> Vec<AdmitTask> {
    let length = tasks.iter().map(|task| task.payload.len()).sum();
    let mut payloads = BytesMut::with_capacity(length);
    for task in tasks {
        payloads.extend_from_slice(task.payload.as_bytes());
    }
    let mut payloads = payloads.freeze();
    let mut admitted = Vec::with_capacity(tasks.len());
    for task in tasks {
        admitted.push(AdmitTask {
            payload: payloads.split_to(task.payload.len()),
            non_idempotent: task.non_idempotent,
        });
    }
    admitted
}
