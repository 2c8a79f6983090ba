//! Claims of shards whose owner is gone, and the discovery of runs that it left behind.

use std::time::Duration;

use knapweedwall_wire as wire;
use prost::Message;
use smallvec::SmallVec;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use super::io::Action;
use super::links::LOST_AFTER;
use super::machine::{Machine, log};
use super::shards::{CallPurpose, LEASE_DURATION, Ownership};
use super::store::StoreCall;
use super::workers::{Worker, WorkerKey};
use crate::clock::Now;
use crate::ids::{Instance, Shard};
use crate::job::SHARD_COUNT;

/// Time without a new heartbeat after which an owner no longer places tasks: the lease, plus the
/// time that its last heartbeat may have taken to reach the store.
const OWNER_DEAD_AFTER: Duration = Duration::from_millis(LEASE_DURATION.as_millis() as u64 + 600);

/// Time after a claim within which agents report the runs of the earlier owner. Unreported runs
/// have then ended: the earlier owner stops its runs 1 s after its lease expired, and agents stop
/// them when they no longer hear from it.
const RUN_DISCOVERY_TIME: Duration = Duration::from_millis(LOST_AFTER.as_millis() as u64 + 400);

/// A claim is delayed by this time for each eligible process that ranks before this one.
const CLAIM_RANK_DELAY: Duration = Duration::from_millis(300);

/// Additional delay of claims of a released shard by processes other than the named successor, if
/// the successor is connected.
const SUCCESSOR_HEAD_START: Duration = Duration::from_secs(1);

/// Interval between reads of an owner row or of an owner's heartbeat by the first-ranked process. It
/// is longer by twice the delay of the claim for others, so that the reads of all processes together grow
/// only with the logarithm of their number.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// The heartbeat of an owner, as read from the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeartbeatReading {
    version: u64,
    /// Time at which this version was first read.
    since: Duration,
    /// Time at which the last read that showed this version was sent, if the owner is not known to have
    /// written to the shard since.
    read_at: Option<Duration>,
}

impl HeartbeatReading {
    /// Returns the reading after a read that was sent at `sent` and showed this version.
    pub(super) fn next(known: Option<Self>, now: Now, version: u64, sent: Duration) -> Self {
        let known = known.filter(|seen| seen.version == version);
        Self {
            version,
            since: known.map_or(now.mono, |known| known.since),
            read_at: Some(sent),
        }
    }

    /// Returns whether the owner places no more tasks: its lease has expired, and it had not stored
    /// another heartbeat when it did. This process may have read nothing for a long time, because it
    /// stood still or could not reach the store.
    pub(super) fn has_ended(&self, now: Now) -> bool {
        let read_after_lease = self
            .read_at
            .is_some_and(|read_at| read_at >= self.since + LEASE_DURATION);
        read_after_lease && now.since(self.since) >= OWNER_DEAD_AFTER
    }

    /// Returns whether another read may show that the process has ended.
    pub(super) fn may_show_end(&self, now: Now) -> bool {
        now.since(self.since) >= OWNER_DEAD_AFTER
    }

    /// Returns the reading after a write of the owner: it does not tell any more whether the owner
    /// has stored another heartbeat.
    pub(super) fn outdated(mut self) -> Self {
        self.read_at = None;
        self
    }
}

impl Machine {
    /// Claims a shard whose owner is gone, after a delay that depends on the rank of this process.
    pub(super) fn consider_claim(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        if self.stop_requested_at.is_some() || !self.shards.has_lease(now.mono) {
            return;
        }
        let state = self.shards.get(shard);
        let own = self.settings.instance;
        let delay = match &state.owner_row {
            None if self.shards.discovering_peers => return,
            None => self.claim_delay(shard),
            Some(row) if row.released && row.successor == self.settings.name.as_str() => {
                Duration::ZERO
            }
            Some(row) if row.released => {
                let successor_connected = self.peers.is_connected(&row.successor);
                self.claim_delay(shard)
                    + if successor_connected {
                        SUCCESSOR_HEAD_START
                    } else {
                        Duration::ZERO
                    }
            }
            Some(row) if Instance(row.instance) == own || self.settings.name == row.name => {
                Duration::ZERO
            }
            Some(row) if self.peers.has_relinquished(&row.name, shard, row.epoch) => {
                self.claim_delay(shard)
            }
            Some(row) => match self.peers.instance_of(&row.name) {
                Some(instance) if instance == Instance(row.instance) => {
                    return self.watch_owner(now, shard);
                }
                // The owner has restarted as another instance.
                Some(_) => self.claim_delay(shard),
                None if state
                    .owner_heartbeat
                    .is_some_and(|seen| seen.has_ended(now)) =>
                {
                    self.claim_delay(shard)
                }
                None => {
                    return self.read_owner_heartbeat(now, shard, Instance(row.instance), out);
                }
            },
        };
        let state = self.shards.get_mut(shard);
        let since = *state.claimable_since.get_or_insert(now.mono);
        if now.since(since) >= delay {
            state.ownership = Ownership::Claiming;
            self.send_claim(now, shard, out);
        }
    }

    /// Handles a shard whose owner is connected: reads the owner row again if the owner no longer
    /// reports the shard.
    pub(super) fn watch_owner(&mut self, now: Now, shard: Shard) {
        let row = self.shards.get(shard).owner_row.as_ref();
        let name = row.map(|row| row.name.clone()).unwrap_or_default();
        let owns = self.peers.owns(&name, shard);
        let delay = self.claim_delay(shard);
        let state = self.shards.get_mut(shard);
        state.claimable_since = None;
        state.owner_heartbeat = None;
        if !owns {
            state.ownership = Ownership::Unknown;
            state.next_call_at = now.mono + READ_INTERVAL + delay * 2;
        }
    }

    /// Compares the shards that another process reports with the known owner rows. Rows of shards
    /// that it no longer owns are read again; if it reports a shard with a later epoch,
    /// this process has to confirm its own ownership of the shard by a write.
    pub(super) fn refresh_owner_rows(&mut self, now: Now, name: &str, owned: &[wire::ShardEpoch]) {
        for claimed in owned {
            if claimed.shard >= SHARD_COUNT {
                continue;
            }
            let state = self.shards.get_mut(Shard(claimed.shard));
            if claimed.epoch > state.epoch {
                state.doubt_ownership();
            }
        }
        for at in 0..SHARD_COUNT {
            let shard = Shard(at);
            let state = self.shards.get(shard);
            let not_owned = state.ownership == Ownership::NotOwned;
            let of_peer = state
                .owner_row
                .as_ref()
                .is_some_and(|row| row.name == name && !row.released);
            if not_owned && of_peer && !self.peers.owns(name, shard) {
                let state = self.shards.get_mut(shard);
                state.ownership = Ownership::Unknown;
                state.next_call_at = now.mono;
            }
        }
    }

    /// Reads the heartbeat of a shard's owner from the store.
    pub(super) fn read_owner_heartbeat(
        &mut self,
        now: Now,
        shard: Shard,
        owner: Instance,
        out: &mut Vec<Action>,
    ) {
        let delay = self.claim_delay(shard);
        let state = self.shards.get_mut(shard);
        state.next_call_at = now.mono + READ_INTERVAL + delay * 2;
        let call = StoreCall::ReadHeartbeat(owner);
        let purpose = CallPurpose::OwnerHeartbeat(shard, owner);
        self.shards.send_call(now, purpose, call, out);
    }

    /// Records the version of an owner's heartbeat, from a read that was sent at `sent`.
    pub(super) fn record_owner_heartbeat(
        &mut self,
        now: Now,
        shard: Shard,
        owner: Instance,
        version: u64,
        sent: Duration,
    ) {
        let state = self.shards.get_mut(shard);
        let row = state.owner_row.as_ref();
        if row.is_none_or(|row| Instance(row.instance) != owner) {
            return;
        }
        let reading = HeartbeatReading::next(state.owner_heartbeat, now, version, sent);
        state.owner_heartbeat = Some(reading);
        if reading.has_ended(now) {
            state.next_call_at = state.next_call_at.min(now.mono);
        }
    }

    /// Returns the delay of this process's claim of a shard. The processes are ranked in a
    /// pseudo-random order that differs between shards.
    pub(super) fn claim_delay(&self, shard: Shard) -> Duration {
        let weight = |name: &str| xxh3_64(format!("{shard} {name}").as_bytes());
        let own = weight(&self.settings.name);
        let eligible = self.peers.eligible();
        let before = eligible.filter(|name| weight(name) < own).count();
        CLAIM_RANK_DELAY * u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Writes an owner row with the next epoch.
    pub(super) fn send_claim(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        let last_epoch = state.owner_row.as_ref().map_or(0, |row| row.epoch);
        state.epoch = last_epoch.saturating_add(1);
        state.sequence = 1;
        state.successor = SmolStr::default();
        let expected = state.owner_row_version;
        let owner = self.new_owner_row(self.shards.get(shard), false);
        let call = StoreCall::Write {
            shard,
            expected,
            owner: owner.encode_to_vec().into(),
            jobs: Vec::new(),
        };
        self.call_store(now, shard, call, out);
    }

    /// Starts to read the jobs of a shard after its claim was written, or releases it again in a
    /// graceful shutdown.
    pub(super) fn begin_loading(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        let last_owner = state.owner_row.take().map(|row| row.name);
        state.reset_ownership(if self.stop_requested_at.is_some() {
            Ownership::Releasing
        } else {
            Ownership::Loading
        });
        state.claimed_at = now.mono;
        state.written_sequence = state.sequence;
        state.relinquished = false;
        state.ownership_confirmed = state.call_confirms;
        state.last_read_job = SmolStr::default();
        // `before` is the previous owner.
        let fields = vec![
            ("shard", shard.to_string()),
            ("epoch", state.epoch.to_string()),
            ("before", last_owner.unwrap_or_default()),
        ];
        log(out, 320, "shard claimed", false, fields);
        self.update_shard(now, shard, out);
    }

    /// Takes ownership after all jobs were read, and asks the agents for their runs of these jobs.
    pub(super) fn finish_loading(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        self.shards.last_claim_number += 1;
        let claim = self.shards.last_claim_number;
        let state = self.shards.get_mut(shard);
        state.ownership = Ownership::Owned;
        state.claim_number = claim;
        state.runs_known = false;
        self.request_runs(shard, out);
        self.send_peer_beats(now, false, out);
    }

    /// Asks all agents for their runs of a shard, and for the ends that they retain.
    pub(super) fn request_runs(&self, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get(shard);
        let shards = vec![wire::ShardEpoch {
            shard: shard.0,
            epoch: state.epoch,
        }];
        self.send_shard_claims(None, state.claim_number, shards, out);
    }

    /// Sets `runs_known` once all connected agents have reported their runs of the shard's jobs and
    /// [`RUN_DISCOVERY_TIME`] has passed. No unreported run is then active.
    pub(super) fn update_runs_known(&mut self, now: Now, shard: Shard) {
        let state = self.shards.get(shard);
        if state.runs_known || now.since(state.claimed_at) < RUN_DISCOVERY_TIME {
            return;
        }
        let claim = state.claim_number;
        let connected = |worker: &Worker| worker.link.is_some();
        let mut workers = self.workers.iter().map(|(_, worker)| worker);
        if workers.all(|worker| !connected(worker) || worker.acknowledged_claim >= claim) {
            self.shards.get_mut(shard).runs_known = true;
            self.placement_pending = true;
        }
    }

    /// Sends a claim of shards to one agent, or to all if `to` is `None`.
    pub(super) fn send_shard_claims(
        &self,
        to: Option<WorkerKey>,
        number: u64,
        shards: Vec<wire::ShardEpoch>,
        out: &mut Vec<Action>,
    ) {
        let links: SmallVec<[_; 16]> = match to {
            Some(key) => self
                .workers
                .get(key)
                .and_then(|w| w.link)
                .into_iter()
                .collect(),
            None => self.workers.iter().filter_map(|(_, w)| w.link).collect(),
        };
        for link in links {
            let claim = wire::ShardClaim {
                number,
                shards: shards.clone(),
            };
            out.push(Action::Send(link, wire::frame::Body::ShardClaim(claim)));
        }
    }
}
