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
use smallvec::SmallVec;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use super::io::Action;
use super::jobs::JobKey;
use super::machine::{Machine, log};
use super::store::{StoreCall, StoreKey, StoreOutcome, StoreRow};
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::ids::{Instance, Shard};
use crate::maps::KeyMap;
use crate::work::SHARDS;

/// Time after a sign of life in the store in which its writer may place tasks of its shards.
/// Outages of the store that are shorter stop nothing.
pub(super) const LEASE: Duration = Duration::from_secs(4);

/// Time after the lease in which what runs may still end; then it is stopped.
const LAPSE_PAUSE: Duration = Duration::from_secs(1);

/// Time without a new sign of life after which an owner places nothing any more: its lease, and the
/// way of the last sign to the store.
const DEAD_AFTER: Duration = Duration::from_millis(LEASE.as_millis() as u64 + 600);

/// Time after a claim in which runs of the earlier owner end that no agent tells of: it stops them
/// [`LAPSE_PAUSE`] after its lease, or its agents do when it is silent.
const PROOF_PAUSE: Duration =
    Duration::from_millis(super::links::LOST_AFTER.as_millis() as u64 + 400);

/// Pause between two signs of life.
const BEAT_PAUSE: Duration = Duration::from_millis(1_000);

/// Time after which the answer to a sign of life is not waited for.
const BEAT_LIMIT: Duration = Duration::from_secs(1);

/// Time after the start in which no shard without an owner is claimed, so that all processes find
/// each other.
const START_PAUSE: Duration = Duration::from_millis(1_200);

/// Head start of each process that comes before in the order of claims.
const RANK_PAUSE: Duration = Duration::from_millis(300);

/// Head start of the process that a shard was released to.
const SUCCESSOR_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two readings of a first row or of a sign of life.
const READ_PAUSE: Duration = Duration::from_millis(400);

/// Pause before a call that failed is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two releases that even out the numbers of shards.
const BALANCE_PAUSE: Duration = Duration::from_secs(2);

/// Time after which a shard with open jobs is released too.
const BALANCE_PATIENCE: Duration = Duration::from_secs(12);

/// Age of a call without an answer from which the store counts as failing.
const SLOW_CALL: Duration = Duration::from_millis(350);

/// Time for which the store fails before shards are given up to a process that it serves.
const GIVE_UP_AFTER: Duration = Duration::from_millis(400);

/// Time after a release in which its successor takes the runs over; then they are stopped.
const RELEASED_RUNS: Duration = Duration::from_secs(1);

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
    releases: bool,
    /// Whether a call with these rows had no answer: they may be written.
    unclear: bool,
}

/// One shard.
#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) shard: Shard,
    pub(super) holding: Holding,
    /// First row as it was last seen, and its version.
    row: Option<wire::ShardOwner>,
    version: u64,
    pub(super) epoch: u64,
    sequence: u64,
    /// Sequence of the last write that is known to be done.
    written: u64,
    /// A call is on its way.
    busy: bool,
    retry_at: Duration,
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
    stopped: bool,
    /// Since when it can be claimed.
    free_since: Option<Duration>,
    /// Last sign of life of its owner: version, and since when it is the same.
    beat: Option<(u64, Duration)>,
    /// Last job that was read.
    pub(super) read: SmolStr,
    successor: SmolStr,
    /// Set when the shard was given up without the store.
    given: bool,
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
            given: false,
        }
    }

    fn forget_ownership(&mut self, holding: Holding) {
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
enum Purpose {
    Shard(Shard),
    OwnerBeat(Shard),
    Beat(Duration),
}

/// All shards.
#[derive(Debug)]
pub(super) struct Shards {
    pub(super) list: Vec<ShardState>,
    calls: KeyMap<StoreKey, (Purpose, Duration)>,
    last_call: u64,
    /// Since when the store fails for this process.
    failing: Option<Duration>,
    /// Time of the last sign of life that was written, and when the present one was sent.
    alive: Option<Duration>,
    beat_sent: Option<Duration>,
    began: Option<Duration>,
    /// Whether other processes may not have been found yet.
    starting: bool,
    balanced: Duration,
    pub(super) claims: u64,
}

impl Default for Shards {
    fn default() -> Self {
        Self {
            list: (0..SHARDS)
                .map(|shard| ShardState::new(Shard(shard)))
                .collect(),
            calls: KeyMap::default(),
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
    pub(super) fn given(&self) -> impl Iterator<Item = wire::ShardEpoch> {
        let given = self.list.iter().filter(|state| state.given);
        given.map(|state| wire::ShardEpoch {
            shard: state.shard.0,
            epoch: state.epoch,
        })
    }

    /// Notes calls that have had no answer for long.
    fn notice_slow_calls(&mut self, now: Duration) {
        let mut calls = self.calls.values();
        let slow = calls.any(|(_, sent)| now.saturating_sub(*sent) >= SLOW_CALL);
        if slow {
            self.failing.get_or_insert(now);
        }
    }

    fn call(&mut self, now: Now, purpose: Purpose, call: StoreCall, out: &mut Vec<Action>) {
        self.last_call += 1;
        let key = StoreKey(self.last_call);
        self.calls.insert(key, (purpose, now.mono));
        out.push(Action::Store(key, call));
    }
}

impl Machine {
    /// Periodic work: signs of life, claims, writes, releases.
    pub(super) fn tend_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let began = *self.shards.began.get_or_insert(now.mono);
        self.send_life(now, out);
        self.check_lease(now);
        self.shards.notice_slow_calls(now.mono);
        self.give_shards_up(now, out);
        self.refuse_unstored(now, out);
        self.shards.starting = now.since(began) < START_PAUSE;
        for at in 0..SHARDS {
            self.tend_shard(now, Shard(at), out);
        }
        self.balance_shards(now, out);
    }

    fn send_life(&mut self, now: Now, out: &mut Vec<Action>) {
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
    fn check_lease(&mut self, now: Now) {
        let lapsed = self.shards.alive.map(|alive| now.since(alive + LEASE));
        if self.shards.has_lease(now.mono) {
            return;
        }
        for at in 0..SHARDS {
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

    /// Gives shards up that this process cannot write to, when the store serves another.
    fn give_shards_up(&mut self, now: Now, out: &mut Vec<Action>) {
        let failing = self.shards.failing;
        let long = failing.is_some_and(|since| now.since(since) >= GIVE_UP_AFTER);
        if !long || self.peers.takers().next().is_none() {
            return;
        }
        let mut any = false;
        for at in 0..SHARDS {
            let state = self.shards.get_mut(Shard(at));
            if !matches!(state.holding, Holding::Owned | Holding::Releasing) {
                continue;
            }
            any = true;
            state.given = true;
            state.holding = Holding::Released(now.mono + RELEASED_RUNS);
            let fields = vec![
                ("shard", state.shard.to_string()),
                ("epoch", state.epoch.to_string()),
                (
                    "failing_ms",
                    now.since(failing.unwrap_or_default())
                        .as_millis()
                        .to_string(),
                ),
            ];
            log(
                out,
                326,
                "shard given up; the store serves others",
                true,
                fields,
            );
        }
        if any {
            self.tell_peers(out);
        }
    }

    fn tend_shard(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
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
            Holding::Owned => self.tend_owned(now, shard, out),
            Holding::Releasing => self.write_shard(now, shard, true, out),
            Holding::Released(_) => {}
        }
    }

    fn call_store(&mut self, now: Now, shard: Shard, call: StoreCall, out: &mut Vec<Action>) {
        self.shards.get_mut(shard).busy = true;
        self.shards.call(now, Purpose::Shard(shard), call, out);
    }

    /// Claims a shard without a living owner, in the order of the processes' ranks.
    fn consider_claim(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
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
            Some(row) if self.peers.gave(&row.name, shard, row.epoch) => self.rank(shard),
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
    fn watch_owner(&mut self, now: Now, shard: Shard) {
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
    pub(super) fn look_again(&mut self, now: Now, name: &str, owned: &[wire::ShardEpoch]) {
        for claimed in owned {
            if claimed.shard >= SHARDS {
                continue;
            }
            let state = self.shards.get_mut(Shard(claimed.shard));
            state.verified &= claimed.epoch <= state.epoch;
        }
        for at in 0..SHARDS {
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

    fn read_life(&mut self, now: Now, shard: Shard, owner: Instance, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        state.retry_at = now.mono + READ_PAUSE;
        let call = StoreCall::ReadBeat(owner);
        self.shards.call(now, Purpose::OwnerBeat(shard), call, out);
    }

    /// Head start of the processes that come before this one for a shard.
    fn rank(&self, shard: Shard) -> Duration {
        let weight = |name: &str| xxh3_64(format!("{shard} {name}").as_bytes());
        let own = weight(&self.settings.name);
        let before = self.peers.takers();
        let before = before.filter(|name| weight(name) < own).count();
        RANK_PAUSE * u32::try_from(before).unwrap_or(u32::MAX)
    }

    fn owner_row(&self, state: &ShardState, released: bool) -> wire::ShardOwner {
        wire::ShardOwner {
            instance: self.settings.instance.0,
            name: self.settings.name.to_string(),
            epoch: state.epoch,
            sequence: state.sequence,
            released,
            successor: state.successor.to_string(),
        }
    }

    fn send_claim(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
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

    fn tend_owned(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let has_lease = self.shards.has_lease(now.mono);
        self.prove(now, shard);
        let state = self.shards.get(shard);
        let due = state.write_at.is_some_and(|at| now.mono >= at);
        let verifies = !state.verified && has_lease;
        if state.batch.is_some() || due || verifies {
            self.write_shard(now, shard, false, out);
        }
    }

    /// Writes the rows that are due, or repeats the write that has no outcome.
    fn write_shard(&mut self, now: Now, shard: Shard, release: bool, out: &mut Vec<Action>) {
        if self.shards.get(shard).batch.is_none() {
            let (rows, jobs, ends) = self.collect_rows(now, shard);
            let state = self.shards.get_mut(shard);
            state.sequence += 1;
            let releases = release && state.dirty.is_empty();
            let owner = self.owner_row(self.shards.get(shard), releases);
            self.shards.get_mut(shard).batch = Some(Batch {
                owner: owner.encode_to_vec().into(),
                rows,
                jobs,
                ends,
                releases,
                unclear: false,
            });
        }
        let state = self.shards.get(shard);
        let Some(batch) = &state.batch else {
            return;
        };
        let call = StoreCall::Write {
            shard,
            expected: state.version,
            owner: batch.owner.clone(),
            jobs: batch.rows.clone(),
        };
        self.call_store(now, shard, call, out);
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

    fn take_shard_outcome(
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

    fn take_first_row(&mut self, shard: Shard, row: Option<&StoreRow>) {
        let state = self.shards.get_mut(shard);
        let decoded = row.and_then(|row| wire::ShardOwner::decode(row.value.clone()).ok());
        let changed = state.row != decoded;
        state.given &= decoded.as_ref().is_some_and(|row| row.epoch <= state.epoch);
        state.row = decoded;
        state.version = row.map_or(0, |row| row.version);
        if changed {
            state.free_since = None;
            state.beat = None;
        }
    }

    /// A write found another version: either it was carried out before, or the shard is lost.
    fn take_conflict(
        &mut self,
        now: Now,
        shard: Shard,
        row: Option<StoreRow>,
        out: &mut Vec<Action>,
    ) {
        self.take_first_row(shard, row.as_ref());
        let own = self.settings.instance.0;
        let state = self.shards.get(shard);
        let row = state.row.as_ref();
        let row = row.filter(|row| row.instance == own && row.epoch == state.epoch);
        let applied = row.is_some_and(|row| row.sequence == state.sequence);
        if !applied && row.is_some_and(|row| row.sequence == state.written) {
            // The version that was told with the last write was a later one; the write is repeated.
            return;
        }
        match state.holding {
            Holding::Claiming if applied => self.begin_loading(now, shard, out),
            Holding::Owned | Holding::Releasing | Holding::Released(_) if applied => {
                self.finish_write(now, shard, out);
            }
            Holding::Owned | Holding::Releasing | Holding::Released(_) | Holding::Loading => {
                let owner = state.row.as_ref().map(|row| row.name.clone());
                let fields = vec![
                    ("shard", shard.to_string()),
                    ("epoch", state.epoch.to_string()),
                    ("owner", owner.unwrap_or_default()),
                ];
                log(out, 322, "shard lost to another process", true, fields);
                self.stop_shard(shard);
                self.drop_shard(shard, Holding::Foreign, out);
            }
            _ => self
                .shards
                .get_mut(shard)
                .forget_ownership(Holding::Foreign),
        }
    }

    fn begin_loading(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        let before = state.row.take().map(|row| row.name);
        state.forget_ownership(Holding::Loading);
        state.claimed = now.mono;
        state.written = state.sequence;
        state.given = false;
        state.verified = true;
        state.read = SmolStr::default();
        let fields = vec![
            ("shard", shard.to_string()),
            ("epoch", state.epoch.to_string()),
            ("before", before.unwrap_or_default()),
        ];
        log(out, 320, "shard claimed", false, fields);
        self.tend_shard(now, shard, out);
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
    fn prove(&mut self, now: Now, shard: Shard) {
        let state = self.shards.get(shard);
        if state.proven || now.since(state.claimed) < PROOF_PAUSE {
            return;
        }
        let claim = state.claim;
        let connected = |worker: &super::workers::Worker| worker.link.is_some();
        let mut workers = self.workers.iter().map(|(_, worker)| worker);
        if workers.all(|worker| !connected(worker) || worker.claim_seen >= claim) {
            self.shards.get_mut(shard).proven = true;
            self.changed = true;
        }
    }

    /// A write is done: what depended on it follows.
    fn finish_write(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        let state = self.shards.get_mut(shard);
        state.verified = true;
        state.stopped = false;
        state.written = state.sequence;
        let Some(batch) = state.batch.take() else {
            return;
        };
        state.write_at = (!state.dirty.is_empty()).then_some(now.mono);
        self.rows_written(&batch, out);
        if batch.releases {
            let state = self.shards.get_mut(shard);
            state.holding = Holding::Released(now.mono + RELEASED_RUNS);
            let fields = vec![
                ("shard", shard.to_string()),
                ("epoch", state.epoch.to_string()),
                ("successor", state.successor.to_string()),
            ];
            log(out, 321, "shard released", false, fields);
            self.tell_peers(out);
        }
    }

    /// Gives all shards up in a planned stop.
    pub(super) fn release_shards(&mut self) {
        for at in 0..SHARDS {
            let state = self.shards.get_mut(Shard(at));
            match state.holding {
                Holding::Owned => state.holding = Holding::Releasing,
                Holding::Claiming => state.holding = Holding::Unknown,
                _ => {}
            }
        }
    }

    /// Sends writes that should not wait for the next round.
    pub(super) fn flush_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        for at in 0..SHARDS {
            let state = self.shards.get(Shard(at));
            let due = state.write_at.is_some_and(|at| now.mono >= at);
            if due && !state.busy && now.mono >= state.retry_at && state.holding == Holding::Owned {
                self.write_shard(now, Shard(at), false, out);
            }
        }
    }

    /// Takes back the rows of a write that was certainly not carried out.
    pub(super) fn take_back(&mut self, shard: Shard) -> Option<Batch> {
        let state = self.shards.get_mut(shard);
        let holds = matches!(state.holding, Holding::Owned | Holding::Releasing);
        let waits =
            holds && !state.busy && state.batch.as_ref().is_some_and(|batch| !batch.unclear);
        state.batch.take_if(|_| waits)
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

    /// Releases a shard to a process that owns at least two fewer: one without open jobs, as tasks
    /// that wait would wait longer at the next owner.
    fn balance_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let pause = now.since(self.shards.balanced);
        if pause < BALANCE_PAUSE || self.stopping.is_some() {
            return;
        }
        let own = self.shards.owned().count();
        let least = self.peers.least_loaded();
        let Some((name, _)) = least.filter(|(_, count)| own >= count + 2) else {
            self.shards.balanced = now.mono;
            return;
        };
        let mut open = [0_u32; SHARDS as usize];
        for shard in self.jobs.iter().filter_map(|(_, job)| job.shard()) {
            open[shard.0 as usize] += 1;
        }
        let calm = self.shards.list.iter().filter(|state| {
            let owned = state.holding == Holding::Owned;
            owned && state.proven && state.verified && !state.busy && state.batch.is_none()
        });
        let calm = calm.min_by_key(|state| open[state.shard.0 as usize]);
        let Some(shard) = calm.map(|state| state.shard) else {
            return;
        };
        if open[shard.0 as usize] > 0 && pause < BALANCE_PATIENCE {
            return;
        }
        self.shards.balanced = now.mono;
        let state = self.shards.get_mut(shard);
        state.successor = name;
        state.holding = Holding::Releasing;
        self.tend_shard(now, shard, out);
    }

    /// Forgets the jobs of a shard that another process owns now, or soon.
    fn drop_shard(&mut self, shard: Shard, holding: Holding, out: &mut Vec<Action>) {
        self.shards.get_mut(shard).forget_ownership(holding);
        self.drop_jobs(shard, out);
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
