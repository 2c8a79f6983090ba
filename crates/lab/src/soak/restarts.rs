//! Restarts of workers under their ids, beside agents that are paused or busy.
//!
//! Such an agent handles refused calls, orders and the first heartbeat of the new lifetime late, in one
//! batch and in any order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, sleep_until};

use super::faults::Stage;
use super::node::Node;
use super::plan::{Fault, Step};
use crate::client::Http;

/// Longest pause between the beginnings of two groups of crashes, in milliseconds.
const GAP_MS: u64 = 800;

/// Most workers that crash at once.
const GROUP: usize = 4;

/// Bounds of the time in which a killed worker refuses connections, in milliseconds: while its agent
/// notices the crash, about as long as the agent sends no starts after a refused one, and longer.
const OUTAGES_MS: [(u64, u64); 6] = [
    (10, 80),
    (10, 80),
    (80, 500),
    (480, 640),
    (300, 1_500),
    (1_500, 5_000),
];

/// Workers of a group start again within this time of one another, in milliseconds.
const SPREAD_MS: u64 = 60;

/// One of how many groups crashes again.
const SERIES: u32 = 3;

/// Bounds of the time from the restart of a worker to its next crash in a series, in milliseconds.
const SERIES_GAP_MS: (u64, u64) = (5, 900);

/// Bounds of the time for which an agent is paused, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 50);

/// Bounds of the time for which a throttled agent runs between two pauses, in microseconds.
const RUN_US: (u64, u64) = (30, 2_000);

/// Most pauses of an agent around one restart.
const PAUSES: u32 = 8;

/// Most malformed heartbeats that keep an agent busy.
const PINGS: usize = 200;

/// Length of such a heartbeat: reading it keeps an agent busy for some 0.1 ms.
const PING_BYTES: usize = 16 * 1024;

/// Bounds of the time from these heartbeats to the restart, in milliseconds.
const PING_LEAD_MS: (u64, u64) = (1, 40);

/// Time after which nobody waits for the answer to such a heartbeat.
const PING_LIMIT: Duration = Duration::from_secs(1);

/// Longest time that a crash waits until its worker has no runs.
const IDLE_LIMIT: Duration = Duration::from_millis(400);

/// Pause between two looks at the runs of a worker.
const IDLE_POLL: Duration = Duration::from_millis(1);

/// How a worker crashes and starts again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Restart {
    /// Position.
    pub worker: usize,
    /// Whether it crashes while it has no runs, so that its agent does not notice.
    pub idle: bool,
    /// How its agent is paused around the restart.
    pub throttle: Option<Throttle>,
    /// What keeps its agent busy around the restart.
    pub flood: Option<Flood>,
}

/// Malformed heartbeats that an agent gets at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Flood {
    /// Time from the heartbeats to the restart of the worker.
    pub lead: Duration,
    /// Number of heartbeats.
    pub pings: usize,
}

/// A process that runs for short times between pauses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Throttle {
    /// Time from the first pause to the restart of the worker.
    pub lead: Duration,
    /// Length of each pause.
    pub pause: Duration,
    /// Time between two pauses.
    pub run: Duration,
    /// Number of pauses.
    pub pauses: u32,
}

/// Draws groups of restarts that begin within `length`.
pub(super) fn draw(seed: u64, workers: usize, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut positions: Vec<usize> = (0..workers).collect();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(0..GAP_MS));
        if at >= length {
            return steps;
        }
        positions.shuffle(&mut rng);
        let group = rng.random_range(1..=GROUP.min(workers));
        let (least, most) = OUTAGES_MS[rng.random_range(0..OUTAGES_MS.len())];
        let outage = rng.random_range(least..most);
        let idle = rng.random_ratio(1, 2);
        let repeats = if rng.random_ratio(1, SERIES) { 3 } else { 1 };
        for &worker in &positions[..group] {
            let mut begin = at;
            for _ in 0..repeats {
                let span = Duration::from_millis(outage + rng.random_range(0..SPREAD_MS));
                let throttle = draw_throttle(&mut rng);
                let flood = draw_flood(&mut rng);
                steps.push(Step {
                    at: begin,
                    span,
                    fault: Fault::WorkerRestarts(Restart {
                        worker,
                        idle,
                        throttle,
                        flood,
                    }),
                });
                let gap = rng.random_range(SERIES_GAP_MS.0..SERIES_GAP_MS.1);
                begin += span + Duration::from_millis(gap);
            }
        }
    }
}

/// Three of four agents are busy.
fn draw_flood(rng: &mut ChaCha8Rng) -> Option<Flood> {
    let lead = Duration::from_millis(rng.random_range(PING_LEAD_MS.0..PING_LEAD_MS.1));
    let pings = rng.random_range(1..=PINGS);
    rng.random_ratio(3, 4).then_some(Flood { lead, pings })
}

/// A third of the agents are paused once, a third again and again, the others not at all.
fn draw_throttle(rng: &mut ChaCha8Rng) -> Option<Throttle> {
    let pauses = match rng.random_range(0..3) {
        0 => return None,
        1 => 1,
        _ => rng.random_range(2..=PAUSES),
    };
    let pause = Duration::from_millis(rng.random_range(PAUSE_MS.0..=PAUSE_MS.1));
    let run = Duration::from_micros(rng.random_range(RUN_US.0..RUN_US.1));
    let lead = (pause + run).mul_f64(rng.random::<f64>() * f64::from(pauses));
    Some(Throttle {
        lead,
        pause,
        run,
        pauses,
    })
}

impl Stage {
    /// Kills a worker and starts it again after `span`. Does nothing when it is down already.
    pub(super) async fn restart(&self, restart: Restart, span: Duration) {
        let worker = &self.fleet.hosts[restart.worker].worker;
        let since = Instant::now();
        while restart.idle && !worker.running().is_empty() && since.elapsed() < IDLE_LIMIT {
            sleep(IDLE_POLL).await;
        }
        if !worker.kill().await {
            return;
        }
        let up_at = tokio::time::Instant::now() + span;
        let throttled = restart.throttle.map(|throttle| {
            let fleet = Arc::clone(&self.fleet);
            tokio::spawn(async move {
                sleep_until(up_at - throttle.lead.min(span)).await;
                let pauses = move || throttle.apply(&fleet.hosts[restart.worker].node);
                // Pauses are shorter than the resolution of the runtime's timers.
                spawn_blocking(pauses).await
            })
        });
        if let Some(flood) = restart.flood {
            sleep_until(up_at - flood.lead.min(span)).await;
            flood.send(self.fleet.hosts[restart.worker].control);
        }
        sleep_until(up_at).await;
        worker.restart().await;
        if let Some(throttled) = throttled {
            // The loop does not panic.
            let _ended = throttled.await;
        }
    }
}

impl Throttle {
    /// Pauses a process again and again; blocks the thread.
    fn apply(self, node: &Node) {
        for _ in 0..self.pauses {
            node.signal(Signal::STOP);
            thread::sleep(self.pause);
            node.signal(Signal::CONT);
            thread::sleep(self.run);
        }
    }
}

impl Flood {
    /// Sends the heartbeats without waiting for answers.
    fn send(self, control: SocketAddr) {
        let http = Http::default();
        let url = format!("http://{control}/-/instances/other/heartbeat");
        let body = Bytes::from(format!("{{{:PING_BYTES$}", ""));
        for _ in 0..self.pings {
            let (http, url, body) = (http.clone(), url.clone(), body.clone());
            tokio::spawn(async move {
                // The answer is a refusal.
                let _refused = http.send(Method::POST, &url, body, PING_LIMIT).await;
            });
        }
    }
}
