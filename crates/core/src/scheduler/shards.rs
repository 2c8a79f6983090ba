//! Ownership of the shards of durable jobs.
//!
//! The first row of a shard names its owner. Each write of the owner replaces this row and is
//! conditional on its version, so that nothing is written after another process has claimed the
//! shard, not even by a call that the store carries out late. A process keeps its shards only while
//! its sign of life in the store is younger than [`LEASE_DURATION`]; another claims them when that sign has
//! not changed for longer, or at once when the owner is known to have ended or has given them up.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire as wire;
use prost::Message;
use smol_str::SmolStr;

use super::io::Action;
use super::jobs::JobKey;
use super::machine::Machine;
use super::store::{StoreCall, StoreKey, StoreOutcome, StoreRow};
use crate::clock::Now;
use crate::ids::Shard;
use crate::maps::KeyMap;
use crate::work::SHARDS;

/// Time after a sign of life in the store in which its writer may place tasks of its shards.
/// Outages of the store that are shorter stop nothing.
pub(super) const LEASE_DURATION: Duration = Duration::from_secs(4);

/// Time after the lease in which what runs may still end; then it is stopped.
const LEASE_LAPSE_GRACE: Duration = Duration::from_secs(1);

/// Time after a release in which its successor takes the runs over; then they are stopped.
pub(super) const RELEASED_RUN_GRACE: Duration = Duration::from_secs(1);

/// Pause between two signs of life.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after which the answer to a sign of life is not waited for.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the start in which no shard without an owner is claimed, so that all processes find
/// each other.
const STARTUP_CLAIM_DELAY: Duration = Duration::from_millis(1_200);

/// Pause before a call that failed is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Age of a call without an answer from which the store counts as failing.
const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(350);

/// What this process does with a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ownership {
    /// Its first row is to be read.
    Unknown,
    /// Its first row is known, and this process does not own it.
    NotOwned,
    /// It is being claimed.
    Claiming,
    /// It was claimed, and its jobs are being read.
    Loading,
    /// It is owned.
    Owned,
    /// It is being given up.
    Releasing,
    /// It was given up; runs that nobody takes over are stopped at the given time.
    Released(Duration),
}

/// Rows on their way to the store.
#[derive(Debug, Clone)]
pub(super) struct WriteBatch {
    pub(super) owner: Bytes,
    pub(super) rows: Vec<(SmolStr, Option<Bytes>)>,
    pub(super) jobs: Vec<JobKey>,
    /// Ends of runs that the rows contain.
    pub(super) run_ends: Vec<wire::RunRef>,
    /// Whether the first row gives the shard up.
    pub(super) releases: bool,
    /// Whether a call with these rows had no answer: they may be written.
    pub(super) outcome_unknown: bool,
}

/// One shard.
#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) shard: Shard,
    pub(super) ownership: Ownership,
    /// First row as it was last seen, and its version.
    pub(super) owner_row: Option<wire::ShardOwner>,
    pub(super) owner_row_version: u64,
    pub(super) epoch: u64,
    pub(super) sequence: u64,
    /// Sequence of the last write that is known to be done.
    pub(super) written_sequence: u64,
    /// A call is on its way.
    pub(super) call_in_flight: bool,
    pub(super) retry_at: Duration,
    /// Write that is on its way or to be repeated.
    pub(super) batch: Option<WriteBatch>,
    /// Jobs whose rows are to be written.
    pub(super) dirty: Vec<JobKey>,
    /// Set when a write should not wait for others; else it may wait until then.
    pub(super) write_at: Option<Duration>,
    /// When it was claimed, and the number of the claim that agents have to answer.
    pub(super) claimed_at: Duration,
    pub(super) claim_number: u64,
    /// Whether nothing runs of its loaded jobs beyond what agents have told.
    pub(super) runs_known: bool,
    /// Whether the ownership was confirmed since the lease last lapsed.
    pub(super) ownership_confirmed: bool,
    /// Whether what ran was stopped since the lease lapsed.
    pub(super) runs_stopped: bool,
    /// Since when it can be claimed.
    pub(super) claimable_since: Option<Duration>,
    /// Last sign of life of its owner: version, and since when it is the same.
    pub(super) owner_heartbeat: Option<(u64, Duration)>,
    /// Last job that was read.
    pub(super) last_read_job: SmolStr,
    pub(super) successor: SmolStr,
    /// Set when the shard was given up without the store.
    pub(super) relinquished: bool,
}

impl ShardState {
    fn new(shard: Shard) -> Self {
        Self {
            shard,
            ownership: Ownership::Unknown,
            owner_row: None,
            owner_row_version: 0,
            epoch: 0,
            sequence: 0,
            written_sequence: 0,
            call_in_flight: false,
            retry_at: Duration::ZERO,
            batch: None,
            dirty: Vec::new(),
            write_at: None,
            claimed_at: Duration::ZERO,
            claim_number: 0,
            runs_known: false,
            ownership_confirmed: false,
            runs_stopped: false,
            claimable_since: None,
            owner_heartbeat: None,
            last_read_job: SmolStr::default(),
            successor: SmolStr::default(),
            relinquished: false,
        }
    }

    pub(super) fn reset_ownership(&mut self, holding: Ownership) {
        self.ownership = holding;
        self.batch = None;
        self.dirty.clear();
        self.write_at = None;
        self.runs_known = false;
        self.claimable_since = None;
        self.owner_heartbeat = None;
    }
}

/// What a call to the store was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPurpose {
    Shard(Shard),
    OwnerHeartbeat(Shard),
    Heartbeat(Duration),
}

/// All shards.
#[derive(Debug)]
pub(super) struct Shards {
    pub(super) list: Vec<ShardState>,
    pub(super) calls: KeyMap<StoreKey, (CallPurpose, Duration)>,
    pub(super) last_call: u64,
    /// Since when the store fails for this process.
    pub(super) failing_since: Option<Duration>,
    /// Time of the last sign of life that was written, and when the present one was sent.
    pub(super) last_heartbeat: Option<Duration>,
    pub(super) heartbeat_sent_at: Option<Duration>,
    pub(super) started_at: Option<Duration>,
    /// Whether other processes may not have been found yet.
    pub(super) discovering_peers: bool,
    pub(super) last_rebalance: Duration,
    pub(super) last_claim_number: u64,
}

impl Default for Shards {
    fn default() -> Self {
        Self {
            list: (0..SHARDS)
                .map(|shard| ShardState::new(Shard(shard)))
                .collect(),
            calls: KeyMap::default(),
            last_call: 0,
            failing_since: None,
            last_heartbeat: None,
            heartbeat_sent_at: None,
            started_at: None,
            discovering_peers: true,
            last_rebalance: Duration::ZERO,
            last_claim_number: 0,
        }
    }
}

impl Shards {
    pub(super) fn get(&self, shard: Shard) -> &ShardState {
        &self.list[shard.0 as usize]
    }

    pub(super) fn get_mut(&mut self, shard: Shard) -> &mut ShardState {
        &mut self.list[shard.0 as usize]
    }

    /// Whether this process may use shards that it owns.
    pub(super) fn has_lease(&self, now: Duration) -> bool {
        self.last_heartbeat
            .is_some_and(|alive| now.saturating_sub(alive) < LEASE_DURATION)
    }

    /// Shards that are owned, with their epochs.
    pub(super) fn owned(&self) -> impl Iterator<Item = wire::ShardEpoch> {
        let owned = self.list.iter();
        let owned = owned.filter(|state| state.ownership == Ownership::Owned);
        owned.map(|state| wire::ShardEpoch {
            shard: state.shard.0,
            epoch: state.epoch,
        })
    }

    /// Since when the store fails for this process.
    pub(super) fn failing_since(&self) -> Option<Duration> {
        self.failing_since
    }

    /// Shards that were given up without the store.
    pub(super) fn relinquished(&self) -> impl Iterator<Item = wire::ShardEpoch> {
        let relinquished = self.list.iter().filter(|state| state.relinquished);
        relinquished.map(|state| wire::ShardEpoch {
            shard: state.shard.0,
            epoch: state.epoch,
        })
    }

    /// Notes calls that have had no answer for long.
    pub(super) fn notice_slow_calls(&mut self, now: Duration) {
        let mut calls = self.calls.values();
        let slow = calls.any(|(_, sent)| now.saturating_sub(*sent) >= SLOW_CALL_THRESHOLD);
        if slow {
            self.failing_since.get_or_insert(now);
        }
    }

    pub(super) fn send_call(
        &mut self,
        now: Now,
        purpose: CallPurpose,
        call: StoreCall,
        out: &mut Vec<Action>,
    ) {
        self.last_call += 1;
        let key = StoreKey(self.last_call);
        self.calls.insert(key, (purpose, now.mono));
        out.push(Action::Store(key, call));
    }
}

impl Machine {
    /// Periodic work: signs of life, claims, writes, releases.
    pub(super) fn update_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let began = *self.shards.started_at.get_or_insert(now.mono);
        self.send_heartbeat(now, out);
        self.check_lease(now);
        self.shards.notice_slow_calls(now.mono);
        self.relinquish_shards(now, out);
        self.refuse_unstored_jobs(now, out);
        self.shards.discovering_peers = now.since(began) < STARTUP_CLAIM_DELAY;
        for at in 0..SHARDS {
            self.update_shard(now, Shard(at), out);
        }
        self.rebalance_shards(now, out);
    }

    pub(super) fn send_heartbeat(&mut self, now: Now, out: &mut Vec<Action>) {
        let waiting = self.shards.heartbeat_sent_at;
        if waiting.is_some_and(|sent| now.since(sent) < HEARTBEAT_TIMEOUT) {
            return;
        }
        let due = self
            .shards
            .last_heartbeat
            .is_none_or(|alive| now.since(alive) >= HEARTBEAT_INTERVAL);
        if due {
            self.shards.heartbeat_sent_at = Some(now.mono);
            let purpose = CallPurpose::Heartbeat(now.mono);
            self.shards
                .send_call(now, purpose, StoreCall::WriteHeartbeat, out);
        }
    }

    /// Stops what runs of durable jobs some time after the lease has lapsed; another process may
    /// claim them soon.
    pub(super) fn check_lease(&mut self, now: Now) {
        let lapsed = self
            .shards
            .last_heartbeat
            .map(|alive| now.since(alive + LEASE_DURATION));
        if self.shards.has_lease(now.mono) {
            return;
        }
        for at in 0..SHARDS {
            let state = self.shards.get_mut(Shard(at));
            if state.ownership != Ownership::Owned {
                continue;
            }
            state.ownership_confirmed = false;
            if !state.runs_stopped && lapsed.is_none_or(|since| since >= LEASE_LAPSE_GRACE) {
                state.runs_stopped = true;
                self.stop_shard_runs(Shard(at));
            }
        }
    }

    pub(super) fn update_shard(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        if let Ownership::Released(until) = state.ownership {
            if now.mono >= until {
                self.stop_shard_runs(shard);
                self.drop_shard(shard, Ownership::Unknown, out);
            }
            return;
        }
        if state.call_in_flight || now.mono < state.retry_at {
            return;
        }
        match state.ownership {
            Ownership::Unknown => self.call_store(now, shard, StoreCall::ReadOwner(shard), out),
            Ownership::NotOwned => self.consider_claim(now, shard, out),
            Ownership::Claiming => self.send_claim(now, shard, out),
            Ownership::Loading => {
                let after = state.last_read_job.clone();
                self.call_store(now, shard, StoreCall::ReadJobs { shard, after }, out);
            }
            Ownership::Owned => self.update_owned(now, shard, out),
            Ownership::Releasing => self.write_shard(now, shard, true, out),
            Ownership::Released(_) => {}
        }
    }

    pub(super) fn call_store(
        &mut self,
        now: Now,
        shard: Shard,
        call: StoreCall,
        out: &mut Vec<Action>,
    ) {
        self.shards.get_mut(shard).call_in_flight = true;
        self.shards
            .send_call(now, CallPurpose::Shard(shard), call, out);
    }

    pub(super) fn new_owner_row(&self, state: &ShardState, released: bool) -> wire::ShardOwner {
        wire::ShardOwner {
            instance: self.settings.instance.0,
            name: self.settings.name.to_string(),
            epoch: state.epoch,
            sequence: state.sequence,
            released,
            successor: state.successor.to_string(),
        }
    }

    /// Takes the outcome of a call to the store.
    pub(super) fn handle_store_outcome(
        &mut self,
        now: Now,
        key: StoreKey,
        outcome: StoreOutcome,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            StoreOutcome::Declined | StoreOutcome::NoAnswer => {
                self.shards.failing_since.get_or_insert(now.mono);
            }
            _ => self.shards.failing_since = None,
        }
        match self.shards.calls.remove(&key) {
            Some((CallPurpose::Shard(shard), _)) => {
                self.shards.get_mut(shard).call_in_flight = false;
                self.handle_shard_outcome(now, shard, outcome, out);
            }
            Some((CallPurpose::OwnerHeartbeat(shard), _)) => {
                if let StoreOutcome::Rows(rows, _) = outcome {
                    let version = rows.first().map_or(0, |row| row.version);
                    let state = self.shards.get_mut(shard);
                    let known = state.owner_heartbeat.filter(|(seen, _)| *seen == version);
                    state.owner_heartbeat = known.or(Some((version, now.mono)));
                }
            }
            Some((CallPurpose::Heartbeat(sent), _)) => {
                if matches!(outcome, StoreOutcome::Written(_)) {
                    self.shards.last_heartbeat = self.shards.last_heartbeat.max(Some(sent));
                }
                self.shards.heartbeat_sent_at =
                    self.shards.heartbeat_sent_at.filter(|at| *at != sent);
            }
            None => {}
        }
    }

    pub(super) fn handle_shard_outcome(
        &mut self,
        now: Now,
        shard: Shard,
        outcome: StoreOutcome,
        out: &mut Vec<Action>,
    ) {
        let holding = self.shards.get(shard).ownership;
        let unclear = outcome == StoreOutcome::NoAnswer;
        match (holding, outcome) {
            (_, StoreOutcome::Declined | StoreOutcome::NoAnswer) => {
                let state = self.shards.get_mut(shard);
                state.retry_at = now.mono + RETRY_DELAY;
                if let Some(batch) = &mut state.batch {
                    batch.outcome_unknown |= unclear;
                }
            }
            (Ownership::Unknown, StoreOutcome::Rows(rows, _)) => {
                self.update_owner_row(shard, rows.first());
                self.shards.get_mut(shard).ownership = Ownership::NotOwned;
            }
            (Ownership::Loading, StoreOutcome::Rows(rows, more)) => {
                self.load_jobs(now, shard, &rows, more, out);
            }
            (Ownership::Claiming, StoreOutcome::Written(version)) => {
                self.shards.get_mut(shard).owner_row_version = version;
                self.begin_loading(now, shard, out);
            }
            (
                Ownership::Owned | Ownership::Releasing | Ownership::Released(_),
                StoreOutcome::Written(version),
            ) => {
                self.shards.get_mut(shard).owner_row_version = version;
                self.finish_write(now, shard, out);
            }
            (_, StoreOutcome::Conflict(row)) => self.handle_write_conflict(now, shard, row, out),
            _ => {}
        }
    }

    pub(super) fn update_owner_row(&mut self, shard: Shard, row: Option<&StoreRow>) {
        let state = self.shards.get_mut(shard);
        let decoded = row.and_then(|row| wire::ShardOwner::decode(row.value.clone()).ok());
        let changed = state.owner_row != decoded;
        state.relinquished &= decoded.as_ref().is_some_and(|row| row.epoch <= state.epoch);
        state.owner_row = decoded;
        state.owner_row_version = row.map_or(0, |row| row.version);
        if changed {
            state.claimable_since = None;
            state.owner_heartbeat = None;
        }
    }

    /// Sends writes that should not wait for the next round.
    pub(super) fn flush_shard_writes(&mut self, now: Now, out: &mut Vec<Action>) {
        for at in 0..SHARDS {
            let state = self.shards.get(Shard(at));
            let due = state.write_at.is_some_and(|at| now.mono >= at);
            if due
                && !state.call_in_flight
                && now.mono >= state.retry_at
                && state.ownership == Ownership::Owned
            {
                self.write_shard(now, Shard(at), false, out);
            }
        }
    }

    /// Whether shards are still owned in a planned stop.
    pub(super) fn holds_any_shard(&self) -> bool {
        let mut shards = self.shards.list.iter();
        shards.any(|state| {
            matches!(
                state.ownership,
                Ownership::Owned | Ownership::Releasing | Ownership::Released(_)
            )
        })
    }

    /// Forgets the jobs of a shard that another process owns now, or soon.
    pub(super) fn drop_shard(&mut self, shard: Shard, holding: Ownership, out: &mut Vec<Action>) {
        self.shards.get_mut(shard).reset_ownership(holding);
        self.drop_jobs(shard, out);
    }
}
