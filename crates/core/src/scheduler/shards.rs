//! Ownership of the shards of durable jobs.
//!
//! Each shard has an owner row. Every write of the owner replaces this row and is conditional on
//! its version, so that nothing is written after another process has claimed the shard, not even by
//! a call that the store executes late.
//!
//! A process may use its shards only while its heartbeat in the store is younger than
//! [`LEASE_DURATION`]. Another process claims them when the heartbeat has not changed for longer,
//! or immediately if the owner is known to have ended or has given them up. An owner releases a
//! shard by a write of its owner row. While it has no access to the store, it relinquishes the shard
//! instead, and tells the other processes by heartbeat.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire as wire;
use smol_str::SmolStr;

use super::io::Action;
use super::jobs::JobKey;
use super::shard_claims::HeartbeatReading;
use super::store::{StoreCall, StoreKey};
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::ids::{Instance, Shard};
use crate::job::SHARD_COUNT;

/// Time for which a process may place tasks of its shards after it has sent a heartbeat that was
/// stored. Store outages shorter than this do not interrupt placement.
pub(super) const LEASE_DURATION: Duration = Duration::from_secs(4);

/// Time between a release and the stop of active runs, in which the next owner may take them over.
pub(super) const RELEASED_RUN_GRACE: Duration = Duration::from_secs(1);

/// Age of an unanswered call at which the store is considered to be failing.
const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(350);

/// Relation of this process to a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ownership {
    /// The owner row has to be read.
    Unknown,
    /// The owner row is known, and this process does not own the shard.
    NotOwned,
    /// A claim is being written.
    Claiming,
    /// The claim succeeded, and the jobs are being read.
    Loading,
    /// The shard is owned and its jobs are loaded.
    Owned,
    /// Remaining rows and the release are being written.
    Releasing,
    /// The shard was released or relinquished. Its remaining runs are stopped at the given time.
    Released(Duration),
}

/// Rows of a write that is in progress or has to be repeated.
#[derive(Debug, Clone)]
pub(super) struct WriteBatch {
    pub(super) owner: Bytes,
    pub(super) rows: Vec<(SmolStr, Option<Bytes>)>,
    pub(super) jobs: Vec<JobKey>,
    /// Ended runs whose results the rows contain.
    pub(super) run_ends: Vec<wire::RunRef>,
    /// Whether the owner row releases the shard.
    pub(super) releases: bool,
    /// Whether a call with these rows was not answered, so that they may have been written.
    pub(super) may_be_applied: bool,
}

/// State of a shard.
#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) shard: Shard,
    pub(super) ownership: Ownership,
    /// Owner row as last read.
    pub(super) owner_row: Option<wire::ShardOwner>,
    /// Version of the owner row that the next write expects.
    pub(super) owner_row_version: u64,
    /// Epoch of this process's latest claim. Each claim, by any process, increments the epoch in the
    /// owner row.
    pub(super) epoch: u64,
    /// Number of the latest write in this epoch.
    pub(super) sequence: u64,
    /// Sequence of the latest write known to have succeeded.
    pub(super) written_sequence: u64,
    /// Whether a call to the store has no outcome yet.
    pub(super) call_in_flight: bool,
    /// Earliest time of the next call to the store. Delays calls after a failed one, and spaces
    /// reads.
    pub(super) next_call_at: Duration,
    /// Write that is in progress or has to be repeated.
    pub(super) batch: Option<WriteBatch>,
    /// Jobs whose rows have to be written.
    pub(super) dirty: Vec<JobKey>,
    /// Time at which dirty rows have to be written.
    pub(super) write_at: Option<Duration>,
    /// Time of the claim.
    pub(super) claimed_at: Duration,
    /// Number of the `ShardClaim` frame that agents have to answer before `runs_known` is set.
    pub(super) claim_number: u64,
    /// Whether agents have reported all runs of the loaded jobs that may still be active.
    pub(super) runs_known: bool,
    /// Whether a write confirmed the ownership since the lease last expired, another process reported
    /// a later epoch, or the end of a run could not be recorded for lack of a lease.
    pub(super) ownership_confirmed: bool,
    /// Whether the success of the call in flight confirms the ownership: the call was sent after the
    /// last doubt. The answer to an earlier one may have waited here while the process stood still
    /// and another one claimed the shard.
    pub(super) call_confirms: bool,
    /// Whether active runs were stopped after the lease expired.
    pub(super) runs_stopped: bool,
    /// Time since which the shard can be claimed.
    pub(super) claimable_since: Option<Duration>,
    /// The owner's heartbeat as last read.
    pub(super) owner_heartbeat: Option<HeartbeatReading>,
    /// Id of the last job read while loading.
    pub(super) last_read_job: SmolStr,
    /// Name of the process that the shard is released to; empty for any.
    pub(super) successor: SmolStr,
    /// Whether the shard was given up without a write to the store.
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
            next_call_at: Duration::ZERO,
            batch: None,
            dirty: Vec::new(),
            write_at: None,
            claimed_at: Duration::ZERO,
            claim_number: 0,
            runs_known: false,
            ownership_confirmed: false,
            call_confirms: false,
            runs_stopped: false,
            claimable_since: None,
            owner_heartbeat: None,
            last_read_job: SmolStr::default(),
            successor: SmolStr::default(),
            relinquished: false,
        }
    }

    /// Requires a write to confirm the ownership before tasks are placed.
    pub(super) fn doubt_ownership(&mut self) {
        self.ownership_confirmed = false;
        self.call_confirms = false;
    }

    /// Sets a new ownership and clears the state that belongs to the previous one.
    pub(super) fn reset_ownership(&mut self, ownership: Ownership) {
        self.ownership = ownership;
        self.batch = None;
        self.dirty.clear();
        self.write_at = None;
        self.runs_known = false;
        self.claimable_since = None;
    }
}

/// Purpose of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPurpose {
    /// Reads or writes rows of a shard.
    Shard(Shard),
    /// Reads the heartbeat of this owner of the shard.
    OwnerHeartbeat(Shard, Instance),
    /// Reads the heartbeat of an entry process that is out of reach.
    LostHeartbeat(Instance),
    /// Writes the heartbeat of this process, sent at this time.
    Heartbeat(Duration),
}

/// State of all shards, and of this process's calls to the store.
#[derive(Debug)]
pub(super) struct Shards {
    pub(super) list: Vec<ShardState>,
    /// Calls without an outcome, with their purposes and the times at which they were sent.
    pub(super) calls: DeterministicMap<StoreKey, (CallPurpose, Duration)>,
    pub(super) last_call: u64,
    /// Start of the present failure of the store, as seen by this process.
    pub(super) failing_since: Option<Duration>,
    /// Time at which the last successful heartbeat was sent.
    pub(super) last_heartbeat: Option<Duration>,
    /// Time at which a heartbeat without an outcome was sent.
    pub(super) heartbeat_sent_at: Option<Duration>,
    pub(super) started_at: Option<Duration>,
    /// Whether some of the other processes may not have been discovered yet.
    pub(super) discovering_peers: bool,
    pub(super) last_rebalance: Duration,
    /// Number of the last `ShardClaim` frame.
    pub(super) last_claim_number: u64,
}

impl Default for Shards {
    fn default() -> Self {
        Self {
            list: (0..SHARD_COUNT)
                .map(|shard| ShardState::new(Shard(shard)))
                .collect(),
            calls: DeterministicMap::default(),
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

    /// Returns whether the last heartbeat is recent enough to use the owned shards.
    pub(super) fn has_lease(&self, now: Duration) -> bool {
        self.last_heartbeat
            .is_some_and(|sent_at| now.saturating_sub(sent_at) < LEASE_DURATION)
    }

    /// Iterates over the owned shards with their epochs.
    pub(super) fn owned(&self) -> impl Iterator<Item = wire::ShardEpoch> {
        let owned = self.list.iter();
        let owned = owned.filter(|state| state.ownership == Ownership::Owned);
        owned.map(|state| wire::ShardEpoch {
            shard: state.shard.0,
            epoch: state.epoch,
        })
    }

    /// Returns the start of the present failure of the store, as seen by this process.
    pub(super) fn failing_since(&self) -> Option<Duration> {
        self.failing_since
    }

    /// Iterates over the shards that were given up without a write to the store, with their epochs.
    pub(super) fn relinquished(&self) -> impl Iterator<Item = wire::ShardEpoch> {
        let relinquished = self.list.iter().filter(|state| state.relinquished);
        relinquished.map(|state| wire::ShardEpoch {
            shard: state.shard.0,
            epoch: state.epoch,
        })
    }

    /// Marks the store as failing if a call has been unanswered for [`SLOW_CALL_THRESHOLD`].
    pub(super) fn detect_slow_calls(&mut self, now: Duration) {
        let mut calls = self.calls.values();
        let slow = calls.any(|(_, sent)| now.saturating_sub(*sent) >= SLOW_CALL_THRESHOLD);
        if slow {
            self.failing_since.get_or_insert(now);
        }
    }

    /// Adds an action that calls the store.
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
