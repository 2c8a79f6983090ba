//! Shard ownership: startup, owner rows, and liveness checks of other owners.

use std::time::Duration;

use knapweedwall_wire::{LiveRow, OwnerRow};
use prost::Message;

use super::agents::AgentKey;
use super::io::Action;
use super::machine::{Machine, StorePurpose};
use super::routing::{JobRequest, RoutedRequest};
use super::shards::{self, ShardRole};
use super::store_keys;
use super::waiters::Waiter;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::dispatch::WorkerKey;
use crate::ids::{Instance, JobId, JobKey, Shard};
use crate::store::{Condition, Outcome, Reply, Request, Transaction, Write};

/// Interval between rounds of ownership work.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between scans of the owner rows.
const SCAN_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between writes of this process's liveness counter.
const LIVENESS_INTERVAL: Duration = Duration::from_secs(1);

/// Duration of an unconfirmed journal write after which the store counts as slow.
const SLOW_STORE_THRESHOLD: Duration = Duration::from_secs(1);

/// Upper bound on the number of shards.
const MAX_SHARDS: u32 = 4_096;

/// State of shard ownership work.
#[derive(Debug, Default)]
pub struct Ownership {
    /// Agents by dispatcher worker key.
    pub agents_by_worker: DeterministicMap<WorkerKey, AgentKey>,
    /// Jobs to cancel once their admission is durable and the states of their tasks are known.
    pub pending_cancels: Vec<JobKey>,
    /// Whether an agent that the latest checkpoint still lists has been removed.
    pub roster_shrunk: bool,
    shard_count_known: bool,
    /// Whether the owner rows have been scanned at least once.
    pub owners_read: bool,
    config_known: bool,
    shard_count_pending: bool,
    scan_pending: bool,
    next_count_read: Duration,
    next_scan: Duration,
    next_round: Duration,
    next_liveness_write: Duration,
    liveness_counter: u64,
    /// Whether a release is in flight.
    pub release_pending: bool,
    write_pending_since: Option<Duration>,
    store_failed_since: Option<Duration>,
}

impl Ownership {
    /// Returns whether the number of shards, the owner rows and the configuration have been read.
    pub fn is_initialized(&self) -> bool {
        self.shard_count_known && self.owners_read && self.config_known
    }

    /// Records that the configuration has been read.
    pub fn set_config_known(&mut self) {
        self.config_known = true;
    }

    /// Schedules a scan of the owner rows for the next round.
    pub fn request_scan(&mut self) {
        self.next_scan = Duration::ZERO;
    }

    /// Records that a journal write was sent.
    pub fn journal_write_sent(&mut self, now: Duration) {
        self.write_pending_since.get_or_insert(now);
    }

    /// Records that a journal write is durable.
    pub fn journal_write_durable(&mut self) {
        self.write_pending_since = None;
    }

    /// Records whether a store operation succeeded.
    pub fn record_store_outcome(&mut self, now: Duration, outcome: &Outcome) {
        if outcome.is_ok() {
            self.store_failed_since = None;
        } else {
            self.store_failed_since.get_or_insert(now);
        }
    }

    /// Returns whether a journal write is overdue or the last store operation failed.
    pub fn is_store_slow(&self, now: Duration) -> bool {
        let is_overdue = |since: Duration| now.saturating_sub(since) >= SLOW_STORE_THRESHOLD;
        self.write_pending_since.is_some_and(is_overdue) || self.store_failed_since.is_some()
    }
}

impl Machine {
    /// Loads missing state, claims unowned shards, and releases shards that belong elsewhere.
    pub(super) fn run_ownership(&mut self, now: Now, out: &mut Vec<Action>) {
        self.initialize(now, out);
        if !self.ownership.shard_count_known || now.mono < self.ownership.next_round {
            return;
        }
        self.ownership.next_round = now.mono + ROUND_INTERVAL;
        self.write_liveness(now, out);
        self.probe_silent_owners(now, out);
        self.claim_unowned(now, out);
        self.release_shards(now, out);
    }

    fn initialize(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.ownership.shard_count_known && !self.ownership.shard_count_pending {
            if now.mono >= self.ownership.next_count_read {
                self.ownership.shard_count_pending = true;
                self.ownership.next_count_read = now.mono + ROUND_INTERVAL * 4;
                self.start_store_op(
                    StorePurpose::ShardCount,
                    Request::Get(store_keys::SHARD_COUNT.into()),
                    out,
                );
            }
            return;
        }
        if self.ownership.shard_count_known
            && !self.ownership.scan_pending
            && now.mono >= self.ownership.next_scan
        {
            self.ownership.scan_pending = true;
            self.ownership.next_scan = now.mono + SCAN_INTERVAL;
            let request = Request::Scan {
                prefix: store_keys::OWNER_PREFIX.into(),
                after: "".into(),
                limit: MAX_SHARDS,
            };
            self.start_store_op(StorePurpose::Owners, request, out);
        }
    }

    pub(super) fn handle_shard_count(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        self.ownership.shard_count_pending = false;
        match outcome {
            Ok(Reply::Row(Some(row))) => {
                let text = std::str::from_utf8(&row.value).unwrap_or_default();
                let Ok(count @ 1..=MAX_SHARDS) = text.parse::<u32>() else {
                    self.log(out, 120, "invalid shard count row", true, vec![]);
                    return;
                };
                self.shards.set_count(count);
                self.ownership.shard_count_known = true;
            }
            Ok(Reply::Row(None)) => {
                self.ownership.shard_count_pending = true;
                let key = store_keys::SHARD_COUNT;
                let value = self.settings.shards.to_string().into();
                let transaction = Transaction {
                    conditions: vec![Condition::Absent(key.into())],
                    writes: vec![Write::Put(key.into(), value)],
                };
                self.start_store_op(
                    StorePurpose::ShardCount,
                    Request::Transact(transaction),
                    out,
                );
            }
            // The row is read again after a write or a failure.
            _ => {}
        }
    }

    pub(super) fn handle_owner_rows(&mut self, now: Now, outcome: Outcome, out: &mut Vec<Action>) {
        self.ownership.scan_pending = false;
        let Ok(Reply::Rows(found, _)) = outcome else {
            self.ownership.next_scan = now.mono + ROUND_INTERVAL * 4;
            return;
        };
        for row in &found {
            let Some((shard, owner)) = shards::decode_owner(row) else {
                continue;
            };
            self.apply_owner_row(now, shard, row.version, owner, out);
        }
        self.ownership.owners_read = true;
    }

    /// Updates the copy of an owner row and reacts to a change of ownership.
    pub(super) fn apply_owner_row(
        &mut self,
        now: Now,
        shard: Shard,
        version: u64,
        row: OwnerRow,
        out: &mut Vec<Action>,
    ) {
        let own = self.settings.instance;
        let changed = self.shards.update_row(shard, version, row);
        let owned_here = self.shards.is_owner(shard, own);
        match self.shards.role(shard) {
            ShardRole::Loading
            | ShardRole::Serving
            | ShardRole::ReleaseUnconfirmed
            | ShardRole::Releasing
                if changed && !owned_here =>
            {
                let fields = vec![("shard", shard.to_string())];
                self.log(out, 121, "shard lost to a newer owner", true, fields);
                self.drop_shard(now, shard, out);
            }
            // A claim whose reply was lost has taken effect.
            ShardRole::Foreign if owned_here => self.start_recovery(now, vec![shard]),
            _ => {}
        }
    }

    /// Stops serving a shard that is, or may be, owned by another process.
    fn drop_shard(&mut self, now: Now, shard: Shard, out: &mut Vec<Action>) {
        self.shards.set_role(shard, ShardRole::Foreign);
        self.reconciliations.remove(&shard);
        self.drop_fences(shard);
        self.journal.remove_shard_records(shard);
        for recovery in &mut self.recoveries {
            recovery.shards.remove(&shard);
        }
        let (open, ended) = self.jobs.remove_shard_jobs(shard);
        for job in open {
            self.dispatcher.cancel_job(job.key);
            self.dispatcher.remove_job(job.key);
            for waiter in job.waiters {
                // The new owner attaches the submission to the job if it was admitted.
                let request = JobRequest::Submit(Box::new(job.admit.clone()));
                self.reroute(now, waiter, &job.id, request, out);
            }
        }
        for ended_job in ended {
            for waiter in ended_job.waiters {
                self.reroute(now, waiter, &ended_job.id, JobRequest::Query, out);
            }
        }
    }

    fn reroute(
        &mut self,
        now: Now,
        waiter: Waiter,
        id: &JobId,
        request: JobRequest,
        out: &mut Vec<Action>,
    ) {
        let (id, key) = (id.clone(), id.key());
        let routed = RoutedRequest {
            waiter,
            id,
            key,
            request,
            hops: 0,
            received_at: now.mono,
            maybe_applied: true,
        };
        self.route(now, routed, out);
    }

    fn write_liveness(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.mono < self.ownership.next_liveness_write {
            return;
        }
        self.ownership.next_liveness_write = now.mono + LIVENESS_INTERVAL;
        self.ownership.liveness_counter += 1;
        let instance = self.settings.instance.0;
        let row = LiveRow {
            instance,
            counter: self.ownership.liveness_counter,
        };
        let write = Write::Put(
            store_keys::liveness(&self.settings.name),
            row.encode_to_vec().into(),
        );
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.start_store_op(
            StorePurpose::WriteLiveness,
            Request::Transact(transaction),
            out,
        );
    }

    /// Reads the liveness counters of owners without a live connection.
    fn probe_silent_owners(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut silent = DeterministicMap::default();
        for (_, info) in self.shards.iter() {
            let owner = Instance(info.row.owner);
            if owner.0 == 0
                || owner == self.settings.instance
                || self.peers.link_of(now.mono, owner).is_some()
            {
                continue;
            }
            silent.insert(owner, info.row.name.clone());
        }
        self.liveness_probes
            .retain(|instance, _| silent.contains_key(instance));
        for (instance, name) in silent {
            let probe = self.liveness_probes.entry(instance).or_default();
            if probe.is_due(now.mono) {
                let request = Request::Get(store_keys::liveness(&name));
                self.start_store_op(StorePurpose::ReadLiveness(instance), request, out);
            }
        }
    }

    pub(super) fn handle_liveness_row(&mut self, now: Now, instance: Instance, outcome: &Outcome) {
        let Some(probe) = self.liveness_probes.get_mut(&instance) else {
            return;
        };
        let Ok(Reply::Row(row)) = outcome else { return };
        let found = row
            .as_ref()
            .and_then(|row| LiveRow::decode(row.value.as_ref()).ok());
        let found = found.map(|live| (Instance(live.instance), live.counter));
        probe.observe(now.mono, instance, found);
    }
}
