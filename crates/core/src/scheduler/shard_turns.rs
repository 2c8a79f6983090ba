//! Work on shards in each turn: heartbeats and leases, and the answers of the store.

use std::time::Duration;

use knapweedwall_wire as wire;
use prost::Message;

use super::io::Action;
use super::machine::Machine;
use super::shard_claims::HeartbeatReading;
use super::shards::{CallPurpose, LEASE_DURATION, Ownership, ShardState};
use super::store::{StoreCall, StoreKey, StoreOutcome, StoreRow};
use crate::clock::Now;
use crate::ids::Shard;
use crate::job::SHARD_COUNT;

/// Time between the expiry of the lease and the stop of active runs, in which they may still end.
const LEASE_LAPSE_GRACE: Duration = Duration::from_secs(1);

/// Interval of heartbeats to the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after which an unanswered heartbeat is sent again.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the start before shards that never had an owner are claimed, so that all processes can
/// discover each other first.
const STARTUP_CLAIM_DELAY: Duration = Duration::from_millis(1_200);

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl Machine {
    /// Performs the periodic work on shards: heartbeats, claims, writes and releases.
    pub(super) fn update_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let started_at = *self.shards.started_at.get_or_insert(now.mono);
        self.send_heartbeat(now, out);
        self.check_lease(now);
        self.shards.detect_slow_calls(now.mono);
        self.relinquish_shards(now, out);
        self.refuse_unstored_jobs(now, out);
        self.shards.discovering_peers = now.since(started_at) < STARTUP_CLAIM_DELAY;
        for at in 0..SHARD_COUNT {
            self.update_shard(now, Shard(at), out);
        }
        self.rebalance_shards(now, out);
    }

    /// Writes the heartbeat of this process if it is due.
    pub(super) fn send_heartbeat(&mut self, now: Now, out: &mut Vec<Action>) {
        let unanswered = self.shards.heartbeat_sent_at;
        if unanswered.is_some_and(|sent| now.since(sent) < HEARTBEAT_TIMEOUT) {
            return;
        }
        let due = self
            .shards
            .last_heartbeat
            .is_none_or(|sent_at| now.since(sent_at) >= HEARTBEAT_INTERVAL);
        if due {
            self.shards.heartbeat_sent_at = Some(now.mono);
            let purpose = CallPurpose::Heartbeat(now.mono);
            self.shards
                .send_call(now, purpose, StoreCall::WriteHeartbeat, out);
        }
    }

    /// Doubts the ownership of all shards while there is no lease, since another process may claim
    /// them. Stops the runs of owned ones [`LEASE_LAPSE_GRACE`] after the lease expired.
    pub(super) fn check_lease(&mut self, now: Now) {
        let expired_for = self
            .shards
            .last_heartbeat
            .map(|sent_at| now.since(sent_at + LEASE_DURATION));
        if self.shards.has_lease(now.mono) {
            return;
        }
        for at in 0..SHARD_COUNT {
            let state = self.shards.get_mut(Shard(at));
            state.doubt_ownership();
            if state.ownership != Ownership::Owned {
                continue;
            }
            if !state.runs_stopped && expired_for.is_none_or(|elapsed| elapsed >= LEASE_LAPSE_GRACE)
            {
                state.runs_stopped = true;
                self.stop_shard_runs(Shard(at));
            }
        }
    }

    /// Performs the next step for a shard, unless a call is in progress.
    pub(super) fn update_shard(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        if let Ownership::Released(until) = state.ownership {
            if now.mono >= until {
                self.stop_shard_runs(shard);
                self.drop_shard(now, shard, Ownership::Unknown, out);
            }
            return;
        }
        if state.call_in_flight || now.mono < state.next_call_at {
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
        let state = self.shards.get_mut(shard);
        state.call_in_flight = true;
        state.call_confirms = true;
        self.shards
            .send_call(now, CallPurpose::Shard(shard), call, out);
    }

    /// Creates an owner row that names this process, for the next write of a shard.
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

    /// Handles the outcome of a call to the store.
    pub(super) fn handle_store_outcome(
        &mut self,
        now: Now,
        key: StoreKey,
        (outcome, clock_ms): (StoreOutcome, Option<u64>),
        out: &mut Vec<Action>,
    ) {
        let call = self.shards.calls.remove(&key);
        if let (Some((_, sent)), Some(clock_ms)) = (&call, clock_ms) {
            self.store_clock.record(now.mono, *sent, clock_ms);
        }
        match outcome {
            StoreOutcome::Declined | StoreOutcome::NoAnswer => {
                self.shards.failing_since.get_or_insert(now.mono);
            }
            _ => self.shards.failing_since = None,
        }
        match call {
            Some((CallPurpose::Shard(shard), _)) => {
                self.shards.get_mut(shard).call_in_flight = false;
                self.handle_shard_outcome(now, shard, outcome, out);
            }
            Some((CallPurpose::OwnerHeartbeat(shard, owner), sent)) => {
                if let StoreOutcome::Rows(rows, _) = outcome {
                    let version = rows.first().map_or(0, |row| row.version);
                    self.record_owner_heartbeat(now, shard, owner, version, sent);
                }
            }
            Some((CallPurpose::LostHeartbeat(instance), sent)) => {
                if let StoreOutcome::Rows(rows, _) = outcome {
                    let version = rows.first().map_or(0, |row| row.version);
                    self.record_lost_heartbeat(now, instance, version, sent);
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
        let ownership = self.shards.get(shard).ownership;
        let unanswered = outcome == StoreOutcome::NoAnswer;
        match (ownership, outcome) {
            (_, StoreOutcome::Declined | StoreOutcome::NoAnswer) => {
                let state = self.shards.get_mut(shard);
                state.next_call_at = now.mono + RETRY_DELAY;
                if let Some(batch) = &mut state.batch {
                    batch.may_be_applied |= unanswered;
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

    /// Replaces the known owner row of a shard with the one just read.
    pub(super) fn update_owner_row(&mut self, shard: Shard, row: Option<&StoreRow>) {
        let state = self.shards.get_mut(shard);
        let decoded = row.and_then(|row| wire::ShardOwner::decode(row.value.clone()).ok());
        let changed = state.owner_row != decoded;
        let instance = |row: &Option<wire::ShardOwner>| row.as_ref().map(|row| row.instance);
        let same_owner = instance(&state.owner_row) == instance(&decoded);
        state.relinquished &= decoded.as_ref().is_some_and(|row| row.epoch <= state.epoch);
        state.owner_row = decoded;
        state.owner_row_version = row.map_or(0, |row| row.version);
        if changed {
            state.claimable_since = None;
            // The owner may have confirmed its ownership by this write, after a heartbeat that has not
            // been read yet.
            let reading = state.owner_heartbeat.take_if(|_| same_owner);
            state.owner_heartbeat = reading.map(HeartbeatReading::outdated);
        }
    }

    /// Sends due writes without waiting for the next periodic round.
    pub(super) fn flush_shard_writes(&mut self, now: Now, out: &mut Vec<Action>) {
        for at in 0..SHARD_COUNT {
            let state = self.shards.get(Shard(at));
            let due = state.write_at.is_some_and(|at| now.mono >= at);
            if due
                && !state.call_in_flight
                && now.mono >= state.next_call_at
                && state.ownership == Ownership::Owned
            {
                self.write_shard(now, Shard(at), false, out);
            }
        }
    }

    /// Returns whether any shard is owned, or its claim or release is not complete.
    pub(super) fn holds_any_shard(&self) -> bool {
        let mut shards = self.shards.list.iter();
        shards.any(|state| {
            matches!(
                state.ownership,
                Ownership::Claiming
                    | Ownership::Loading
                    | Ownership::Owned
                    | Ownership::Releasing
                    | Ownership::Released(_)
            )
        })
    }

    /// Removes the jobs of a shard that another process owns or is about to claim, and sets the
    /// shard's new ownership.
    pub(super) fn drop_shard(
        &mut self,
        now: Now,
        shard: Shard,
        new_ownership: Ownership,
        out: &mut Vec<Action>,
    ) {
        let state = self.shards.get_mut(shard);
        let loaded = matches!(
            state.ownership,
            Ownership::Owned | Ownership::Releasing | Ownership::Released(_)
        );
        state.reset_ownership(new_ownership);
        if loaded {
            self.keep_pending_counts(now.mono, shard);
        }
        self.drop_jobs(shard, out);
    }
}
