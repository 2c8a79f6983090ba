//! Stand-in of a worker: starts, stops, leases and lists, as the pages describe them, and heartbeats to
//! the agent on its machine.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request, Server};
use crate::json::Json;
use crate::record::Record;

/// CPU of a worker, in thousandths of a core.
pub const WORKER_CPU: u64 = 16_000;

const HOLD_MAX_MS: u64 = 1_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Run time on another rack than that of the data, in percent.
const REMOTE_FACTOR: u64 = 150;

/// Time that a stop takes; the pages allow `StopMs`, which is 50.
const STOP_TIME_MS: u64 = 20;

/// A run, as seen by the worker. Times are milliseconds of the record.
#[derive(Debug, Clone)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub attempt: u64,
    pub started: u64,
    pub ended: Option<u64>,
    pub how: String,
    /// When `AckCursor` reached the end of the run.
    pub noted: Option<u64>,
    /// Whether the lease lapsed after the end and before it was taken note of.
    pub lapsed_between: bool,
}

struct Active {
    /// Index in `Lifetime::runs`.
    run: usize,
    ends_at: u64,
    work_ms: u64,
    stops_at: Option<u64>,
}

#[derive(Default)]
struct Lifetime {
    fence: u64,
    /// End of the lease, on the worker's clock.
    lease_ms: Option<u64>,
    active: HashMap<(String, u64), Active>,
    /// Ends that are not forgotten: number, run index.
    finished: Vec<(u64, usize)>,
    last_number: u64,
    /// Highest attempt of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
}

struct State {
    lifetime: Lifetime,
    /// All runs of all lifetimes.
    runs: Vec<Run>,
    born_ms: u64,
    /// Difference of the time of day on the worker's machine from the true one.
    clock_step_ms: i64,
    sequence: u64,
    up: bool,
}

pub struct Settings {
    pub name: String,
    pub address: SocketAddr,
    pub agent: SocketAddr,
    /// Kind and rack.
    pub labels: Vec<&'static str>,
}

struct Inner {
    settings: Settings,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    /// Time from `started` to the start of the lifetime, at which its clock reads a second.
    clock_zero_ms: AtomicU64,
    server: Mutex<Option<Server>>,
    ended: AtomicBool,
}

#[derive(Clone)]
pub struct Worker(Arc<Inner>);

impl Worker {
    pub fn spawn(settings: Settings, record: Arc<Record>) -> io::Result<Self> {
        let worker = Self(Arc::new(Inner {
            settings,
            record,
            state: Mutex::new(State {
                lifetime: Lifetime::default(),
                runs: Vec::new(),
                born_ms: 0,
                clock_step_ms: 0,
                sequence: 0,
                up: false,
            }),
            changed: Condvar::new(),
            started: Instant::now(),
            clock_zero_ms: AtomicU64::new(0),
            server: Mutex::new(None),
            ended: AtomicBool::new(false),
        }));
        worker.start()?;
        let inner = Arc::clone(&worker.0);
        thread::spawn(move || inner.run_clock());
        let inner = Arc::clone(&worker.0);
        thread::spawn(move || inner.send_heartbeats());
        Ok(worker)
    }

    /// Starts a lifetime. It keeps the id of the worker and knows nothing of earlier ones.
    pub fn start(&self) -> io::Result<()> {
        let inner = Arc::clone(&self.0);
        let mut state = self.0.lock();
        let elapsed_ms = inner.started.elapsed().as_millis() as u64;
        inner.clock_zero_ms.store(elapsed_ms, Ordering::SeqCst);
        state.lifetime = Lifetime::default();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.unwrap_or_default().as_millis() as u64;
        state.born_ms = now_ms.saturating_add_signed(state.clock_step_ms);
        state.sequence = 0;
        let born_ms = state.born_ms;
        let server = Server::spawn(self.0.settings.address, move |request| {
            inner.handle(&request)
        })?;
        state.up = true;
        drop(state);
        if let Ok(mut present) = self.0.server.lock() {
            *present = Some(server);
        }
        self.0.record.line(&format!(
            "worker {} is up, labels {}, born {born_ms}",
            self.0.settings.name,
            self.0.settings.labels.join(" ")
        ));
        Ok(())
    }

    /// Ends the lifetime like a crash: nothing is sent, and all runs end.
    pub fn crash(&self) {
        let mut state = self.0.lock();
        if let Ok(mut server) = self.0.server.lock()
            && let Some(server) = server.take()
        {
            server.close();
        }
        state.up = false;
        let now = self.0.record.now_ms();
        let active = std::mem::take(&mut state.lifetime.active);
        for (_, active) in active {
            state.runs[active.run].ended = Some(now);
            state.runs[active.run].how = "lost with its worker".to_owned();
        }
        drop(state);
        self.0.changed.notify_all();
        self.0
            .record
            .line(&format!("worker {} crashes", self.0.settings.name));
    }

    /// Sets the time of day on the worker's machine forward or back. The worker's own clock keeps running.
    pub fn step_clock(&self, step_ms: i64) {
        self.0.lock().clock_step_ms += step_ms;
        let name = &self.0.settings.name;
        self.0.record.line(&format!(
            "the time of day on the machine of {name} jumps by {step_ms} ms"
        ));
    }

    /// Sends one heartbeat of another writer on this machine to the agent: it names a service that the
    /// configuration does not have.
    pub fn send_foreign_heartbeat(&self, address: SocketAddr) {
        let inner = &self.0;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = now.unwrap_or_default().as_millis() as u64;
        let labels = &inner.settings.labels;
        let body = heartbeat("other", address, labels, inner.clock_ms(), 1, born_ms);
        let host = [("Host", inner.settings.agent.to_string())];
        let (agent, path) = (inner.settings.agent, "/-/instances/i-other/heartbeat");
        let limit = Duration::from_millis(1_000);
        let answer = http::call(agent, "POST", path, &host, &body, limit);
        let name = &inner.settings.name;
        inner.record.line(&format!(
            "a heartbeat of another writer, service `other`, is sent from the machine of {name}: {answer:?}"
        ));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.lock().runs.clone()
    }

    pub fn shut_down(&self) {
        self.0.ended.store(true, Ordering::SeqCst);
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn clock_ms(&self) -> u64 {
        let elapsed_ms = self.started.elapsed().as_millis() as u64;
        elapsed_ms.saturating_sub(self.clock_zero_ms.load(Ordering::SeqCst)) + 1_000
    }

    /// Ends runs whose work is done, that are stopped, or whose lease has expired.
    fn run_clock(&self) {
        while !self.ended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.lock();
            if !state.up {
                continue;
            }
            let clock = self.clock_ms();
            if state.lifetime.lease_ms.is_some_and(|end| end < clock) {
                state.lifetime.lease_ms = None;
                self.record
                    .line(&format!("worker {}: the lease lapses", self.settings.name));
                for at in 0..state.lifetime.finished.len() {
                    let run = state.lifetime.finished[at].1;
                    state.runs[run].lapsed_between = true;
                }
                let keys: Vec<_> = state.lifetime.active.keys().cloned().collect();
                for key in keys {
                    self.end(&mut state, &key, "lapsed");
                }
            }
            let mut ended = Vec::new();
            for (key, active) in &state.lifetime.active {
                if active.stops_at.is_some_and(|at| at <= clock) {
                    ended.push((key.clone(), "stopped"));
                } else if active.ends_at <= clock {
                    ended.push((key.clone(), "done"));
                }
            }
            for (key, how) in ended {
                self.end(&mut state, &key, how);
            }
        }
    }

    fn end(&self, state: &mut State, key: &(String, u64), how: &str) {
        let Some(active) = state.lifetime.active.remove(key) else {
            return;
        };
        state.lifetime.last_number += 1;
        let number = state.lifetime.last_number;
        state.lifetime.finished.push((number, active.run));
        let closed = state.lifetime.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
        let run = &mut state.runs[active.run];
        run.ended = Some(self.record.now_ms());
        run.how = how.to_owned();
        let name = &self.settings.name;
        self.record.line(&format!(
            "worker {name}: run {} attempt {} ends: {how}",
            key.0, key.1
        ));
        self.changed.notify_all();
    }

    fn send_heartbeats(&self) {
        let mut last_born = 0;
        let mut next = Instant::now();
        while !self.ended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
            let mut state = self.lock();
            if state.up && state.born_ms != last_born {
                last_born = state.born_ms;
                next = Instant::now();
            }
            if !state.up || Instant::now() < next {
                continue;
            }
            state.sequence += 1;
            let labels = &self.settings.labels;
            let (clock_ms, sequence) = (self.clock_ms(), state.sequence);
            let address = self.settings.address;
            let body = heartbeat("desk", address, labels, clock_ms, sequence, state.born_ms);
            drop(state);
            let path = format!("/-/instances/i-{}/heartbeat", self.settings.name);
            let host = [("Host", self.settings.agent.to_string())];
            let limit = Duration::from_millis(1_000);
            let sent = http::call(self.settings.agent, "POST", &path, &host, &body, limit);
            // A heartbeat that is not acknowledged is repeated soon.
            let acknowledged = matches!(sent, Ok((200..=299, _)));
            let pause = if acknowledged {
                HEARTBEAT_INTERVAL
            } else {
                Duration::from_millis(300)
            };
            next = Instant::now() + pause;
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let expected = request.header("Knapweedwall-Expect-Instance");
        if expected.is_some_and(|expected| expected != format!("i-{}", self.settings.name)) {
            return Some((421, Json::object([])));
        }
        if request.path == "/healthz" {
            return Some((200, Json::object([])));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, Json::object([])));
        };
        let mut state = self.lock();
        let fence = body.get("Fence").as_u64().unwrap_or(0);
        if fence < state.lifetime.fence {
            return Some((409, self.refusal(&state, "fence")));
        }
        state.lifetime.fence = fence;
        match request.path.as_str() {
            "/-/run-start" => Some(self.start_run(&mut state, &body)),
            "/-/run-stop" => Some(self.stop_run(&mut state, &body)),
            "/-/hold" => Some(self.hold(state, &body)),
            _ => Some((404, Json::object([]))),
        }
    }

    fn refusal(&self, state: &State, reason: &str) -> Json {
        Json::object([
            ("ClockMs", Json::number(self.clock_ms())),
            ("born", Json::number(state.born_ms)),
            ("Reason", Json::text(reason)),
        ])
    }

    fn accepted(&self, state: &State) -> Json {
        Json::object([
            ("ClockMs", Json::number(self.clock_ms())),
            ("born", Json::number(state.born_ms)),
        ])
    }

    fn extend_lease(&self, state: &mut State, deadline: Option<u64>) {
        let Some(deadline) = deadline else {
            return;
        };
        let clock = self.clock_ms();
        let deadline = deadline.min(clock + HOLD_MAX_MS);
        if deadline >= clock {
            let lease = &mut state.lifetime.lease_ms;
            *lease = Some(lease.map_or(deadline, |known| known.max(deadline)));
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> (u16, Json) {
        let task = body.get("Task").as_text().to_owned();
        let (Some(attempt), Some(deadline)) = (
            body.get("Attempt").as_u64(),
            body.get("DeadlineMs").as_u64(),
        ) else {
            return (400, Json::object([]));
        };
        let key = (task.clone(), attempt);
        if state.lifetime.active.contains_key(&key) {
            self.extend_lease(state, Some(deadline));
            return (200, self.accepted(state));
        }
        let closed = state.lifetime.closed.get(&task);
        if closed.is_some_and(|closed| attempt <= *closed) {
            self.extend_lease(state, Some(deadline));
            return (409, self.refusal(state, "old"));
        }
        let clock = self.clock_ms();
        if deadline < clock {
            return (409, self.refusal(state, "late"));
        }
        self.extend_lease(state, Some(deadline));
        let work_ms = run_time_ms(body.get("Spec").as_text(), &self.settings.labels);
        state.runs.push(Run {
            worker: self.settings.name.clone(),
            task: task.clone(),
            attempt,
            started: self.record.now_ms(),
            ended: None,
            how: String::new(),
            noted: None,
            lapsed_between: false,
        });
        let run = state.runs.len() - 1;
        let active = Active {
            run,
            ends_at: clock + work_ms,
            work_ms,
            stops_at: None,
        };
        state.lifetime.active.insert(key, active);
        let name = &self.settings.name;
        self.record.line(&format!(
            "worker {name}: run {task} attempt {attempt} starts"
        ));
        (200, self.accepted(state))
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> (u16, Json) {
        let task = body.get("Task").as_text().to_owned();
        let attempt = body.get("Attempt").as_u64().unwrap_or(0);
        let closed = state.lifetime.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(attempt);
        let at = self.clock_ms() + STOP_TIME_MS;
        if let Some(active) = state.lifetime.active.get_mut(&(task.clone(), attempt)) {
            active.stops_at.get_or_insert(at);
            let name = &self.settings.name;
            self.record.line(&format!(
                "worker {name}: stop of run {task} attempt {attempt} arrives"
            ));
        }
        (200, self.accepted(state))
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> (u16, Json) {
        self.extend_lease(&mut state, body.get("DeadlineMs").as_u64());
        let cursor = body.get("AckCursor").as_u64().unwrap_or(0);
        let now = self.record.now_ms();
        let finished = std::mem::take(&mut state.lifetime.finished);
        for (number, run) in finished {
            if number > cursor {
                state.lifetime.finished.push((number, run));
                continue;
            }
            state.runs[run].noted = Some(now);
            let noted = &state.runs[run];
            self.record.line(&format!(
                "worker {}: AckCursor reaches the end of run {} attempt {}",
                noted.worker, noted.task, noted.attempt
            ));
        }
        let wait = body.get("WaitMs").as_u64().unwrap_or(0).min(2_000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let born = state.born_ms;
        while state.lifetime.finished.is_empty() && state.up && state.born_ms == born {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
        let clock = self.clock_ms();
        let running = state
            .lifetime
            .active
            .iter()
            .map(|((task, attempt), active)| {
                let left = active.ends_at.saturating_sub(clock);
                let percent = 100 - (left * 100).div_ceil(active.work_ms.max(1)).min(100);
                Json::List(vec![
                    Json::text(task),
                    Json::number(*attempt),
                    Json::text(""),
                    Json::number(percent),
                    Json::number(0),
                ])
            });
        let running = Json::List(running.collect());
        let finished = state
            .lifetime
            .finished
            .iter()
            .take(500)
            .map(|(number, run)| {
                let run = &state.runs[*run];
                Json::List(vec![
                    Json::number(*number),
                    Json::text(&run.task),
                    Json::number(run.attempt),
                    Json::text(&run.how),
                    Json::text(""),
                ])
            });
        let finished = Json::List(finished.collect());
        let answer = Json::object([
            ("ClockMs", Json::number(clock)),
            ("born", Json::number(state.born_ms)),
            ("Running", running),
            ("Finished", finished),
        ]);
        (200, answer)
    }
}

/// Returns the run time from a specification such as `work=1000 rack=r1`. On another rack than that of
/// its data, a run takes longer.
fn run_time_ms(spec: &str, labels: &[&str]) -> u64 {
    let field = |name: &str| {
        let mut words = spec.split(' ');
        words.find_map(|word| word.strip_prefix(name)).unwrap_or("")
    };
    let work_ms: u64 = field("work=").parse().unwrap_or(100);
    let rack = field("rack=");
    let remote = !rack.is_empty() && !labels.contains(&rack);
    let factor = if remote { REMOTE_FACTOR } else { 100 };
    work_ms * factor / 100
}

fn heartbeat(
    service: &str,
    address: SocketAddr,
    labels: &[&str],
    clock_ms: u64,
    sequence: u64,
    born_ms: u64,
) -> String {
    let capacity = Json::object([
        ("Cpu", Json::number(WORKER_CPU)),
        ("MemMb", Json::number(65_536)),
        ("Gpu", Json::number(0)),
    ]);
    Json::object([
        ("Service", Json::text(service)),
        ("Address", Json::text(&address.to_string())),
        ("Zone", Json::text("zone-a")),
        ("Version", Json::text("v1")),
        ("Slots", Json::number(8)),
        ("State", Json::text("ready")),
        ("ColdLeftMs", Json::number(0)),
        ("Capacity", capacity),
        (
            "Labels",
            Json::List(labels.iter().map(|label| Json::text(label)).collect()),
        ),
        ("ClockMs", Json::number(clock_ms)),
        ("Seq", Json::number(sequence)),
        ("born", Json::number(born_ms)),
    ])
    .to_string()
}
