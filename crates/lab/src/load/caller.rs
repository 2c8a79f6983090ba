//! A caller: submits one job and does not rest before it knows the answer.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::time::{Instant, sleep};

use super::ending::{Ending, Record, read};
use super::plan::Job;
use crate::client::{Error, Http, Reply};

/// Longest wait that a request asks for; longer jobs are asked for again.
const WAIT: Duration = Duration::from_secs(10);

/// Time that a reply may take beyond the wait.
const REPLY_LIMIT: Duration = Duration::from_secs(5);

/// First and longest pause before a request is repeated.
const PAUSE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// Addresses of the entry processes, used in turn as behind a load balancer.
#[derive(Debug)]
pub struct Entries {
    urls: Vec<String>,
    next: AtomicUsize,
}

impl Entries {
    /// Entry processes at these base URLs; at least one.
    #[must_use]
    pub fn new(urls: Vec<String>) -> Self {
        Self {
            urls,
            next: AtomicUsize::new(0),
        }
    }

    /// The next of them.
    pub fn next(&self) -> &str {
        let count = self.next.fetch_add(1, Ordering::Relaxed);
        self.urls
            .get(count % self.urls.len().max(1))
            .map_or("", String::as_str)
    }
}

/// What the caller knows about its job so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Known {
    /// No submission can have taken effect.
    Nothing,
    /// A submission may have taken effect.
    Maybe,
    /// An answer said that the job runs.
    Running,
}

/// Submits `job`, which arrived at `arrival`, and repeats (the same id, at another entry process)
/// until there is a final answer or `limit` has passed.
pub(super) async fn submit(
    http: &Http,
    entries: &Entries,
    job: &Job,
    arrival: Instant,
    limit: Duration,
) -> Record {
    let mut repeats = 0;
    let ending = follow(http, entries, job, (arrival, limit), &mut repeats).await;
    Record {
        id: job.id.clone(),
        class: job.class.clone(),
        tasks: job.tasks,
        ending,
        time: arrival.elapsed(),
        ideal: job.ideal,
        repeats,
    }
}

async fn follow(
    http: &Http,
    entries: &Entries,
    job: &Job,
    (arrival, limit): (Instant, Duration),
    repeats: &mut u32,
) -> Ending {
    let mut known = Known::Nothing;
    let mut pause = PAUSE.0;
    let mut last = String::from("no request was made");
    while arrival.elapsed() <= limit {
        match request(http, entries, job, known == Known::Running).await {
            Ok(reply) => {
                if let Some(ending) = judge(job, &reply, &mut known) {
                    return ending;
                }
                last = format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body));
                if reply.status == 202 {
                    pause = PAUSE.0;
                }
            }
            Err(error) => {
                if matches!(error, Error::Reply { .. }) {
                    known = known.max(Known::Maybe);
                }
                last = error.to_string();
            }
        }
        *repeats += 1;
        sleep(pause).await;
        pause = (pause * 2).min(PAUSE.1);
    }
    Ending::Lost(format!("no answer within {limit:?}, last: {last}"))
}

/// Cancels `job` after its time and ignores the answer: the submission learns the end.
pub(super) async fn cancel(http: &Http, entries: &Entries, job: &Job) {
    let Some(after) = job.cancel else {
        return;
    };
    sleep(after).await;
    let url = format!("{}/v1/jobs/{}?wait=0ms", entries.next(), job.id);
    // A cancel that is lost leaves a job that runs to its end, which the submission accepts too.
    let _ = http
        .send(Method::DELETE, &url, Bytes::new(), REPLY_LIMIT)
        .await;
}

async fn request(http: &Http, entries: &Entries, job: &Job, asks: bool) -> Result<Reply, Error> {
    let base = entries.next();
    let wait = WAIT.as_millis();
    let limit = WAIT + REPLY_LIMIT;
    if asks {
        let url = format!("{base}/v1/jobs/{}?wait={wait}ms", job.id);
        return http.send(Method::GET, &url, Bytes::new(), limit).await;
    }
    let url = format!("{base}/v1/jobs?wait={wait}ms");
    http.send(Method::POST, &url, job.body.clone(), limit).await
}

/// Ending that a reply tells; none to ask again.
fn judge(job: &Job, reply: &Reply, known: &mut Known) -> Option<Ending> {
    let body = reply.json();
    if let Some(ending) = read(job, &body) {
        return Some(ending);
    }
    if reply.status == 202 {
        let runs = body["state"] == "running";
        *known = (*known).max(if runs { Known::Running } else { Known::Maybe });
        return None;
    }
    let code = body["error"]["code"].as_str().unwrap_or("none");
    let not_run = body["error"]["ran"] == "none";
    match *known {
        Known::Nothing if not_run => Some(Ending::Refused(code.into())),
        Known::Running if reply.status == 404 => {
            Some(Ending::Lost(format!("accepted, then {code}")))
        }
        _ if reply.status == 410 => Some(Ending::Unknown(code.into())),
        _ => {
            // A refusal of a repetition says nothing about the submission before it.
            if !not_run {
                *known = (*known).max(Known::Maybe);
            }
            None
        }
    }
}
