//! Claims of shards without a live owner.

use std::collections::VecDeque;
use std::time::Duration;

use knapweedwall_wire::OwnerRow;
use prost::Message;

use super::io::Action;
use super::machine::{Machine, StorePurpose};
use super::recovery::Recovery;
use super::shards::ShardRole;
use super::{peers, store_keys};
use crate::clock::Now;
use crate::deterministic::DeterministicSet;
use crate::ids::{Instance, Shard};
use crate::store::{Condition, Outcome, Reply, Request, Transaction, Write};

/// Time after startup before the first claim, so that other processes can connect.
const STARTUP_DELAY: Duration = Duration::from_millis(1_000);

/// Additional delay of a claim for each process that ranks higher for the shard.
const RANK_DELAY: Duration = Duration::from_millis(500);

impl Machine {
    /// Returns whether a shard with this owner may be claimed: it has no owner, or the owner is
    /// considered dead or has been replaced by a newer instance of the same name.
    fn is_claimable(&self, owner: Instance, name: &str) -> bool {
        owner.0 == 0
            || self
                .liveness_probes
                .get(&owner)
                .is_some_and(peers::LivenessProbe::is_dead)
            || self.peers.has_other_instance(name, owner)
            || (name == self.settings.name && owner != self.settings.instance)
    }

    /// Claims shards without a live owner. Lower-ranked processes wait longer.
    pub(super) fn claim_unowned(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.ownership.owners_read || self.stop_started.is_some() || now.mono < STARTUP_DELAY {
            return;
        }
        let mut due = Vec::new();
        let mut unowned = Vec::new();
        for (shard, info) in self.shards.iter() {
            let owner = Instance(info.row.owner);
            if info.role != ShardRole::Foreign || !self.is_claimable(owner, &info.row.name) {
                continue;
            }
            let since = info.claimable_since.unwrap_or(now.mono);
            unowned.push((shard, since));
            let rank = self.peers.owner_rank(now.mono, &self.settings.name, shard);
            if now.since(since) >= RANK_DELAY * rank {
                due.push(shard);
            }
        }
        for (shard, since) in unowned {
            if let Some(info) = self.shards.get_mut(shard) {
                info.claimable_since = Some(since);
            }
        }
        if !due.is_empty() {
            self.claim(due, out);
        }
    }

    fn claim(&mut self, shards: Vec<Shard>, out: &mut Vec<Action>) {
        let mut transaction = Transaction::default();
        for &shard in &shards {
            let Some(info) = self.shards.get(shard) else {
                continue;
            };
            let key = store_keys::owner(shard);
            transaction.conditions.push(match info.version {
                0 => Condition::Absent(key.clone()),
                version => Condition::Version(key.clone(), version),
            });
            let row = self.claimed_row(&info.row);
            transaction
                .writes
                .push(Write::Put(key, row.encode_to_vec().into()));
        }
        for &shard in &shards {
            self.shards.set_role(shard, ShardRole::Claiming);
        }
        self.start_store_op(
            StorePurpose::Claim(shards),
            Request::Transact(transaction),
            out,
        );
    }

    fn claimed_row(&self, former: &OwnerRow) -> OwnerRow {
        let own = self.settings.instance.0;
        let mut sources = former.sources.clone();
        if !sources.contains(&own) {
            sources.push(own);
        }
        OwnerRow {
            owner: own,
            name: self.settings.name.to_string(),
            address: self.settings.address.to_string(),
            epoch: former.epoch + 1,
            sources,
        }
    }

    pub(super) fn handle_claim_outcome(
        &mut self,
        now: Now,
        shards: &[Shard],
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        for &shard in shards {
            self.shards.set_role(shard, ShardRole::Foreign);
        }
        match outcome {
            Ok(Reply::Committed(version)) => {
                for &shard in shards {
                    let Some(info) = self.shards.get(shard) else {
                        continue;
                    };
                    let row = self.claimed_row(&info.row);
                    self.shards.update_row(shard, version, row);
                }
                let fields = vec![("shards", shards.len().to_string())];
                self.metrics.claims.inc_by(shards.len() as u64);
                self.log(out, 122, "shards claimed", false, fields);
                self.start_recovery(now, shards.to_vec());
            }
            Ok(Reply::Conflict(rows)) => self.apply_changed_owners(now, &rows, out),
            // The claim may have taken effect; the owner rows show the outcome.
            _ => self.ownership.request_scan(),
        }
    }

    /// Starts reading the records of claimed shards from the journals of former owners.
    pub(super) fn start_recovery(&mut self, now: Now, shards: Vec<Shard>) {
        let mut journals = VecDeque::new();
        for &shard in &shards {
            self.shards.set_role(shard, ShardRole::Loading);
            let Some(info) = self.shards.get_mut(shard) else {
                continue;
            };
            info.claimed_at = now.mono;
            for &source in &info.row.sources {
                let journal = Instance(source);
                let unused = journal == self.settings.instance && self.journal.durable_seq() == 0;
                if !unused && !journals.contains(&journal) {
                    journals.push_back(journal);
                }
            }
        }
        let shards: DeterministicSet<Shard> = shards.into_iter().collect();
        self.recoveries
            .push(Recovery::new(now.mono, shards, journals));
    }
}
