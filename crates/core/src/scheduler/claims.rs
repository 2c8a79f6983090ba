//! Claims of shards without a living owner, and what follows from them.

use std::time::Duration;

use knapweedwall_wire as wire;
use prost::Message;
use smallvec::SmallVec;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use super::io::Action;
use super::links::LOST_AFTER;
use super::machine::{Machine, log};
use super::shards::{Holding, LEASE, Purpose};
use super::store::StoreCall;
use super::workers::{Worker, WorkerKey};
use crate::clock::Now;
use crate::ids::{Instance, Shard};
use crate::job::SHARD_COUNT;

/// Time without a new sign of life after which an owner places nothing any more: its lease, and the
/// way of the last sign to the store.
const DEAD_AFTER: Duration = Duration::from_millis(LEASE.as_millis() as u64 + 600);

/// Time after a claim in which runs of the earlier owner end that no agent tells of: it stops them
/// a second after its lease, or its agents do when it is silent.
const PROOF_PAUSE: Duration = Duration::from_millis(LOST_AFTER.as_millis() as u64 + 400);

/// Head start of each process that comes before in the order of claims.
const RANK_PAUSE: Duration = Duration::from_millis(300);

/// Head start of the process that a shard was released to.
const SUCCESSOR_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two readings of a first row or of a sign of life.
const READ_PAUSE: Duration = Duration::from_millis(400);

impl Machine {
    /// Claims a shard without a living owner, in the order of the processes' ranks.
    pub(super) fn consider_claim(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        if self.stopping.is_some() || !self.shards.has_lease(now.mono) {
            return;
        }
        let state = self.shards.get(shard);
        let own = self.settings.instance;
        let head_start = match &state.row {
            None if self.shards.starting => return,
            None => self.rank(shard),
            Some(row) if row.released && row.successor == self.settings.name.as_str() => {
                Duration::ZERO
            }
            Some(row) if row.released => {
                let successor = &row.successor;
                let waits = self.peers.is_linked(successor);
                self.rank(shard)
                    + if waits {
                        SUCCESSOR_PAUSE
                    } else {
                        Duration::ZERO
                    }
            }
            Some(row) if Instance(row.instance) == own || self.settings.name == row.name => {
                Duration::ZERO
            }
            Some(row) if self.peers.has_relinquished(&row.name, shard, row.epoch) => {
                self.rank(shard)
            }
            Some(row) => match self.peers.instance_of(&row.name) {
                Some(instance) if instance == Instance(row.instance) => {
                    return self.watch_owner(now, shard);
                }
                Some(_renewed) => self.rank(shard),
                None => match state.beat {
                    Some((_, since)) if now.since(since) >= DEAD_AFTER => self.rank(shard),
                    _ => return self.read_life(now, shard, Instance(row.instance), out),
                },
            },
        };
        let state = self.shards.get_mut(shard);
        let since = *state.free_since.get_or_insert(now.mono);
        if now.since(since) >= head_start {
            state.holding = Holding::Claiming;
            self.send_claim(now, shard, out);
        }
    }

    /// The owner is connected: its row is read again when it no longer says that it owns the shard.
    pub(super) fn watch_owner(&mut self, now: Now, shard: Shard) {
        let row = self.shards.get(shard).row.as_ref();
        let name = row.map(|row| row.name.clone()).unwrap_or_default();
        let owns = self.peers.owns(&name, shard);
        let state = self.shards.get_mut(shard);
        state.free_since = None;
        state.beat = None;
        if !owns {
            state.holding = Holding::Unknown;
            state.retry_at = now.mono + READ_PAUSE;
        }
    }

    /// Takes what another process says of its shards: rows of those that it no longer owns are
    /// read again, and the ownership of those that it has claimed since is confirmed.
    pub(super) fn reread_rows(&mut self, now: Now, name: &str, owned: &[wire::ShardEpoch]) {
        for claimed in owned {
            if claimed.shard >= SHARD_COUNT {
                continue;
            }
            let state = self.shards.get_mut(Shard(claimed.shard));
            state.verified &= claimed.epoch <= state.epoch;
        }
        for at in 0..SHARD_COUNT {
            let shard = Shard(at);
            let state = self.shards.get(shard);
            let foreign = state.holding == Holding::Foreign;
            let of_peer = state
                .row
                .as_ref()
                .is_some_and(|row| row.name == name && !row.released);
            if foreign && of_peer && !self.peers.owns(name, shard) {
                let state = self.shards.get_mut(shard);
                state.holding = Holding::Unknown;
                state.retry_at = now.mono;
            }
        }
    }

    pub(super) fn read_life(
        &mut self,
        now: Now,
        shard: Shard,
        owner: Instance,
        out: &mut Vec<Action>,
    ) {
        let state = self.shards.get_mut(shard);
        state.retry_at = now.mono + READ_PAUSE;
        let call = StoreCall::ReadBeat(owner);
        self.shards.call(now, Purpose::OwnerBeat(shard), call, out);
    }

    /// Head start of the processes that come before this one for a shard.
    pub(super) fn rank(&self, shard: Shard) -> Duration {
        let weight = |name: &str| xxh3_64(format!("{shard} {name}").as_bytes());
        let own = weight(&self.settings.name);
        let before = self.peers.eligible();
        let before = before.filter(|name| weight(name) < own).count();
        RANK_PAUSE * u32::try_from(before).unwrap_or(u32::MAX)
    }

    pub(super) fn send_claim(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        let before = state.row.as_ref().map_or(0, |row| row.epoch);
        state.epoch = before + 1;
        state.sequence = 1;
        state.successor = SmolStr::default();
        let expected = state.version;
        let owner = self.owner_row(self.shards.get(shard), false);
        let call = StoreCall::Write {
            shard,
            expected,
            owner: owner.encode_to_vec().into(),
            jobs: Vec::new(),
        };
        self.call_store(now, shard, call, out);
    }

    pub(super) fn begin_loading(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        let before = state.row.take().map(|row| row.name);
        state.forget_ownership(Holding::Loading);
        state.claimed = now.mono;
        state.written = state.sequence;
        state.relinquished = false;
        state.verified = true;
        state.read = SmolStr::default();
        let fields = vec![
            ("shard", shard.to_string()),
            ("epoch", state.epoch.to_string()),
            ("before", before.unwrap_or_default()),
        ];
        log(out, 320, "shard claimed", false, fields);
        self.update_shard(now, shard, out);
    }

    /// All jobs have been read: agents tell what runs of them.
    pub(super) fn finish_loading(&mut self, shard: Shard, out: &mut Vec<Action>) {
        self.shards.claims += 1;
        let claim = self.shards.claims;
        let state = self.shards.get_mut(shard);
        state.holding = Holding::Owned;
        state.claim = claim;
        state.proven = false;
        let epoch = state.epoch;
        let shards = vec![wire::ShardEpoch {
            shard: shard.0,
            epoch,
        }];
        self.send_shard_claim(None, claim, shards, out);
        self.tell_peers(out);
    }

    /// Notes a shard as proven when all connected agents have told what runs of its jobs, and what
    /// others run has ended.
    pub(super) fn prove(&mut self, now: Now, shard: Shard) {
        let state = self.shards.get(shard);
        if state.proven || now.since(state.claimed) < PROOF_PAUSE {
            return;
        }
        let claim = state.claim;
        let connected = |worker: &Worker| worker.link.is_some();
        let mut workers = self.workers.iter().map(|(_, worker)| worker);
        if workers.all(|worker| !connected(worker) || worker.claim_seen >= claim) {
            self.shards.get_mut(shard).proven = true;
            self.changed = true;
        }
    }

    /// Tells agents which shards this process owns: one agent, or all.
    pub(super) fn send_shard_claim(
        &mut self,
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
