//! State of other entry processes, exchanged by heartbeats.

use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::blame::Blame;
use super::io::Action;
use super::machine::Machine;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::ids::{Instance, Shard};
use crate::peer::{LinkKey, PeerInfo};

/// Interval of heartbeats to other entry processes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a heartbeat after which a connection is closed, so that it is established again.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which the pending jobs of a lost process are still counted. Covers the time until its
/// shards have another owner.
const LOST_PEER_RETENTION: Duration = Duration::from_secs(12);

/// A connected entry process, as described by its last heartbeat.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) name: SmolStr,
    instance: Instance,
    last_heard: Duration,
    /// Shards that it owns.
    owned: Vec<wire::ShardEpoch>,
    /// Shards that it gave up without a write to the store.
    relinquished: Vec<wire::ShardEpoch>,
    /// Numbers of its jobs that wait for their first start, by queue.
    pending_jobs: Vec<wire::QueueCount>,
    /// Whether it may claim shards.
    eligible: bool,
    /// Blame of queues for crashes under its jobs.
    blame: Vec<(SmolStr, Blame)>,
    /// Whether it has jobs to isolate.
    isolating: bool,
}

/// Connected entry processes.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_link: DeterministicMap<LinkKey, Peer>,
    /// Time of the last heartbeat sent to other processes.
    last_beat: Duration,
    /// Pending jobs last reported by lost processes, and when they were lost. No other process
    /// counts these jobs until their shards have another owner.
    lost_pending_jobs: Vec<(Duration, Vec<wire::QueueCount>)>,
}

impl Peers {
    pub(super) fn insert(&mut self, now: Duration, link: LinkKey, peer: &PeerInfo) {
        let peer = Peer {
            name: peer.name.clone(),
            instance: peer.instance,
            last_heard: now,
            owned: Vec::new(),
            relinquished: Vec::new(),
            pending_jobs: Vec::new(),
            eligible: false,
            blame: Vec::new(),
            isolating: false,
        };
        self.by_link.insert(link, peer);
    }

    /// Removes a process whose connection ended. Returns its name and the time since its last
    /// heartbeat.
    pub(super) fn remove(&mut self, now: Duration, link: LinkKey) -> Option<(SmolStr, Duration)> {
        let peer = self.by_link.remove(&link)?;
        self.lost_pending_jobs
            .retain(|(at, _)| now.saturating_sub(*at) < LOST_PEER_RETENTION);
        self.lost_pending_jobs.push((now, peer.pending_jobs));
        Some((peer.name, now.saturating_sub(peer.last_heard)))
    }

    pub(super) fn links(&self) -> impl Iterator<Item = LinkKey> {
        self.by_link.keys().copied()
    }

    pub(super) fn contains(&self, link: LinkKey) -> bool {
        self.by_link.contains_key(&link)
    }

    /// Returns the instance of the connected process with this name, if any.
    pub(super) fn instance_of(&self, name: &str) -> Option<Instance> {
        let peer = self.by_link.values().find(|peer| peer.name == name);
        peer.map(|peer| peer.instance)
    }

    pub(super) fn is_connected(&self, name: &str) -> bool {
        self.instance_of(name).is_some()
    }

    /// Returns whether the connected process with this name reports that it owns the shard.
    pub(super) fn owns(&self, name: &str, shard: Shard) -> bool {
        let peer = self.by_link.values().find(|peer| peer.name == name);
        peer.is_some_and(|peer| peer.owned.iter().any(|owned| owned.shard == shard.0))
    }

    /// Returns whether the connected process with this name has relinquished the shard in this
    /// epoch.
    pub(super) fn has_relinquished(&self, name: &str, shard: Shard, epoch: u64) -> bool {
        let relinquished = wire::ShardEpoch {
            shard: shard.0,
            epoch,
        };
        let peer = self.by_link.values().find(|peer| peer.name == name);
        peer.is_some_and(|peer| peer.relinquished.contains(&relinquished))
    }

    /// Returns the connection to the process that reports ownership of the shard, in the highest
    /// epoch if several do.
    pub(super) fn owner_of(&self, shard: Shard) -> Option<LinkKey> {
        let mut best: Option<(u64, LinkKey)> = None;
        for (link, peer) in &self.by_link {
            for owned in peer.owned.iter().filter(|owned| owned.shard == shard.0) {
                best = best.max(Some((owned.epoch, *link)));
            }
        }
        best.map(|(_, link)| link)
    }

    /// Iterates over the names of the processes that may claim shards.
    pub(super) fn eligible(&self) -> impl Iterator<Item = &SmolStr> {
        let eligible = self.by_link.values().filter(|peer| peer.eligible);
        eligible.map(|peer| &peer.name)
    }

    /// Returns the eligible process that owns the fewest shards, and their number.
    pub(super) fn least_loaded(&self) -> Option<(SmolStr, usize)> {
        let eligible = self.by_link.values().filter(|peer| peer.eligible);
        let least = eligible.min_by_key(|peer| (peer.owned.len(), &peer.name));
        least.map(|peer| (peer.name.clone(), peer.owned.len()))
    }

    /// Returns whether any process has jobs to isolate.
    pub(super) fn is_any_isolating(&self) -> bool {
        self.by_link.values().any(|peer| peer.isolating)
    }

    /// Returns whether any process blames a queue for crashes.
    pub(super) fn is_any_blaming(&self) -> bool {
        self.by_link.values().any(|peer| !peer.blame.is_empty())
    }

    /// Returns the blame of queues for crashes under the jobs of all other processes.
    pub(super) fn queue_blame(&self) -> DeterministicMap<SmolStr, Blame> {
        let mut total: DeterministicMap<SmolStr, Blame> = DeterministicMap::default();
        for (queue, blame) in self.by_link.values().flat_map(|peer| &peer.blame) {
            let known = total.entry(queue.clone()).or_default();
            *known = known.plus(*blame);
        }
        total
    }

    /// Returns the number of pending jobs of a queue at other processes, including recently lost
    /// ones.
    pub(super) fn pending_jobs(&self, now: Duration, queue: &str) -> u32 {
        let lost = self.lost_pending_jobs.iter();
        let lost = lost.filter(|(at, _)| now.saturating_sub(*at) < LOST_PEER_RETENTION);
        let lost = lost.flat_map(|(_, waiting)| waiting);
        let counts = self.by_link.values().flat_map(|peer| &peer.pending_jobs);
        let counts = counts.chain(lost);
        let counts = counts.filter(|count| count.queue == queue);
        counts.map(|count| count.jobs).sum()
    }
}

impl Machine {
    /// Handles the heartbeat of another entry process.
    pub(super) fn handle_peer_beat(
        &mut self,
        now: Now,
        link: LinkKey,
        beat: wire::PeerBeat,
        out: &mut Vec<Action>,
    ) {
        self.request_newer_configuration(now, link, beat.config_version, out);
        if let Some(peer) = self.peers.by_link.get_mut(&link) {
            peer.last_heard = now.mono;
            let owned = beat.owned;
            peer.owned.clone_from(&owned);
            peer.relinquished = beat.relinquished;
            peer.pending_jobs = beat.waiting;
            peer.eligible = beat.eligible;
            let blame = beat.blame.into_iter();
            peer.blame = blame
                .map(|report| {
                    let blame = Blame::from_report(&report);
                    (report.queue.into(), blame)
                })
                .collect();
            peer.isolating = beat.isolating;
            let name = peer.name.clone();
            self.refresh_owner_rows(now, &name, &owned);
        }
    }

    /// Sends heartbeats that are due, and closes connections that timed out.
    pub(super) fn update_peers(&mut self, now: Now, out: &mut Vec<Action>) {
        for (link, peer) in &self.peers.by_link {
            if now.since(peer.last_heard) >= LINK_TIMEOUT {
                out.push(Action::Close(*link, "silent"));
            }
        }
        if now.since(self.peers.last_beat) >= HEARTBEAT_INTERVAL {
            self.peers.last_beat = now.mono;
            self.send_peer_beats(now, out);
        }
    }

    /// Sends a heartbeat with the present state to all connected entry processes.
    pub(super) fn send_peer_beats(&self, now: Now, out: &mut Vec<Action>) {
        if self.peers.by_link.is_empty() {
            return;
        }
        let beat = self.peer_beat(now);
        for link in self.peers.links() {
            out.push(Action::Send(link, beat.clone()));
        }
    }

    /// Returns a heartbeat with the present state.
    pub(super) fn peer_beat(&self, now: Now) -> Body {
        let mut waiting: DeterministicMap<&str, u32> = DeterministicMap::default();
        for (_, job) in self.jobs.iter_open().filter(|(_, job)| job.is_queued()) {
            *waiting.entry(&job.request.queue).or_default() += 1;
        }
        let waiting = waiting.into_iter().map(|(queue, jobs)| wire::QueueCount {
            queue: queue.to_owned(),
            jobs,
        });
        Body::PeerBeat(wire::PeerBeat {
            owned: self.shards.owned().collect(),
            waiting: waiting.collect(),
            eligible: self.stop_requested_at.is_none() && self.shards.failing_since().is_none(),
            relinquished: self.shards.relinquished().collect(),
            config_version: self.configuration.version(),
            blame: self.crashes.blame_report(now.mono),
            isolating: self.crashes.is_isolating(),
        })
    }
}
