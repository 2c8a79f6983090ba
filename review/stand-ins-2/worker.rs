//! A worker as a process of its own. It writes what it starts and ends to standard output, one line
//! each. The `Spec` of a task is its run time in milliseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::{self, Value, number, object, text};

/// `HeartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time in which a heartbeat is acknowledged.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);

/// `HoldMaxMs`.
const LEASE_MS: u64 = 1_000;

/// Time that a stop takes; `StopMs` is 50.
const STOP_MS: u64 = 20;

/// Longest `WaitMs`.
const MAX_WAIT_MS: u64 = 2_000;

/// Most ends in one list.
const MAX_LISTED: usize = 500;

pub struct Settings {
    pub id: String,
    pub address: SocketAddr,
    /// `Control` address of the agent beside it.
    pub control: SocketAddr,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
}

struct Run {
    attempt: u64,
    started_ms: u64,
    ends_ms: u64,
    length_ms: u64,
    stopping: bool,
}

#[derive(Default)]
struct State {
    running: BTreeMap<String, Run>,
    /// Highest attempt that was stopped or has ended, by task.
    barred: BTreeMap<String, u64>,
    /// Number, task, attempt and cause of the ends that are not acknowledged.
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    fence: u64,
    lease_ms: u64,
}

struct Worker {
    settings: Settings,
    state: Mutex<State>,
    ended: Condvar,
    born: u64,
    began: Instant,
}

/// Runs until the process is killed.
pub fn run(settings: Settings) {
    let address = settings.address;
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let worker = Arc::new(Worker {
        settings,
        state: Mutex::default(),
        ended: Condvar::new(),
        born: born.map_or(0, |born| born.as_millis() as u64),
        began: Instant::now(),
    });
    let shared = Arc::clone(&worker);
    let handler = Arc::new(move |request| shared.answer(&request));
    http::serve(address, handler).expect("listener of the worker");
    let shared = Arc::clone(&worker);
    thread::spawn(move || shared.send_heartbeats());
    loop {
        thread::sleep(Duration::from_millis(2));
        worker.end_due();
    }
}

impl Worker {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Steady clock, which starts anew with the worker.
    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn send_heartbeats(&self) {
        let settings = &self.settings;
        let path = format!("/-/instances/{}/heartbeat", settings.id);
        for seq in 1.. {
            let capacity = vec![
                ("Cpu", number(settings.cpu)),
                ("MemMb", number(65_536)),
                ("Gpu", number(0)),
            ];
            let labels = settings.labels.iter().map(|label| text(label));
            let body = object(vec![
                ("Service", text(&settings.service)),
                ("Address", text(&settings.address.to_string())),
                ("Zone", text(&settings.zone)),
                ("Version", text("v1")),
                ("Slots", number(8)),
                ("State", text("ready")),
                ("ColdLeftMs", number(0)),
                ("Capacity", object(capacity)),
                ("Labels", Value::List(labels.collect())),
                ("ClockMs", number(self.now_ms())),
                ("Seq", number(seq)),
                ("born", number(self.born)),
            ]);
            let body = body.to_string();
            let target = ("POST", path.as_str(), "control");
            let sent = http::call(settings.control, target, &[], &body, HEARTBEAT_LIMIT);
            let acknowledged = sent.is_some_and(|(status, _)| status / 100 == 2);
            // Until the agent is there, the worker registers without delay.
            let first = seq < 20 && !acknowledged;
            thread::sleep(if first { HEARTBEAT / 10 } else { HEARTBEAT });
        }
    }

    /// Ends runs that are complete or stopped, or whose lease has passed.
    fn end_due(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let lapsed = now_ms >= state.lease_ms;
        let due = state.running.iter();
        let due = due.filter(|(_, run)| lapsed || run.ends_ms <= now_ms);
        let due: Vec<(String, &'static str)> = due
            .map(|(task, run)| {
                let cause = match (run.ends_ms <= now_ms, run.stopping) {
                    (false, _) => "lapsed",
                    (true, true) => "stopped",
                    (true, false) => "done",
                };
                (task.clone(), cause)
            })
            .collect();
        if due.is_empty() {
            return;
        }
        for (task, cause) in due {
            if let Some(run) = state.running.remove(&task) {
                let barred = state.barred.entry(task.clone()).or_default();
                *barred = (*barred).max(run.attempt);
                state.ends += 1;
                println!("end {task} {} {cause}", run.attempt);
                let number = state.ends;
                state.ended.push((number, task, run.attempt, cause));
            }
        }
        drop(state);
        self.ended.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let expected = request.header("knapweedwall-expect-instance");
        if expected.is_some_and(|expected| expected != self.settings.id) {
            return (421, "{}".to_owned());
        }
        let Some(call) = json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let refusal = match request.path.as_str() {
            "/-/run-start" => self.start(&call),
            "/-/run-stop" => self.stop(&call),
            "/-/hold" => return self.hold(&call),
            _ => return (404, "{}".to_owned()),
        };
        self.respond(refusal, false)
    }

    fn start(&self, call: &Value) -> Option<&'static str> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        if !state.accepts_fence(call) {
            return Some("fence");
        }
        let lease_ms = field(call, "DeadlineMs").min(now_ms + LEASE_MS);
        if lease_ms <= now_ms {
            return Some("late");
        }
        state.lease_ms = state.lease_ms.max(lease_ms);
        let (task, attempt) = (call.get("Task").text().to_owned(), field(call, "Attempt"));
        if state
            .barred
            .get(&task)
            .is_some_and(|barred| attempt <= *barred)
        {
            return Some("old");
        }
        match state.running.get(&task).map(|run| run.attempt) {
            Some(known) if known == attempt => return None,
            Some(known) if known > attempt => return Some("old"),
            _ => {}
        }
        let length_ms = call.get("Spec").text().parse().unwrap_or(1);
        let run = Run {
            attempt,
            started_ms: now_ms,
            ends_ms: now_ms + length_ms,
            length_ms,
            stopping: false,
        };
        println!("start {task} {attempt}");
        state.running.insert(task, run);
        None
    }

    fn stop(&self, call: &Value) -> Option<&'static str> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        if !state.accepts_fence(call) {
            return Some("fence");
        }
        let (task, attempt) = (call.get("Task").text().to_owned(), field(call, "Attempt"));
        let barred = state.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(attempt);
        if let Some(run) = state.running.get_mut(&task)
            && run.attempt <= attempt
            && !run.stopping
            && run.ends_ms > now_ms + STOP_MS
        {
            run.stopping = true;
            run.ends_ms = now_ms + STOP_MS;
        }
        None
    }

    fn hold(&self, call: &Value) -> (u16, String) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        if !state.accepts_fence(call) {
            drop(state);
            return self.respond(Some("fence"), false);
        }
        let lease_ms = field(call, "DeadlineMs").min(now_ms + LEASE_MS);
        state.lease_ms = state.lease_ms.max(lease_ms);
        let acknowledged = field(call, "AckCursor");
        state.ended.retain(|(number, ..)| *number > acknowledged);
        let wait_ms = field(call, "WaitMs").min(MAX_WAIT_MS);
        if state.ended.is_empty() && wait_ms > 0 {
            let wait = Duration::from_millis(wait_ms);
            let waited = self.ended.wait_timeout(state, wait);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        drop(state);
        self.respond(None, true)
    }

    fn respond(&self, refusal: Option<&str>, lists: bool) -> (u16, String) {
        let now_ms = self.now_ms();
        let mut fields = vec![("ClockMs", number(now_ms)), ("born", number(self.born))];
        if let Some(reason) = refusal {
            fields.push(("Reason", text(reason)));
            return (409, object(fields).to_string());
        }
        if lists {
            let state = self.state();
            let running = state.running.iter().map(|(task, run)| {
                let passed = now_ms.saturating_sub(run.started_ms) * 100;
                let percent = (passed / run.length_ms.max(1)).min(99);
                let attempt = number(run.attempt);
                Value::List(vec![text(task), attempt, text(""), number(percent)])
            });
            let ended = state.ended.iter().take(MAX_LISTED);
            let ended = ended.map(|(at, task, attempt, cause)| {
                let row = vec![
                    number(*at),
                    text(task),
                    number(*attempt),
                    text(cause),
                    text(""),
                ];
                Value::List(row)
            });
            fields.push(("Running", Value::List(running.collect())));
            fields.push(("Finished", Value::List(ended.collect())));
        }
        (200, object(fields).to_string())
    }
}

impl State {
    /// Keeps the highest fence that was seen. A missing one counts as 0.
    fn accepts_fence(&mut self, call: &Value) -> bool {
        let fence = field(call, "Fence");
        let accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        accepted
    }
}

fn field(call: &Value, name: &str) -> u64 {
    let number = call.get(name).number().unwrap_or_default();
    u64::try_from(number).unwrap_or_default()
}
