//! One caller: submits jobs one after another and judges the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::time::{sleep, timeout};

use super::connection::{Connection, Reply};
use super::job::Job;
use super::load::Shared;
use super::plan::Mix;
use super::rules::{Answer, Rule};

/// How long a caller waits for the answer to a job with short tasks, or to a question.
const WAIT: Duration = Duration::from_millis(3_000);

/// Pause before a job is submitted again after no answer, as on the platform's pages.
const RESEND: Duration = Duration::from_millis(1_300);

/// Submissions of one job.
const SUBMISSIONS: u32 = 3;

/// Time after a request's last byte in which a process that stops may not have read it.
const UNREAD: Duration = Duration::from_millis(200);

/// Longest time that a caller asks for an accepted job.
const FOLLOW_LIMIT: Duration = Duration::from_secs(25);

/// Pause between two questions for an accepted job.
const LOOK_PAUSE: Duration = Duration::from_millis(150);

/// How a caller behaves with one job.
#[derive(Debug, Clone, Copy)]
enum Manner {
    /// It waits for the answer.
    Waits,
    /// It leaves after a while.
    Leaves(Duration),
    /// It cancels the job after a while.
    Cancels(Duration),
    /// Its connection breaks after a while without the process noticing; it submits the job again at
    /// another process.
    Abandons(Duration),
}

/// One caller.
#[derive(Debug)]
pub(super) struct Caller {
    shared: Arc<Shared>,
    rng: ChaCha8Rng,
    connection: Connection,
    /// Process at which the caller has just abandoned a connection.
    former: Option<SocketAddr>,
}

impl Caller {
    pub(super) fn new(shared: Arc<Shared>, seed: u64) -> Self {
        Self {
            shared,
            rng: ChaCha8Rng::seed_from_u64(seed),
            connection: Connection::default(),
            former: None,
        }
    }

    /// Submits jobs until the load ends.
    pub(super) async fn run(mut self) {
        while !self.shared.has_ended() {
            let pause = self.shared.pause();
            let pause = pause.mul_f64(self.rng.random_range(0.2..1.8));
            sleep(pause).await;
            let abandons = self.shared.mix == Mix::Callers;
            let job = if abandons {
                Job::draw_long(&mut self.rng)
            } else {
                Job::draw(&mut self.rng)
            };
            let while_ms = Duration::from_millis(self.rng.random_range(1..400));
            let manner = match self.rng.random_range(0..20) {
                0 => Manner::Leaves(while_ms),
                1 => Manner::Cancels(while_ms),
                2 | 3 if abandons => Manner::Abandons(while_ms),
                _ => Manner::Waits,
            };
            if self.serve(&job, manner).await == Answer::Accepted {
                self.follow(&job, manner).await;
            }
        }
    }

    /// Sees one submission through; returns its last answer.
    async fn serve(&mut self, job: &Job, manner: Manner) -> Answer {
        for submission in 1..=SUBMISSIONS {
            if !self.connect().await {
                sleep(RESEND).await;
                continue;
            }
            let began = Instant::now();
            let peer = self.connection.peer();
            let process = peer.map(|peer| self.shared.name(peer)).unwrap_or_default();
            self.shared.witness.submits(job);
            self.shared.witness.submitted(&job.id, &process);
            let reply = match manner {
                Manner::Abandons(after) if submission == 1 => {
                    self.former = peer;
                    self.abandon(job, after).await
                }
                _ => self.submit(job, manner).await,
            };
            let answer = answer_of(&reply);
            self.shared.witness.answered(&job.id, answer);
            self.check(job, manner, &reply, answer, began);
            let left = matches!(manner, Manner::Leaves(_) | Manner::Cancels(_));
            if left || !matches!(answer, Answer::None | Answer::GaveUp) {
                return answer;
            }
            sleep(RESEND).await;
        }
        Answer::None
    }

    /// Asks for an accepted job until it has ended, at any process.
    async fn follow(&mut self, job: &Job, manner: Manner) {
        if let Manner::Cancels(after) = manner {
            sleep(after).await;
            cancel(&self.shared, &job.id, &job.path()).await;
        }
        let accepted = Instant::now();
        while accepted.elapsed() < FOLLOW_LIMIT {
            sleep(LOOK_PAUSE).await;
            if self.rng.random_ratio(1, 4) {
                self.connection.close();
            }
            if !self.connect().await {
                continue;
            }
            let looked = Instant::now();
            let path = job.path();
            let look = self
                .connection
                .send(Method::GET, &path, String::new(), WAIT);
            let reply = look.await;
            let witness = &self.shared.witness;
            if matches!(reply, Reply::Status(410, _)) && witness.calm().is_calm(accepted) {
                let text = format!("job {} is not known after it was accepted", job.id);
                return witness.violate(Rule::Lost, text);
            }
            let answer = answer_of(&reply);
            if !matches!(
                answer,
                Answer::Completed | Answer::Failed | Answer::Cancelled
            ) {
                continue;
            }
            witness.shown(&job.id, answer);
            if witness.calm().is_calm(accepted) && looked - accepted > job.objective() {
                let took = looked - accepted;
                let text = format!("job {} ended {took:?} after it was accepted", job.id);
                witness.violate(Rule::Served, text);
            }
            return;
        }
    }

    /// Submits a job and gives up its connection, which stays open for the process.
    async fn abandon(&mut self, job: &Job, after: Duration) -> Reply {
        let path = job.path();
        let limit = self.limit(job);
        let Some(abandoned) = self.connection.abandon(&path, job.body(), limit).await else {
            return Reply::Unsent;
        };
        self.shared.keep(abandoned);
        sleep(after).await;
        Reply::Broken(after)
    }

    /// How long the caller waits for the answer.
    fn limit(&self, job: &Job) -> Duration {
        match self.shared.mix {
            Mix::Callers => job.patience(),
            Mix::All | Mix::Restarts => WAIT,
        }
    }

    async fn submit(&mut self, job: &Job, manner: Manner) -> Reply {
        let path = job.path();
        let limit = self.limit(job);
        let submission = self.connection.send(Method::POST, &path, job.body(), limit);
        match manner {
            Manner::Waits | Manner::Abandons(_) => submission.await,
            Manner::Leaves(after) => {
                let answered = timeout(after, submission).await;
                answered.unwrap_or_else(|_left| {
                    self.connection.close();
                    Reply::Late
                })
            }
            Manner::Cancels(_) if job.durable => submission.await,
            Manner::Cancels(after) => {
                let shared = Arc::clone(&self.shared);
                let (id, path) = (job.id.clone(), path.clone());
                let cancel = async move {
                    sleep(after).await;
                    cancel(&shared, &id, &path).await;
                };
                tokio::join!(submission, cancel).0
            }
        }
    }

    /// Uses the open connection, or makes one to a process that takes new ones.
    async fn connect(&mut self) -> bool {
        if self.connection.peer().is_some() {
            return true;
        }
        let position = self.rng.random_range(0..64);
        let peer = match self.former {
            Some(former) => self.shared.choose_other(position, former),
            None => self.shared.choose(position),
        };
        let connected = self.connection.connect(peer).await;
        self.former = self.former.filter(|_| !connected);
        connected
    }

    /// Checks what must hold while nothing is disturbed, and during planned work.
    fn check(&self, job: &Job, manner: Manner, reply: &Reply, answer: Answer, began: Instant) {
        let witness = &self.shared.witness;
        if matches!(manner, Manner::Leaves(_)) || !witness.calm().is_undisturbed(began) {
            return;
        }
        let id = &job.id;
        // How a second submission is answered while the first may still run is left open.
        if matches!(manner, Manner::Abandons(_)) && !matches!(reply, Reply::Late) {
            return;
        }
        if let Reply::Broken(after) = reply {
            let passed_on = witness.has_started(id);
            if passed_on || *after > UNREAD {
                let text = format!("job {id} was cut off after {after:?}");
                witness.violate(Rule::Cut, text);
            }
            return;
        }
        if matches!(reply, Reply::Late) {
            let text = format!("job {id} had no answer within its limit");
            return witness.violate(Rule::Served, text);
        }
        let cancels = matches!(manner, Manner::Cancels(_));
        if cancels || !witness.calm().is_calm(began) {
            return;
        }
        let expected = if job.durable {
            Answer::Accepted
        } else if job.fails {
            Answer::Failed
        } else {
            Answer::Completed
        };
        if answer != expected {
            let took = began.elapsed();
            let text = format!("job {id} was answered {reply:?} after {took:?}");
            witness.violate(Rule::Served, text);
        }
    }
}

/// Cancels a job at any process.
async fn cancel(shared: &Shared, id: &str, path: &str) {
    let mut connection = Connection::default();
    let position = id.len() + usize::from(id.as_bytes().first().copied().unwrap_or_default());
    if !connection.connect(shared.choose(position)).await {
        return;
    }
    let reply = connection
        .send(Method::DELETE, path, String::new(), WAIT)
        .await;
    if matches!(reply, Reply::Status(200 | 410, _)) {
        shared.witness.cancelled(id);
    }
}

fn answer_of(reply: &Reply) -> Answer {
    let Reply::Status(status, body) = reply else {
        return Answer::None;
    };
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    match (status, body["State"].as_str()) {
        (200, None) => Answer::Accepted,
        (200, Some("completed")) => Answer::Completed,
        (200, Some("failed")) => Answer::Failed,
        (200, Some("cancelled")) => Answer::Cancelled,
        (404 | 429 | 503, _) => Answer::Refused,
        _ => Answer::GaveUp,
    }
}
