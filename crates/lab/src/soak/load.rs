//! The load: callers, and which processes they connect to.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::caller::Caller;
use super::plan::Mix;
use super::witness::Witness;
use crate::client::Http;
use hyper::Method;

/// Pause between two readiness checks, as on the platform's pages.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Checks in a row that a process misses before it gets no new connections.
const MISSES: u32 = 2;

/// Mean pause of a caller between two jobs.
const PAUSE: Duration = Duration::from_millis(350);

/// What callers share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) witness: Arc<Witness>,
    /// Addresses of the entry processes for callers.
    entries: Vec<SocketAddr>,
    /// Positions of the processes that get new connections.
    ready: Mutex<Vec<usize>>,
    ended: AtomicBool,
    /// Load in percent of the usual one.
    percent: AtomicU64,
    pub(super) mix: Mix,
    /// Connections that callers have abandoned.
    abandoned: Mutex<JoinSet<()>>,
}

impl Shared {
    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Mean pause between two jobs of a caller.
    pub(super) fn pause(&self) -> Duration {
        let percent = self.percent.load(Ordering::Relaxed).max(1);
        PAUSE.mul_f64(100.0 / percent as f64)
    }

    /// A process for a new connection.
    pub(super) fn choose(&self, position: usize) -> SocketAddr {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        if ready.is_empty() {
            return self.entries[position % self.entries.len()];
        }
        self.entries[ready[position % ready.len()]]
    }

    /// A process for a new connection, if possible another than `former`.
    pub(super) fn choose_other(&self, position: usize, former: SocketAddr) -> SocketAddr {
        let positions = (position..).take(self.entries.len());
        let mut peers = positions.map(|position| self.choose(position));
        let other = peers.find(|peer| *peer != former);
        other.unwrap_or_else(|| self.choose(position))
    }

    /// Name of the process with this address.
    pub(super) fn name(&self, peer: SocketAddr) -> String {
        let position = self.entries.iter().position(|entry| *entry == peer);
        position.map_or_else(|| peer.to_string(), |at| format!("entry-{}", at + 1))
    }

    /// Keeps an abandoned connection until the load ends.
    pub(super) fn keep(&self, connection: impl Future<Output = ()> + Send + 'static) {
        let mut abandoned = self
            .abandoned
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        abandoned.spawn(connection);
    }
}

/// The running load.
#[derive(Debug)]
pub(super) struct Load {
    shared: Arc<Shared>,
    callers: JoinSet<()>,
}

impl Load {
    /// Starts `count` callers. `entries` are the addresses of each entry process for callers and
    /// for readiness checks.
    pub(super) fn spawn(
        witness: Arc<Witness>,
        entries: Vec<(SocketAddr, SocketAddr)>,
        count: usize,
        seed: u64,
        mix: Mix,
    ) -> Self {
        let checks = entries.iter().map(|(_, check)| *check).collect();
        let shared = Arc::new(Shared {
            witness,
            entries: entries.into_iter().map(|(callers, _)| callers).collect(),
            ready: Mutex::default(),
            ended: AtomicBool::new(false),
            percent: AtomicU64::new(100),
            mix,
            abandoned: Mutex::default(),
        });
        tokio::spawn(check_ready(Arc::clone(&shared), checks));
        let mut callers = JoinSet::new();
        for position in 0..count as u64 {
            let caller = Caller::new(Arc::clone(&shared), seed * 1_000 + position);
            callers.spawn(caller.run());
        }
        Self { shared, callers }
    }

    /// Changes the load, in percent of the usual one.
    pub(super) fn set_percent(&self, percent: u64) {
        self.shared.percent.store(percent, Ordering::Relaxed);
    }

    /// Lets each caller finish its job, then closes abandoned connections.
    pub(super) async fn end(mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        while self.callers.join_next().await.is_some() {}
        let abandoned = self.shared.abandoned.lock();
        abandoned
            .unwrap_or_else(PoisonError::into_inner)
            .abort_all();
    }
}

/// Follows which processes are ready, as the platform's balancer does.
async fn check_ready(shared: Arc<Shared>, checks: Vec<SocketAddr>) {
    let http = Http::default();
    let mut missed = vec![0_u32; checks.len()];
    while !shared.has_ended() {
        for (position, check) in checks.iter().enumerate() {
            let url = format!("http://{check}/-/readyz");
            let limit = CHECK_INTERVAL / 4;
            let reply = http.send(Method::GET, &url, "", limit).await;
            let ready = reply.is_ok_and(|reply| reply.status == 200);
            missed[position] = if ready { 0 } else { missed[position] + 1 };
        }
        let ready = (0..checks.len()).filter(|&position| missed[position] < MISSES);
        let ready = ready.collect();
        *shared.ready.lock().unwrap_or_else(PoisonError::into_inner) = ready;
        sleep(CHECK_INTERVAL).await;
    }
}
