//! Releases of shards to a preferred owner and during a planned stop.

use std::time::Duration;

use prost::Message;

use super::io::Action;
use super::machine::{Machine, StorePurpose};
use super::shards::ShardRole;
use super::store_keys;
use crate::clock::Now;
use crate::ids::Shard;
use crate::store::{Condition, Outcome, Reply, Request, Transaction, Write};

/// A shard is released to a preferred owner only if this much time has passed since the shard was
/// claimed and since the most recent peer connected.
const HANDOVER_DELAY: Duration = Duration::from_secs(3);

impl Machine {
    /// Releases a shard that another process should own, or any shard during a planned stop. At
    /// most one release is in flight.
    pub(super) fn release_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.ownership.release_pending {
            return;
        }
        let Some(shard) = self.next_release(now) else {
            return;
        };
        let Some(info) = self.shards.get(shard) else {
            return;
        };
        let mut row = info.row.clone();
        (row.owner, row.name, row.address) = (0, String::new(), String::new());
        let key = store_keys::owner(shard);
        let transaction = Transaction {
            conditions: vec![Condition::Version(key.clone(), info.version)],
            writes: vec![Write::Put(key, row.encode_to_vec().into())],
        };
        self.shards.set_role(shard, ShardRole::Releasing);
        self.ownership.release_pending = true;
        self.start_store_op(
            StorePurpose::Release(shard),
            Request::Transact(transaction),
            out,
        );
    }

    fn next_release(&self, now: Now) -> Option<Shard> {
        let mut others = self.peers.available(now.mono).peekable();
        others.peek()?;
        let peers_stable = self.recoveries.is_empty()
            && others.all(|peer| now.since(peer.connected_at) >= HANDOVER_DELAY);
        for (shard, info) in self.shards.iter() {
            if info.role == ShardRole::ReleaseUnconfirmed {
                return Some(shard);
            }
            if info.role != ShardRole::Serving || self.reconciliations.contains_key(&shard) {
                continue;
            }
            // A shard that was claimed again soon after its release stays here for a while, since
            // the preferred owner did not claim it.
            let claim_stable = now.since(info.claimed_at) >= HANDOVER_DELAY;
            let has_preferred_owner =
                claim_stable && self.peers.owner_rank(now.mono, &self.settings.name, shard) > 0;
            if self.stop_started.is_some() || (peers_stable && has_preferred_owner) {
                return Some(shard);
            }
        }
        None
    }

    pub(super) fn handle_release_outcome(
        &mut self,
        now: Now,
        shard: Shard,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        self.ownership.release_pending = false;
        match outcome {
            Ok(Reply::Committed(version)) => {
                let Some(info) = self.shards.get(shard) else {
                    return;
                };
                let mut row = info.row.clone();
                (row.owner, row.name, row.address) = (0, String::new(), String::new());
                let fields = vec![("shard", shard.to_string())];
                self.log(out, 123, "shard released", false, fields);
                self.apply_owner_row(now, shard, version, row, out);
            }
            Ok(Reply::Conflict(rows)) => {
                self.shards.set_role(shard, ShardRole::ReleaseUnconfirmed);
                self.apply_changed_owners(now, &rows, out);
            }
            // The release may have taken effect; the shard accepts no work until the outcome is
            // known.
            _ => {
                self.shards.set_role(shard, ShardRole::ReleaseUnconfirmed);
                self.ownership.request_scan();
            }
        }
    }

    /// Returns whether the process should exit: its planned stop is complete or has reached
    /// `stop_limit`.
    pub(super) fn should_exit(&self, now: Now) -> bool {
        let Some(since) = self.stop_started else {
            return false;
        };
        if self.shards.owned().is_empty() {
            return self.routing.len() == 0;
        }
        let idle = self.jobs.open_count() == 0 && self.journal.is_idle();
        let no_peers = self.peers.available(now.mono).next().is_none();
        (no_peers && idle) || now.since(since) >= self.settings.stop_limit
    }
}
