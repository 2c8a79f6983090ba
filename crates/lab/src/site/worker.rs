//! A worker as an HTTP server that reports to the agent beside it, with faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use super::clock::WorkerClock;
use super::runs::{Refusal, RunKey, Runs, Start};
use super::watcher::Watcher;
use crate::client::Http;
use crate::http::{Answer, Gate, Handler, Server, json as answer_json, read_body};

/// Time in which a heartbeat is acknowledged.
pub(super) const BEAT_LIMIT: Duration = Duration::from_secs(1);

/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(20);

/// Longest lease.
const LEASE_MS: u64 = 1_000;

/// Longest wait of a hold.
const HOLD_WAIT: Duration = Duration::from_secs(2);

/// Pause between two looks at the lease.
const LEASE_POLL: Duration = Duration::from_millis(10);

/// Bounds of the time after which an order without an answer is carried out, in milliseconds.
const LATE_ORDER_MS: (u64, u64) = (500, 5_000);

/// Time that calls to a dark worker wait before their connection is closed.
const DARK_WAIT: Duration = Duration::from_secs(5);

/// Largest body of a call, in bytes.
const BODY_BYTES: usize = 1 << 16;

/// What a worker is.
#[derive(Debug, Clone)]
pub struct WorkerSpec {
    /// Position among the workers.
    pub index: usize,
    /// Service that it belongs to.
    pub service: &'static str,
    /// Zone.
    pub zone: String,
    /// Processor in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Speed; run times are divided by it.
    pub speed: f64,
    /// Rate of its clock.
    pub rate: f64,
    /// Address of the agent beside it.
    pub agent: SocketAddr,
}

/// Present faults of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct WorkerFaults {
    /// It answers nothing, and sends nothing.
    pub dark: bool,
    /// It declines starts.
    pub sheds: bool,
    /// Everything that it starts fails.
    pub fails: bool,
    /// Nothing that it starts ends.
    pub hangs: bool,
    /// Run times are multiplied by 1 more than this.
    pub slower: f64,
    /// Share of the orders that are not answered and carried out seconds later.
    pub late: f64,
}

/// A running worker.
#[derive(Debug)]
pub struct SiteWorker {
    pub(super) shared: Arc<Shared>,
    server: Server,
    /// Closed while no process listens at the address.
    pub(super) gate: Arc<Gate>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) spec: WorkerSpec,
    pub(super) address: Mutex<Option<SocketAddr>>,
    state: Mutex<State>,
    /// Counts ends, to wake holds that wait.
    pub(super) ends: watch::Sender<u64>,
    /// Told when the worker has started again.
    pub(super) restarted: Notify,
    pub(super) watcher: Arc<dyn Watcher>,
    pub(super) http: Http,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) runs: Runs,
    pub(super) clock: WorkerClock,
    /// Counts the lifetimes; also part of the id where that changes.
    pub(super) life: u64,
    pub(super) id: String,
    pub(super) born: u64,
    pub(super) seq: u64,
    pub(super) draining: bool,
    /// Whether the worker has crashed and not started again.
    pub(super) down: bool,
    pub(super) faults: WorkerFaults,
    pub(super) rng: ChaCha8Rng,
}

/// Body of a call.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Call {
    task: String,
    attempt: u64,
    spec: String,
    deadline_ms: Option<u64>,
    fence: u64,
    ack_cursor: u64,
    wait_ms: u64,
}

/// What a task does.
#[derive(Debug, Deserialize)]
struct Work {
    ms: u64,
    #[serde(default)]
    fails: bool,
}

impl SiteWorker {
    /// Starts a worker at `address`, which reports to its agent from now on.
    ///
    /// # Errors
    /// When the system refuses a listener.
    pub fn open(
        spec: WorkerSpec,
        address: SocketAddr,
        seed: u64,
        watcher: Arc<dyn Watcher>,
    ) -> io::Result<Self> {
        let index = spec.index;
        let clock = WorkerClock::start(1_000 * (index as u64 + 1), spec.rate);
        let shared = Arc::new(Shared {
            spec,
            address: Mutex::new(None),
            state: Mutex::new(State {
                runs: Runs::default(),
                clock,
                life: 1,
                id: format!("i-{index}-1"),
                born: unix_ms(),
                seq: 0,
                draining: false,
                down: false,
                faults: WorkerFaults::default(),
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
            ends: watch::Sender::new(0),
            restarted: Notify::new(),
            watcher,
            http: Http::default(),
        });
        let gate = Arc::new(Gate::default());
        let server = Server::open(address, Arc::clone(&shared), Arc::clone(&gate))?;
        *lock(&shared.address) = Some(server.address());
        tokio::spawn(Arc::clone(&shared).send_beats());
        tokio::spawn(Arc::clone(&shared).watch_lease());
        Ok(Self {
            shared,
            server,
            gate,
        })
    }

    /// Address of the worker.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    pub fn change(&self, change: impl FnOnce(&mut WorkerFaults)) {
        change(&mut self.shared.state().faults);
    }

    /// Runs that have not ended.
    #[must_use]
    pub fn running(&self) -> Vec<RunKey> {
        self.shared.state().runs.keys()
    }
}

impl Shared {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Ends runs whose lease has passed.
    async fn watch_lease(self: Arc<Self>) {
        loop {
            sleep(LEASE_POLL).await;
            let mut state = self.state();
            let now_ms = state.clock.now_ms();
            for run in state.runs.lapsed(now_ms) {
                self.end(&mut state, &run, "lapsed");
            }
        }
    }

    fn end(&self, state: &mut State, run: &RunKey, cause: &'static str) {
        if state.runs.end(run, cause).is_some() {
            self.watcher.ended(self.spec.index, run, cause);
            self.ends.send_modify(|ends| *ends += 1);
        }
    }

    /// Carries out a start that was sent to the lifetime `life`.
    fn start(self: &Arc<Self>, call: &Call, life: u64) -> Result<(), Refusal> {
        let mut state = self.state();
        if state.life != life {
            return Ok(());
        }
        let now_ms = state.clock.now_ms();
        let work = serde_json::from_str(&call.spec).unwrap_or(Work { ms: 1, fails: true });
        let faults = state.faults;
        let spread: f64 = state.rng.random_range(0.7..1.3);
        let factor = spread * (1.0 + faults.slower) / self.spec.speed;
        let length_ms = (work.ms as f64 * factor) as u64 + 1;
        let length_ms = Some(length_ms).filter(|_| !faults.hangs);
        let run = (call.task.clone(), call.attempt);
        let lease_ms = call.deadline_ms.unwrap_or_default();
        let start = Start {
            run: run.clone(),
            spec: call.spec.clone(),
            lease_ms: lease_ms.min(now_ms + LEASE_MS),
            fence: call.fence,
        };
        let replaced = state.runs.attempt(&run.0);
        if !state.runs.start(now_ms, start, length_ms)? {
            return Ok(());
        }
        self.watcher.started(self.spec.index, &run, &call.spec);
        if let Some(attempt) = replaced {
            // It ran until now, beside the new one for the watcher; nothing ends it later.
            let replaced = (run.0.clone(), attempt);
            self.watcher.ended(self.spec.index, &replaced, "replaced");
        }
        let fails = work.fails || faults.fails;
        if let Some(length_ms) = length_ms {
            let cause = if fails { "failed" } else { "done" };
            let wait = state.clock.until(now_ms + length_ms);
            self.end_later(&state, run, cause, wait);
        }
        Ok(())
    }

    fn end_later(
        self: &Arc<Self>,
        state: &State,
        run: RunKey,
        cause: &'static str,
        wait: Duration,
    ) {
        let (shared, life) = (Arc::clone(self), state.life);
        tokio::spawn(async move {
            sleep(wait).await;
            let mut state = shared.state();
            if state.life == life {
                shared.end(&mut state, &run, cause);
            }
        });
    }

    fn stop(self: &Arc<Self>, call: &Call, life: u64) -> Result<(), Refusal> {
        let mut state = self.state();
        if state.life != life {
            return Ok(());
        }
        let run = (call.task.clone(), call.attempt);
        if state.runs.stop(call.fence, &run)? {
            self.end_later(&state, run, "stopped", STOP_TIME);
        }
        Ok(())
    }

    async fn hold(&self, call: &Call, life: u64) -> Result<(), Refusal> {
        let mut ends = self.ends.subscribe();
        let waits = {
            let mut state = self.state();
            if state.life != life {
                return Ok(());
            }
            let now_ms = state.clock.now_ms();
            let lease = call.deadline_ms.map(|lease| lease.min(now_ms + LEASE_MS));
            let noted = state
                .runs
                .hold(now_ms, call.fence, lease, call.ack_cursor)?;
            for run in noted {
                self.watcher.noted(&run);
            }
            !state.runs.has_ends()
        };
        if waits {
            let wait = Duration::from_millis(call.wait_ms).min(HOLD_WAIT);
            // Without an end the answer lists what runs.
            let _ended = timeout(wait, ends.changed()).await;
        }
        Ok(())
    }

    fn reply(&self, refused: Option<Refusal>, lists: bool) -> Answer {
        let state = self.state();
        let now_ms = state.clock.now_ms();
        let mut body = json!({"ClockMs": now_ms, "born": state.born});
        if let Some(refusal) = refused {
            body["Reason"] = refusal.name().into();
            return answer_json(StatusCode::CONFLICT, &body);
        }
        if lists {
            let holding = state.runs.lists(now_ms);
            let running = holding.running.iter();
            let running = running.map(|(task, run, percent)| json!([task, run, "", percent]));
            body["Running"] = running.collect::<Vec<Value>>().into();
            let ended = holding.ended.iter();
            let ended = ended.map(|end| json!([end.number, end.run.0, end.run.1, end.cause, ""]));
            body["Finished"] = ended.collect::<Vec<Value>>().into();
        }
        answer_json(StatusCode::OK, &body)
    }

    /// Whether an order is left without an answer and carried out later, and when.
    fn draw_late(&self) -> Option<Duration> {
        let mut state = self.state();
        let share = state.faults.late;
        let late = share > 0.0 && state.rng.random::<f64>() < share;
        let (least, most) = LATE_ORDER_MS;
        late.then(|| Duration::from_millis(state.rng.random_range(least..most)))
    }
}

impl Handler for Shared {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = match read_body(body, BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return answer_json(StatusCode::PAYLOAD_TOO_LARGE, &error),
        };
        let (faults, id, life) = {
            let state = self.state();
            if state.down {
                return Answer::Reset;
            }
            (state.faults, state.id.clone(), state.life)
        };
        if faults.dark {
            sleep(DARK_WAIT).await;
            return Answer::Reset;
        }
        let expected = head.headers.get("knapweedwall-expect-instance");
        if expected.is_some_and(|expected| expected.as_bytes() != id.as_bytes()) {
            return answer_json(StatusCode::MISDIRECTED_REQUEST, &json!({}));
        }
        let Ok(call) = serde_json::from_slice::<Call>(&body) else {
            return answer_json(StatusCode::BAD_REQUEST, &json!({}));
        };
        let path = head.uri.path().to_owned();
        let order = matches!(path.as_str(), "/-/run-start" | "/-/run-stop");
        if faults.sheds && path == "/-/run-start" {
            return answer_json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        if order && let Some(delay) = self.draw_late() {
            tokio::spawn(async move {
                sleep(delay).await;
                let _refused = if path == "/-/run-start" {
                    self.start(&call, life)
                } else {
                    self.stop(&call, life)
                };
            });
            sleep(DARK_WAIT).await;
            return Answer::Reset;
        }
        let outcome = match path.as_str() {
            "/-/run-start" => self.start(&call, life),
            "/-/run-stop" => self.stop(&call, life),
            "/-/hold" => self.hold(&call, life).await,
            _ => return answer_json(StatusCode::NOT_FOUND, &json!({})),
        };
        let state = self.state();
        if state.faults.dark || state.life != life {
            return Answer::Reset;
        }
        drop(state);
        self.reply(outcome.err(), path == "/-/hold")
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(super) fn unix_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(passed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
