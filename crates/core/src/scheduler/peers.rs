//! Other entry processes.

use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::io::Action;
use super::machine::Machine;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::ids::{Instance, Shard};
use crate::peer::{LinkKey, PeerInfo};

/// Pause between two signs of life to other entry processes.
const BEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Silence after which a connection is closed, so that it is made anew.
const SILENT_LINK: Duration = Duration::from_millis(1_500);

/// Time in which the shards of a lost process get another owner.
const LOST_COUNTS: Duration = Duration::from_secs(12);

/// Another entry process.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) name: SmolStr,
    instance: Instance,
    heard: Duration,
    owned: Vec<wire::ShardEpoch>,
    relinquished: Vec<wire::ShardEpoch>,
    waiting: Vec<wire::QueueCount>,
    eligible: bool,
}

/// Connected entry processes.
#[derive(Debug, Default)]
pub(super) struct Peers {
    map: DeterministicMap<LinkKey, Peer>,
    told: Duration,
    /// What lost processes said of waiting jobs, and when they were lost: until their shards have
    /// another owner, nobody else counts these jobs.
    lost: Vec<(Duration, Vec<wire::QueueCount>)>,
}

impl Peers {
    pub(super) fn insert(&mut self, now: Duration, link: LinkKey, peer: &PeerInfo) {
        let peer = Peer {
            name: peer.name.clone(),
            instance: peer.instance,
            heard: now,
            owned: Vec::new(),
            relinquished: Vec::new(),
            waiting: Vec::new(),
            eligible: false,
        };
        self.map.insert(link, peer);
    }

    /// Removes a process whose connection has ended; its name, and for how long it was silent.
    pub(super) fn remove(&mut self, now: Duration, link: LinkKey) -> Option<(SmolStr, Duration)> {
        let peer = self.map.remove(&link)?;
        self.lost
            .retain(|(at, _)| now.saturating_sub(*at) < LOST_COUNTS);
        self.lost.push((now, peer.waiting));
        Some((peer.name, now.saturating_sub(peer.heard)))
    }

    pub(super) fn links(&self) -> impl Iterator<Item = LinkKey> {
        self.map.keys().copied()
    }

    pub(super) fn contains(&self, link: LinkKey) -> bool {
        self.map.contains_key(&link)
    }

    /// Instance of the connected process with this name.
    pub(super) fn instance_of(&self, name: &str) -> Option<Instance> {
        let peer = self.map.values().find(|peer| peer.name == name);
        peer.map(|peer| peer.instance)
    }

    pub(super) fn is_linked(&self, name: &str) -> bool {
        self.instance_of(name).is_some()
    }

    /// Whether the connected process with this name says that it owns the shard.
    pub(super) fn owns(&self, name: &str, shard: Shard) -> bool {
        let peer = self.map.values().find(|peer| peer.name == name);
        peer.is_some_and(|peer| peer.owned.iter().any(|owned| owned.shard == shard.0))
    }

    /// Whether the connected process with this name has given the shard up in this epoch.
    pub(super) fn has_relinquished(&self, name: &str, shard: Shard, epoch: u64) -> bool {
        let relinquished = wire::ShardEpoch {
            shard: shard.0,
            epoch,
        };
        let peer = self.map.values().find(|peer| peer.name == name);
        peer.is_some_and(|peer| peer.relinquished.contains(&relinquished))
    }

    /// The connection to the process that says it owns the shard with the highest epoch.
    pub(super) fn owner_of(&self, shard: Shard) -> Option<LinkKey> {
        let mut best: Option<(u64, LinkKey)> = None;
        for (link, peer) in &self.map {
            for owned in peer.owned.iter().filter(|owned| owned.shard == shard.0) {
                best = best.max(Some((owned.epoch, *link)));
            }
        }
        best.map(|(_, link)| link)
    }

    /// Names of the processes that take shards.
    pub(super) fn eligible(&self) -> impl Iterator<Item = &SmolStr> {
        let eligible = self.map.values().filter(|peer| peer.eligible);
        eligible.map(|peer| &peer.name)
    }

    /// The process that takes shards and owns the fewest, with their number.
    pub(super) fn least_loaded(&self) -> Option<(SmolStr, usize)> {
        let eligible = self.map.values().filter(|peer| peer.eligible);
        let least = eligible.min_by_key(|peer| (peer.owned.len(), &peer.name));
        least.map(|peer| (peer.name.clone(), peer.owned.len()))
    }

    /// Jobs of a queue that wait at other processes, or waited at those that were lost.
    pub(super) fn waiting(&self, now: Duration, queue: &str) -> u32 {
        let lost = self.lost.iter();
        let lost = lost.filter(|(at, _)| now.saturating_sub(*at) < LOST_COUNTS);
        let lost = lost.flat_map(|(_, waiting)| waiting);
        let counts = self.map.values().flat_map(|peer| &peer.waiting);
        let counts = counts.chain(lost);
        let counts = counts.filter(|count| count.queue == queue);
        counts.map(|count| count.jobs).sum()
    }
}

impl Machine {
    /// Takes a sign of life of another entry process.
    pub(super) fn take_peer_beat(&mut self, now: Now, link: LinkKey, beat: wire::PeerBeat) {
        if let Some(peer) = self.peers.map.get_mut(&link) {
            peer.heard = now.mono;
            let owned = beat.owned;
            peer.owned.clone_from(&owned);
            peer.relinquished = beat.relinquished;
            peer.waiting = beat.waiting;
            peer.eligible = beat.eligible;
            let name = peer.name.clone();
            self.reread_rows(now, &name, &owned);
        }
    }

    /// Sends signs of life that are due, and closes silent connections.
    pub(super) fn update_peers(&mut self, now: Now, out: &mut Vec<Action>) {
        for (link, peer) in &self.peers.map {
            if now.since(peer.heard) >= SILENT_LINK {
                out.push(Action::Close(*link, "silent"));
            }
        }
        if now.since(self.peers.told) >= BEAT_INTERVAL {
            self.peers.told = now.mono;
            self.tell_peers(out);
        }
    }

    /// Tells all other entry processes what this one owns.
    pub(super) fn tell_peers(&self, out: &mut Vec<Action>) {
        if self.peers.map.is_empty() {
            return;
        }
        let mut waiting: DeterministicMap<&str, u32> = DeterministicMap::default();
        for (_, job) in self.jobs.iter().filter(|(_, job)| job.is_queued()) {
            *waiting.entry(&job.request.queue).or_default() += 1;
        }
        let waiting = waiting.into_iter().map(|(queue, jobs)| wire::QueueCount {
            queue: queue.to_owned(),
            jobs,
        });
        let beat = wire::PeerBeat {
            owned: self.shards.owned().collect(),
            waiting: waiting.collect(),
            eligible: self.stopping.is_none() && self.shards.failing().is_none(),
            relinquished: self.shards.relinquished().collect(),
        };
        for link in self.peers.links() {
            out.push(Action::Send(link, Body::PeerBeat(beat.clone())));
        }
    }
}
