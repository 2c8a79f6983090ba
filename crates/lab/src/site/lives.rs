//! Lifetimes of a worker: crashes, restarts, departures, and the heartbeats that tell of them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rand::RngExt;
use serde_json::json;
use tokio::time::{sleep, timeout};

use super::clock::WorkerClock;
use super::runs::{RunKey, Runs};
use super::worker::{BEAT_LIMIT, Shared, SiteWorker, lock, unix_ms};

/// Pause between two heartbeats.
const BEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a heartbeat without an acknowledgement.
const BEAT_RETRY: Duration = Duration::from_millis(150);

/// Bounds of the time from a restart to the first heartbeat, in milliseconds.
const FIRST_BEAT_MS: (u64, u64) = (1, 18);

impl SiteWorker {
    /// Everything on the worker ends at once, and a new lifetime begins that answers nothing until
    /// it is no longer dark. It keeps its id or takes a new one.
    pub fn crash(&self, keep_id: bool) {
        self.shared.state().faults.dark = true;
        self.shared.renew(keep_id, true);
    }

    /// The process of the worker ends at once: connections are closed, and refused until
    /// [`SiteWorker::restart`]. False when it is down already.
    pub async fn kill(&self) -> bool {
        if std::mem::replace(&mut self.shared.state().down, true) {
            return false;
        }
        self.shared.renew(true, true);
        self.gate.set(false).await;
        true
    }

    /// Starts a killed worker with the id that it had.
    pub async fn restart(&self) {
        self.shared.renew(true, false);
        self.shared.state().down = false;
        self.gate.set(true).await;
        self.shared.restarted.notify_one();
    }

    /// The worker says from its next heartbeat on that it is leaving.
    pub fn drain(&self) {
        self.shared.state().draining = true;
    }

    /// The worker has left; a new one takes its place. Does nothing while it is down.
    pub async fn leave(&self) {
        let id = {
            let state = self.shared.state();
            if state.down {
                return;
            }
            state.id.clone()
        };
        let url = format!(
            "http://{}/-/instances/{id}/deregister",
            self.shared.spec.agent
        );
        // An agent that is away learns of it from the next heartbeat.
        let _left = self
            .shared
            .http
            .send(Method::POST, &url, Bytes::new(), BEAT_LIMIT)
            .await;
        self.shared.renew(false, false);
    }
}

impl Shared {
    /// Ends all runs and begins a lifetime that knows nothing of the one before.
    fn renew(&self, keep_id: bool, crashed: bool) {
        let mut state = self.state();
        let lost = state.runs.keys();
        let unknown: Vec<RunKey> = state.runs.unacknowledged().collect();
        state.life += 1;
        if !keep_id {
            state.id = format!("i-{}-{}", self.spec.index, state.life);
        }
        state.born = unix_ms().max(state.born + 1);
        state.runs = Runs::default();
        state.clock = WorkerClock::start(1_000, self.spec.rate);
        state.seq = 0;
        state.draining = false;
        if crashed {
            let all: Vec<RunKey> = lost.iter().cloned().chain(unknown).collect();
            self.watcher.crashed(self.spec.index, &all);
        }
        // Reported before the next start can take effect.
        for run in &lost {
            self.watcher.ended(self.spec.index, run, "lost");
        }
        self.watcher.renewed(self.spec.index);
        drop(state);
        self.ends.send_modify(|ends| *ends += 1);
    }

    pub(super) async fn send_beats(self: Arc<Self>) {
        let mut pause = Duration::ZERO;
        loop {
            if timeout(pause, self.restarted.notified()).await.is_ok() {
                let (least, most) = FIRST_BEAT_MS;
                let wait_ms = self.state().rng.random_range(least..most);
                sleep(Duration::from_millis(wait_ms)).await;
            }
            pause = BEAT_RETRY;
            let Some((url, body, draining)) = self.next_beat() else {
                continue;
            };
            let sent = self.http.send(Method::POST, &url, body, BEAT_LIMIT).await;
            if !sent.is_ok_and(|reply| reply.status < 300) {
                continue;
            }
            pause = BEAT_INTERVAL;
            if draining && self.state().draining {
                self.watcher.leaving(self.spec.index);
            }
        }
    }

    fn next_beat(&self) -> Option<(String, String, bool)> {
        let address = (*lock(&self.address))?;
        let mut state = self.state();
        if state.faults.dark || state.down {
            return None;
        }
        state.seq += 1;
        let name = if state.draining { "draining" } else { "ready" };
        let body = json!({
            "Service": self.spec.service,
            "Address": address.to_string(),
            "Zone": self.spec.zone,
            "Version": "v1",
            "Slots": 8,
            "State": name,
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": self.spec.cpu, "MemMb": self.spec.memory, "Gpu": 0},
            "Labels": ["a", format!("r1-{}", self.spec.index / 3)],
            "ClockMs": state.clock.now_ms(),
            "Seq": state.seq,
            "born": state.born,
        });
        let url = format!(
            "http://{}/-/instances/{}/heartbeat",
            self.spec.agent, state.id
        );
        Some((url, body.to_string(), state.draining))
    }
}
