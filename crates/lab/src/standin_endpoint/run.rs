//! Requests to run a task.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use knapweedwall_core::JobKey;
use smol_str::SmolStr;

use super::Outcome;
use super::ledger::Task;
use super::payload::Payload;
use super::plan::Plan;
use super::state::{State, now_micros};
use crate::http::{Answer, read_body, text};

/// Largest payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4 * 1024 * 1024;

/// Runs one task.
pub(super) async fn run(state: Arc<State>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let task = match parse(&head.headers) {
        Ok(task) => task,
        Err(reason) => return refuse(&state, reason.to_owned()),
    };
    let body = match read_body(body, MAX_PAYLOAD_BYTES).await {
        Ok(body) => body,
        Err(reason) => return refuse(&state, reason),
    };
    if ignores(&state) {
        return std::future::pending().await;
    }
    let arrived = Instant::now();
    let payload = Payload::parse(&body);
    let Some((running, plan)) = start(&state, task, &payload) else {
        return text(StatusCode::SERVICE_UNAVAILABLE, "the ledger is full");
    };
    sleep(&state, arrived, plan.run_time).await;
    running.end(plan.outcome);
    if !plan.delay.is_zero() {
        tokio::time::sleep(plan.delay).await;
    }
    answer(plan.outcome, payload)
}

/// Reads the headers of a request.
fn parse(headers: &HeaderMap) -> Result<Task, &'static str> {
    let field = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let job = field("job").and_then(|job| u128::from_str_radix(job, 16).ok());
    let index = field("index").and_then(|index| index.parse().ok());
    Ok(Task {
        job: JobKey::from(job.ok_or("the header job has no hexadecimal job key")?),
        index: index.ok_or("the header index has no number")?,
        class: SmolStr::new(field("class").ok_or("the header class is missing")?),
        marked: field("non-idempotent") == Some("true"),
    })
}

/// Answers a request that is not started.
fn refuse(state: &State, reason: String) -> Answer {
    state.lock().ledger.invalid += 1;
    text(StatusCode::BAD_REQUEST, reason)
}

/// Whether the present request is never taken up.
fn ignores(state: &State) -> bool {
    let inner = &mut *state.lock();
    inner.controls.ignore.draw(&mut inner.rng)
}

/// Records the start of a task and decides about its course.
fn start(state: &Arc<State>, task: Task, payload: &Payload) -> Option<(Running, Plan)> {
    let inner = &mut *state.lock();
    let number = inner.ledger.start(task, state.slots, now_micros())?;
    let plan = Plan::draw(&mut inner.controls, &mut inner.rng, payload);
    let running = Running {
        state: Arc::clone(state),
        number,
        outcome: Outcome::Dropped,
    };
    Some((running, plan))
}

/// Waits for the run time of a task and for the stall at its end.
async fn sleep(state: &State, arrived: Instant, run_time: Option<Duration>) {
    let end = run_time.and_then(|time| arrived.checked_add(time));
    let Some(end) = end else {
        return std::future::pending().await;
    };
    if end > arrived {
        tokio::time::sleep_until(end.into()).await;
    }
    let stall = state.lock().controls.stall;
    if let Some(left) = stall.remaining(state.opened.elapsed()) {
        tokio::time::sleep(left).await;
    }
}

/// A task that runs; its end is recorded when it is dropped, whatever the cause.
#[derive(Debug)]
struct Running {
    state: Arc<State>,
    number: usize,
    outcome: Outcome,
}

impl Running {
    /// Ends the task.
    fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.state.lock();
        inner.ledger.end(self.number, self.outcome, now_micros());
    }
}

/// Answers a task that ended.
fn answer(outcome: Outcome, payload: Payload) -> Answer {
    match outcome {
        Outcome::Reset => Answer::Reset,
        Outcome::Garbage => Answer::Raw {
            bytes: Bytes::from_static(b"\x16\x03\x00 no response \r\n\r\n"),
            reuse: false,
        },
        Outcome::Mangled => {
            let bytes = Bytes::from_static(b"\xff\xfe\xfd");
            Answer::Reply(Response::new(bytes.into()))
        }
        Outcome::Twice => twice(&payload.text()),
        Outcome::Failed => text(StatusCode::INTERNAL_SERVER_ERROR, payload.text()),
        _ => text(StatusCode::OK, payload.text()),
    }
}

/// The same response two times.
fn twice(result: &str) -> Answer {
    let length = result.len();
    let once = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{result}");
    Answer::Raw {
        bytes: once.repeat(2).into(),
        reuse: true,
    }
}
