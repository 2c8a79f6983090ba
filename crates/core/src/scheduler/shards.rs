//! Ownership of the shards of durable jobs.
//!
//! The first row of a shard names its owner. Each write of the owner replaces this row and is
//! conditional on its version, so that nothing is written after another process has claimed the
//! shard, not even by a call that the store carries out late. A process keeps its shards only while
//! its sign of life in the store is younger than [`LEASE`]; another claims them when that sign has
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
use crate::deterministic::DeterministicMap;
use crate::ids::Shard;
use crate::job::SHARD_COUNT;

/// Time after a sign of life in the store in which its writer may place tasks of its shards.
/// Outages of the store that are shorter stop nothing.
pub(super) const LEASE: Duration = Duration::from_secs(4);

/// Time after the lease in which what runs may still end; then it is stopped.
const LAPSE_PAUSE: Duration = Duration::from_secs(1);

/// Time after a release in which its successor takes the runs over; then they are stopped.
pub(super) const RELEASED_RUNS: Duration = Duration::from_secs(1);

/// Pause between two signs of life.
const BEAT_PAUSE: Duration = Duration::from_millis(1_000);

/// Time after which the answer to a sign of life is not waited for.
const BEAT_LIMIT: Duration = Duration::from_secs(1);

/// Time after the start in which no shard without an owner is claimed, so that all processes find
/// each other.
const START_PAUSE: Duration = Duration::from_millis(1_200);

/// Pause before a call that failed is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Age of a call without an answer from which the store counts as failing.
const SLOW_CALL: Duration = Duration::from_millis(350);

/// What this process does with a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Holding {
    /// Its first row is to be read.
    Unknown,
    /// Its first row is known, and this process does not own it.
    Foreign,
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
pub(super) struct Batch {
    pub(super) owner: Bytes,
    pub(super) rows: Vec<(SmolStr, Option<Bytes>)>,
    pub(super) jobs: Vec<JobKey>,
    /// Ends of runs that the rows contain.
    pub(super) ends: Vec<wire::RunRef>,
    /// Whether the first row gives the shard up.
    pub(super) releases: bool,
    /// Whether a call with these rows had no answer: they may be written.
    pub(super) unclear: bool,
}

/// One shard.
#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) shard: Shard,
    pub(super) holding: Holding,
    /// First row as it was last seen, and its version.
    pub(super) row: Option<wire::ShardOwner>,
    pub(super) version: u64,
    pub(super) epoch: u64,
    pub(super) sequence: u64,
    /// Sequence of the last write that is known to be done.
    pub(super) written: u64,
    /// A call is on its way.
    pub(super) busy: bool,
    pub(super) retry_at: Duration,
    /// Write that is on its way or to be repeated.
    pub(super) batch: Option<Batch>,
    /// Jobs whose rows are to be written.
    pub(super) dirty: Vec<JobKey>,
    /// Set when a write should not wait for others; else it may wait until then.
    pub(super) write_at: Option<Duration>,
    /// When it was claimed, and the number of the claim that agents have to answer.
    pub(super) claimed: Duration,
    pub(super) claim: u64,
    /// Whether nothing runs of its loaded jobs beyond what agents have told.
    pub(super) proven: bool,
    /// Whether the ownership was confirmed since the lease last lapsed.
    pub(super) verified: bool,
    /// Whether what ran was stopped since the lease lapsed.
    pub(super) stopped: bool,
    /// Since when it can be claimed.
    pub(super) free_since: Option<Duration>,
    /// Last sign of life of its owner: version, and since when it is the same.
    pub(super) beat: Option<(u64, Duration)>,
    /// Last job that was read.
    pub(super) read: SmolStr,
    pub(super) successor: SmolStr,
    /// Set when the shard was given up without the store.
    pub(super) relinquished: bool,
}

impl ShardState {
    fn new(shard: Shard) -> Self {
        Self {
            shard,
            holding: Holding::Unknown,
            row: None,
            version: 0,
            epoch: 0,
            sequence: 0,
            written: 0,
            busy: false,
            retry_at: Duration::ZERO,
            batch: None,
            dirty: Vec::new(),
            write_at: None,
            claimed: Duration::ZERO,
            claim: 0,
            proven: false,
            verified: false,
            stopped: false,
            free_since: None,
            beat: None,
            read: SmolStr::default(),
            successor: SmolStr::default(),
            relinquished: false,
        }
    }

    pub(super) fn forget_ownership(&mut self, holding: Holding) {
        self.holding = holding;
        self.batch = None;
        self.dirty.clear();
        self.write_at = None;
        self.proven = false;
        self.free_since = None;
        self.beat = None;
    }
}

/// What a call to the store was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Shard(Shard),
    OwnerBeat(Shard),
    Beat(Duration),
}

/// All shards.
#[derive(Debug)]
pub(super) struct Shards {
    pub(super) list: Vec<ShardState>,
    pub(super) calls: DeterministicMap<StoreKey, (Purpose, Duration)>,
    pub(super) last_call: u64,
    /// Since when the store fails for this process.
    pub(super) failing: Option<Duration>,
    /// Time of the last sign of life that was written, and when the present one was sent.
    pub(super) alive: Option<Duration>,
    pub(super) beat_sent: Option<Duration>,
    pub(super) began: Option<Duration>,
    /// Whether other processes may not have been found yet.
    pub(super) starting: bool,
    pub(super) balanced: Duration,
    pub(super) claims: u64,
}

impl Default for Shards {
    fn default() -> Self {
        Self {
            list: (0..SHARD_COUNT)
                .map(|shard| ShardState::new(Shard(shard)))
                .collect(),
            calls: DeterministicMap::default(),
            last_call: 0,
            failing: None,
            alive: None,
            beat_sent: None,
            began: None,
            starting: true,
            balanced: Duration::ZERO,
            claims: 0,
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
        self.alive
            .is_some_and(|alive| now.saturating_sub(alive) < LEASE)
    }

    /// Shards that are owned, with their epochs.
    pub(super) fn owned(&self) -> impl Iterator<Item = wire::ShardEpoch> {
        let owned = self.list.iter();
        let owned = owned.filter(|state| state.holding == Holding::Owned);
        owned.map(|state| wire::ShardEpoch {
            shard: state.shard.0,
            epoch: state.epoch,
        })
    }

    /// Since when the store fails for this process.
    pub(super) fn failing(&self) -> Option<Duration> {
        self.failing
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
        let slow = calls.any(|(_, sent)| now.saturating_sub(*sent) >= SLOW_CALL);
        if slow {
            self.failing.get_or_insert(now);
        }
    }

    pub(super) fn call(
        &mut self,
        now: Now,
        purpose: Purpose,
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
        let began = *self.shards.began.get_or_insert(now.mono);
        self.send_life(now, out);
        self.check_lease(now);
        self.shards.notice_slow_calls(now.mono);
        self.relinquish_shards(now, out);
        self.refuse_unstored(now, out);
        self.shards.starting = now.since(began) < START_PAUSE;
        for at in 0..SHARD_COUNT {
            self.update_shard(now, Shard(at), out);
        }
        self.balance_shards(now, out);
    }

    pub(super) fn send_life(&mut self, now: Now, out: &mut Vec<Action>) {
        let waiting = self.shards.beat_sent;
        if waiting.is_some_and(|sent| now.since(sent) < BEAT_LIMIT) {
            return;
        }
        let due = self
            .shards
            .alive
            .is_none_or(|alive| now.since(alive) >= BEAT_PAUSE);
        if due {
            self.shards.beat_sent = Some(now.mono);
            let purpose = Purpose::Beat(now.mono);
            self.shards.call(now, purpose, StoreCall::WriteBeat, out);
        }
    }

    /// Stops what runs of durable jobs some time after the lease has lapsed; another process may
    /// claim them soon.
    pub(super) fn check_lease(&mut self, now: Now) {
        let lapsed = self.shards.alive.map(|alive| now.since(alive + LEASE));
        if self.shards.has_lease(now.mono) {
            return;
        }
        for at in 0..SHARD_COUNT {
            let state = self.shards.get_mut(Shard(at));
            if state.holding != Holding::Owned {
                continue;
            }
            state.verified = false;
            if !state.stopped && lapsed.is_none_or(|since| since >= LAPSE_PAUSE) {
                state.stopped = true;
                self.stop_shard(Shard(at));
            }
        }
    }

    pub(super) fn update_shard(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        if let Holding::Released(until) = state.holding {
            if now.mono >= until {
                self.stop_shard(shard);
                self.drop_shard(shard, Holding::Unknown, out);
            }
            return;
        }
        if state.busy || now.mono < state.retry_at {
            return;
        }
        match state.holding {
            Holding::Unknown => self.call_store(now, shard, StoreCall::ReadOwner(shard), out),
            Holding::Foreign => self.consider_claim(now, shard, out),
            Holding::Claiming => self.send_claim(now, shard, out),
            Holding::Loading => {
                let after = state.read.clone();
                self.call_store(now, shard, StoreCall::ReadJobs { shard, after }, out);
            }
            Holding::Owned => self.update_owned(now, shard, out),
            Holding::Releasing => self.write_shard(now, shard, true, out),
            Holding::Released(_) => {}
        }
    }

    pub(super) fn call_store(
        &mut self,
        now: Now,
        shard: Shard,
        call: StoreCall,
        out: &mut Vec<Action>,
    ) {
        self.shards.get_mut(shard).busy = true;
        self.shards.call(now, Purpose::Shard(shard), call, out);
    }

    pub(super) fn owner_row(&self, state: &ShardState, released: bool) -> wire::ShardOwner {
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
    pub(super) fn take_stored(
        &mut self,
        now: Now,
        key: StoreKey,
        outcome: StoreOutcome,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            StoreOutcome::Declined | StoreOutcome::NoAnswer => {
                self.shards.failing.get_or_insert(now.mono);
            }
            _ => self.shards.failing = None,
        }
        match self.shards.calls.remove(&key) {
            Some((Purpose::Shard(shard), _)) => {
                self.shards.get_mut(shard).busy = false;
                self.take_shard_outcome(now, shard, outcome, out);
            }
            Some((Purpose::OwnerBeat(shard), _)) => {
                if let StoreOutcome::Rows(rows, _) = outcome {
                    let version = rows.first().map_or(0, |row| row.version);
                    let state = self.shards.get_mut(shard);
                    let known = state.beat.filter(|(seen, _)| *seen == version);
                    state.beat = known.or(Some((version, now.mono)));
                }
            }
            Some((Purpose::Beat(sent), _)) => {
                if matches!(outcome, StoreOutcome::Written(_)) {
                    self.shards.alive = self.shards.alive.max(Some(sent));
                }
                self.shards.beat_sent = self.shards.beat_sent.filter(|at| *at != sent);
            }
            None => {}
        }
    }

    pub(super) fn take_shard_outcome(
        &mut self,
        now: Now,
        shard: Shard,
        outcome: StoreOutcome,
        out: &mut Vec<Action>,
    ) {
        let holding = self.shards.get(shard).holding;
        let unclear = outcome == StoreOutcome::NoAnswer;
        match (holding, outcome) {
            (_, StoreOutcome::Declined | StoreOutcome::NoAnswer) => {
                let state = self.shards.get_mut(shard);
                state.retry_at = now.mono + RETRY_PAUSE;
                if let Some(batch) = &mut state.batch {
                    batch.unclear |= unclear;
                }
            }
            (Holding::Unknown, StoreOutcome::Rows(rows, _)) => {
                self.take_first_row(shard, rows.first());
                self.shards.get_mut(shard).holding = Holding::Foreign;
            }
            (Holding::Loading, StoreOutcome::Rows(rows, more)) => {
                self.load_jobs(now, shard, &rows, more, out);
            }
            (Holding::Claiming, StoreOutcome::Written(version)) => {
                self.shards.get_mut(shard).version = version;
                self.begin_loading(now, shard, out);
            }
            (
                Holding::Owned | Holding::Releasing | Holding::Released(_),
                StoreOutcome::Written(version),
            ) => {
                self.shards.get_mut(shard).version = version;
                self.finish_write(now, shard, out);
            }
            (_, StoreOutcome::Conflict(row)) => self.take_conflict(now, shard, row, out),
            _ => {}
        }
    }

    pub(super) fn take_first_row(&mut self, shard: Shard, row: Option<&StoreRow>) {
        let state = self.shards.get_mut(shard);
        let decoded = row.and_then(|row| wire::ShardOwner::decode(row.value.clone()).ok());
        let changed = state.row != decoded;
        state.relinquished &= decoded.as_ref().is_some_and(|row| row.epoch <= state.epoch);
        state.row = decoded;
        state.version = row.map_or(0, |row| row.version);
        if changed {
            state.free_since = None;
            state.beat = None;
        }
    }

    /// Sends writes that should not wait for the next round.
    pub(super) fn flush_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        for at in 0..SHARD_COUNT {
            let state = self.shards.get(Shard(at));
            let due = state.write_at.is_some_and(|at| now.mono >= at);
            if due && !state.busy && now.mono >= state.retry_at && state.holding == Holding::Owned {
                self.write_shard(now, Shard(at), false, out);
            }
        }
    }

    /// Whether shards are still owned in a planned stop.
    pub(super) fn holds_shards(&self) -> bool {
        let mut shards = self.shards.list.iter();
        shards.any(|state| {
            matches!(
                state.holding,
                Holding::Owned | Holding::Releasing | Holding::Released(_)
            )
        })
    }

    /// Forgets the jobs of a shard that another process owns now, or soon.
    pub(super) fn drop_shard(&mut self, shard: Shard, holding: Holding, out: &mut Vec<Action>) {
        self.shards.get_mut(shard).forget_ownership(holding);
        self.drop_jobs(shard, out);
    }
}
