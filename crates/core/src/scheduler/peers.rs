//! State of other entry processes, exchanged by heartbeats.

use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::blame::Blame;
use super::held_jobs::{
    CONNECTION_GRACE, LOSS_GRACE, LOST_JOBS_RETENTION, LostPeer, MAX_LISTED_JOBS,
};
use super::io::Action;
use super::machine::Machine;
use super::pending_counts::OrphanedCounts;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::ids::{Instance, Shard};
use crate::peer::{LinkKey, PeerInfo};

/// Interval of heartbeats to other entry processes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a heartbeat after which a connection is closed, so that it is established again.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connected entry process, as described by its last heartbeat.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) name: SmolStr,
    pub(super) instance: Instance,
    address: SmolStr,
    connected_at: Duration,
    /// Whether it was connected before, as the same instance.
    is_known: bool,
    last_heard: Duration,
    /// Number of its last heartbeat.
    number_seen: u64,
    /// Number of the last heartbeat of this process that it has acknowledged.
    acknowledged: u64,
    /// Hashes of its non-durable jobs that run or may start, in ascending order.
    pub(super) held: Vec<u64>,
    /// The same, of those that it does not start before all processes have acknowledged them.
    pub(super) awaiting: Vec<u64>,
    /// The same, of processes to which it has just lost the connection.
    lost: Vec<u64>,
    /// Whether it is about to exit and starts nothing any more.
    ended: bool,
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

/// Whether a lost or new connection is excused for a short time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Grace {
    /// It is not: the other process may have started the job.
    None,
    /// A lost one is, as the other process had acknowledged the job.
    Loss,
    /// It is, as the other process had acknowledged the job, or learns of it in time.
    Reconnection,
}

/// Process that lists a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Holder {
    /// It is connected.
    Connected(LinkKey),
    /// The connection to the process with this name was lost.
    Lost(SmolStr),
}

/// Connected entry processes, and those whose connections were lost.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_link: DeterministicMap<LinkKey, Peer>,
    /// Processes that are not connected. Those that are known to have ended are kept until their runs
    /// have ended.
    lost: Vec<LostPeer>,
    /// Number of the last heartbeat.
    last_number: u64,
    /// Time of the last heartbeat sent to other processes.
    last_beat: Duration,
    /// Pending jobs of shards without an owner.
    pub(super) orphaned: OrphanedCounts,
}

impl Peers {
    pub(super) fn insert(&mut self, now: Duration, link: LinkKey, peer: &PeerInfo) {
        let mut known = self.lost.iter();
        let position = known.position(|lost| lost.instance == peer.instance);
        let lost = position.map(|at| self.lost.swap_remove(at));
        let previous = self.lost.iter_mut().filter(|lost| lost.name == peer.name);
        previous.for_each(|lost| lost.ended = true);
        // The other process has kept the list that it acknowledged.
        let recent = |lost: &&LostPeer| now.saturating_sub(lost.since) < LOSS_GRACE;
        let acknowledged = lost.as_ref().filter(recent).map(|lost| lost.acknowledged);
        let is_known = lost.is_some();
        let peer = Peer {
            name: peer.name.clone(),
            instance: peer.instance,
            address: peer.address.clone(),
            connected_at: now,
            is_known,
            last_heard: now,
            number_seen: 0,
            acknowledged: acknowledged.unwrap_or_default(),
            // Its first heartbeat on this connection replaces the list.
            held: lost.map(|lost| lost.held).unwrap_or_default(),
            awaiting: Vec::new(),
            lost: Vec::new(),
            ended: false,
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
        let owned = peer.owned.iter().map(|owned| Shard(owned.shard));
        self.orphaned.replace(now, owned, &peer.pending_jobs);
        let mut others = self.by_link.values();
        let other = others.find(|other| other.name == peer.name);
        if other.is_none_or(|other| other.instance != peer.instance) {
            let mut held = peer.held;
            held.extend(peer.awaiting);
            held.sort_unstable();
            self.lost.push(LostPeer {
                name: peer.name.clone(),
                instance: peer.instance,
                address: peer.address,
                refusals: 0,
                ended: peer.ended || other.is_some(),
                since: now,
                acknowledged: peer.acknowledged,
                held,
                heartbeat: None,
                read_at: None,
            });
        }
        Some((peer.name, now.saturating_sub(peer.last_heard)))
    }

    pub(super) fn get(&self, link: LinkKey) -> Option<&Peer> {
        self.by_link.get(&link)
    }

    pub(super) fn name_of(&self, link: LinkKey) -> Option<SmolStr> {
        self.by_link.get(&link).map(|peer| peer.name.clone())
    }

    /// Iterates over the processes whose connections were lost.
    pub(super) fn lost_mut(&mut self) -> impl Iterator<Item = &mut LostPeer> {
        self.lost.iter_mut()
    }

    /// Returns the number of processes whose connections were lost and that are not known to have ended.
    pub(super) fn lost_len(&self) -> usize {
        self.unreached().count()
    }

    /// Marks lost processes that have ended by their heartbeats in the store, and forgets those that are
    /// known to have ended when their runs have ended as well.
    pub(super) fn remove_ended(&mut self, now: Now) {
        for lost in &mut self.lost {
            lost.ended |= lost.heartbeat.is_some_and(|seen| seen.has_ended(now));
        }
        let retained = |lost: &LostPeer| now.since(lost.since) < LOST_JOBS_RETENTION;
        self.lost.retain(|lost| !lost.ended || retained(lost));
    }

    /// Iterates over the lost processes that are not known to have ended.
    fn unreached(&self) -> impl Iterator<Item = &LostPeer> {
        self.lost.iter().filter(|lost| !lost.ended)
    }

    /// Returns whether the connections to all other processes were lost.
    pub(super) fn is_isolated(&self) -> bool {
        self.by_link.is_empty() && self.unreached().next().is_some()
    }

    /// Returns whether a connection was lost within `span`.
    pub(super) fn has_lost_within(&self, now: Duration, span: Duration) -> bool {
        let mut lost = self.unreached();
        lost.any(|lost| now.saturating_sub(lost.since) < span)
    }

    /// Returns the process that lists a job.
    pub(super) fn holder_of(&self, now: Duration, job: u64) -> Option<Holder> {
        for (link, peer) in &self.by_link {
            let lists = |jobs: &[u64]| jobs.binary_search(&job).is_ok();
            if !lists(&peer.held) && !lists(&peer.awaiting) {
                continue;
            }
            if peer.ended {
                return Some(Holder::Lost(peer.name.clone()));
            }
            return Some(Holder::Connected(*link));
        }
        let mut lost = self.recently_lost(now);
        if let Some(lost) = lost.find(|lost| lost.held.binary_search(&job).is_ok()) {
            return Some(Holder::Lost(lost.name.clone()));
        }
        let mut peers = self.by_link.values();
        let told = peers.find(|peer| peer.lost.binary_search(&job).is_ok());
        told.map(|_| Holder::Lost(SmolStr::default()))
    }

    /// Iterates over the lost processes whose jobs are not started here yet.
    fn recently_lost(&self, now: Duration) -> impl Iterator<Item = &LostPeer> {
        let retained = move |since: Duration| now.saturating_sub(since) < LOST_JOBS_RETENTION;
        self.lost.iter().filter(move |lost| retained(lost.since))
    }

    /// Records that a process no longer holds a job that it has listed.
    pub(super) fn remove_held(&mut self, link: LinkKey, job: u64) {
        if let Some(peer) = self.by_link.get_mut(&link) {
            peer.held.retain(|held| *held != job);
            peer.awaiting.retain(|held| *held != job);
        }
    }

    /// Returns whether all connected processes have acknowledged the heartbeat with this number.
    pub(super) fn have_acknowledged(&self, number: u64) -> bool {
        let mut running = self.by_link.values().filter(|peer| !peer.ended);
        running.all(|peer| peer.acknowledged >= number)
    }

    /// Iterates over the names of the processes that have not acknowledged the heartbeat with this number.
    pub(super) fn missing_acknowledgements(
        &self,
        now: Duration,
        number: u64,
        grace: Grace,
    ) -> impl Iterator<Item = &SmolStr> {
        let excuses_new = grace == Grace::Reconnection;
        let excuses_lost = grace != Grace::None;
        let connected = self.by_link.values().filter(move |peer| {
            let recent = now.saturating_sub(peer.connected_at) < CONNECTION_GRACE;
            let new = recent && !peer.is_known;
            let excused = peer.ended || excuses_new && new;
            !excused && peer.acknowledged < number
        });
        let lost = self.unreached().filter(move |lost| {
            let recent = now.saturating_sub(lost.since) < LOSS_GRACE;
            !excuses_lost || !recent || lost.acknowledged < number
        });
        let connected = connected.map(|peer| &peer.name);
        connected.chain(lost.map(|lost| &lost.name))
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

    /// Returns whether a connected process reports that it owns a shard.
    pub(super) fn is_owned(&self, shard: Shard) -> bool {
        let mut owned = self.by_link.values().flat_map(|peer| &peer.owned);
        owned.any(|owned| owned.shard == shard.0)
    }

    /// Iterates over the pending jobs that the connected processes have reported.
    pub(super) fn pending_counts(&self) -> impl Iterator<Item = &wire::QueueCount> {
        self.by_link.values().flat_map(|peer| &peer.pending_jobs)
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
        let reply = beat.reply;
        if let Some(peer) = self.peers.by_link.get_mut(&link) {
            peer.last_heard = now.mono;
            peer.number_seen = beat.number;
            let seen = beat.beat_seen.min(self.peers.last_number);
            peer.acknowledged = peer.acknowledged.max(seen);
            peer.held = beat.held;
            peer.held.truncate(MAX_LISTED_JOBS);
            peer.held.sort_unstable();
            peer.awaiting = beat.awaiting;
            peer.awaiting.truncate(MAX_LISTED_JOBS);
            peer.awaiting.sort_unstable();
            peer.lost = beat.lost;
            peer.lost.truncate(MAX_LISTED_JOBS);
            peer.lost.sort_unstable();
            peer.ended |= beat.ended;
            let owned = beat.owned;
            peer.owned.clone_from(&owned);
            peer.relinquished = beat.relinquished;
            peer.pending_jobs = beat.waiting;
            self.peers.orphaned.merge(now.mono, &beat.orphaned);
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
        self.resolve_contested_jobs(now, link, out);
        if reply {
            self.send_peer_beat(now, link, false, out);
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
            self.send_peer_beats(now, false, out);
        }
    }

    /// Sends a heartbeat with the present state to all connected entry processes. `reply` asks them to
    /// answer at once.
    pub(super) fn send_peer_beats(&mut self, now: Now, reply: bool, out: &mut Vec<Action>) {
        if self.peers.by_link.is_empty() {
            return;
        }
        let beat = self.peer_beat(now, None, reply);
        for (link, peer) in &self.peers.by_link {
            let mut beat = beat.clone();
            beat.beat_seen = peer.number_seen;
            out.push(Action::Send(*link, Body::PeerBeat(beat)));
        }
    }

    /// Returns a heartbeat with the present state, to one process or, without a link, to all.
    fn peer_beat(&mut self, now: Now, to: Option<LinkKey>, reply: bool) -> wire::PeerBeat {
        self.peers.last_number += 1;
        let number = self.peers.last_number;
        let (held, awaiting) = self.list_held_jobs(now, Some(number).filter(|_| to.is_none()));
        let peer = to.and_then(|link| self.peers.by_link.get(&link));
        wire::PeerBeat {
            owned: self.shards.owned().collect(),
            waiting: self.count_local_pending(),
            orphaned: self.orphaned_counts(now),
            eligible: self.stop_requested_at.is_none() && self.shards.failing_since().is_none(),
            relinquished: self.shards.relinquished().collect(),
            config_version: self.configuration.version(),
            blame: self.crashes.blame_report(now.mono),
            isolating: self.crashes.is_isolating(),
            number,
            beat_seen: peer.map_or(0, |peer| peer.number_seen),
            held,
            awaiting,
            lost: self
                .peers
                .recently_lost(now.mono)
                .flat_map(|lost| lost.held.iter().copied())
                .collect(),
            reply,
            ended: self.exited,
        }
    }

    /// Sends a heartbeat with the present state to one entry process. `reply` asks it to answer at once.
    pub(super) fn send_peer_beat(
        &mut self,
        now: Now,
        link: LinkKey,
        reply: bool,
        out: &mut Vec<Action>,
    ) {
        let beat = self.peer_beat(now, Some(link), reply);
        out.push(Action::Send(link, Body::PeerBeat(beat)));
    }
}
