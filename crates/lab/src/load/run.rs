//! Runs a plan.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::arrivals::{Arrivals, times};
use super::caller::{Entries, cancel, submit};
use super::ending::Record;
use super::mix::Mix;
use super::plan::{Job, jobs};
use crate::client::Http;

/// A load to generate.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of jobs and arrivals.
    pub seed: u64,
    /// Start of the job ids; differs between runs against the same system.
    pub prefix: String,
    /// Kinds of jobs.
    pub mix: Mix,
    /// Arrival process.
    pub arrivals: Arrivals,
    /// Number of jobs.
    pub jobs: usize,
    /// Time after which a job without a final answer counts as lost.
    pub limit: Duration,
}

/// What all callers of a run share.
#[derive(Debug)]
struct Shared {
    http: Http,
    entries: Entries,
    limit: Duration,
    done: mpsc::UnboundedSender<Record>,
}

/// Generates the load and returns the ending of every job, in order of their ends.
///
/// The returned records are unbounded in number only by `plan.jobs`. `progress` is called after
/// each ending with the number of ended jobs.
pub async fn run(plan: &Plan, entries: Entries, mut progress: impl FnMut(usize)) -> Vec<Record> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let all = jobs(&mut rng, &plan.mix, &plan.prefix, plan.jobs);
    let (done, mut ended) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared {
        http: Http::default(),
        entries,
        limit: plan.limit,
        done,
    });
    match plan.arrivals {
        Arrivals::Open { rate } => {
            let times = times(&mut rng, rate, all.len());
            tokio::spawn(open(shared, all, times));
        }
        Arrivals::Closed { callers } => {
            let mut shares: Vec<Vec<Job>> = vec![Vec::new(); callers.max(1)];
            for (n, job) in all.into_iter().enumerate() {
                shares[n % callers.max(1)].push(job);
            }
            for share in shares {
                tokio::spawn(closed(Arc::clone(&shared), share));
            }
            drop(shared);
        }
    }
    let mut records = Vec::with_capacity(plan.jobs);
    while let Some(record) = ended.recv().await {
        records.push(record);
        progress(records.len());
    }
    records
}

async fn open(shared: Arc<Shared>, jobs: Vec<Job>, times: Vec<Duration>) {
    let start = Instant::now();
    for (job, time) in jobs.into_iter().zip(times) {
        let arrival = start + time;
        sleep_until(arrival).await;
        // The response time counts from the planned arrival, so a generator that lags behind
        // shows in the figures instead of hiding the queue.
        tokio::spawn(one(Arc::clone(&shared), job, arrival));
    }
}

async fn closed(shared: Arc<Shared>, jobs: Vec<Job>) {
    for job in jobs {
        one(Arc::clone(&shared), job, Instant::now()).await;
    }
}

async fn one(shared: Arc<Shared>, job: Job, arrival: Instant) {
    let submission = submit(&shared.http, &shared.entries, &job, arrival, shared.limit);
    let (record, ()) = tokio::join!(submission, cancel(&shared.http, &shared.entries, &job));
    // The receiver lives until all senders are gone.
    let _ = shared.done.send(record);
}
