//! Runs of durable jobs: ends that the worker retains until they are stored, and the shard claims of
//! entry processes.

use std::collections::BTreeMap;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;

use super::io::Action;
use super::machine::{Machine, log};
use crate::clock::Now;
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::ids::{Instance, Shard};
use crate::job::{RunId, shard_of};

/// Ends of runs of durable jobs that are not stored yet. Acknowledgements are cumulative, so one
/// retained end makes the worker retain all later ones as well.
#[derive(Debug, Default)]
pub(super) struct RetainedEnds {
    ends: BTreeMap<u64, wire::RunReport>,
    /// Ends that become invalid when the worker's lease expires.
    voided: DeterministicSet<u64>,
}

impl RetainedEnds {
    /// Adds the end with this number.
    pub(super) fn insert(&mut self, number: u64, report: wire::RunReport) {
        self.ends.insert(number, report);
    }

    /// Removes all ends, after the worker lost them.
    pub(super) fn clear(&mut self) {
        self.ends.clear();
        self.voided.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &wire::RunReport> {
        self.ends.values()
    }

    /// Returns the number up to which ends may be acknowledged, at most `processed`.
    pub(super) fn acknowledgeable(&self, processed: u64) -> u64 {
        self.ends.keys().next().map_or(processed, |first| first - 1)
    }

    /// Removes the ends of a run that have been stored, except voided ones.
    fn remove(&mut self, run: &wire::RunRef) {
        let voided = &self.voided;
        self.ends
            .retain(|number, end| end.run.as_ref() != Some(run) || voided.contains(number));
    }

    /// Voids the ends of a run. Returns whether there were any.
    fn void(&mut self, run: &wire::RunRef) -> bool {
        let matching = self.ends.iter();
        let matching = matching.filter(|(_, end)| end.run.as_ref() == Some(run));
        let numbers: Vec<u64> = matching.map(|(number, _)| *number).collect();
        self.voided.extend(&numbers);
        !numbers.is_empty()
    }

    /// Removes the voided ends, after the lease expired. Returns their number.
    pub(super) fn remove_voided(&mut self) -> usize {
        for number in &self.voided {
            self.ends.remove(number);
        }
        let count = self.voided.len();
        self.voided.clear();
        count
    }
}

/// Shard owners and unanswered claims.
#[derive(Debug, Default)]
pub(super) struct ShardClaims {
    /// Highest known epoch of each shard, and its owner.
    owners: DeterministicMap<Shard, (u64, Instance)>,
    /// Unanswered claims: claimant, number of the claim, shards.
    pending: Vec<(Instance, u64, Vec<Shard>)>,
}

impl ShardClaims {
    /// Returns whether an order with this epoch is from the current owner of the job's shard. Records
    /// a newer epoch.
    pub(super) fn accepts_order(&mut self, job: &str, epoch: u64, owner: Instance) -> bool {
        shard_of(job).is_some_and(|shard| self.record_owner(shard, epoch, owner))
    }

    /// Records the owner of a shard. Returns false if `owner` is not its owner as of the highest known
    /// epoch.
    fn record_owner(&mut self, shard: Shard, epoch: u64, owner: Instance) -> bool {
        let known = self.owners.entry(shard).or_insert((epoch, owner));
        if epoch > known.0 {
            *known = (epoch, owner);
        }
        *known == (epoch, owner)
    }

    /// Returns whether the process owns the shard of the run's job.
    fn is_owner(&self, owner: Instance, run: &wire::RunRef) -> bool {
        let shard = shard_of(&run.job);
        let known = shard.and_then(|shard| self.owners.get(&shard));
        known.is_some_and(|known| known.1 == owner)
    }
}

impl Machine {
    /// Transfers the durable runs of the claimed shards to the claimant.
    pub(super) fn handle_shard_claim(&mut self, owner: Instance, claim: &wire::ShardClaim) {
        let mut shards: Vec<Shard> = Vec::with_capacity(claim.shards.len());
        for claimed in &claim.shards {
            let shard = Shard(claimed.shard);
            if self.shard_claims.record_owner(shard, claimed.epoch, owner) {
                shards.push(shard);
            }
        }
        let runs = self.runs.iter();
        let runs = runs.filter(|(id, run)| run.durable && is_in(id, &shards));
        for id in runs.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.runs.update(&id, |run| run.owner = Some(owner));
        }
        self.shard_claims
            .pending
            .push((owner, claim.number, shards));
    }

    /// Answers the pending claims, once the worker's run lists are known.
    pub(super) fn answer_claims(&mut self, out: &mut Vec<Action>) {
        if !self.worker.lists_read {
            return;
        }
        for (owner, number, shards) in std::mem::take(&mut self.shard_claims.pending) {
            let Some(link) = self.owners.link_of(owner) else {
                continue;
            };
            let open = self.runs.iter().filter(|(id, run)| {
                let owned = run.durable && run.owner == Some(owner);
                (owned || run.owner.is_none()) && is_in(id, &shards)
            });
            let ended = self.retained_ends.iter().filter(|end| {
                let run = end.run.clone().map(RunId::from);
                run.is_some_and(|run| is_in(&run, &shards))
            });
            let runs = wire::ShardRuns {
                number,
                open: open.map(|(id, _)| id.into()).collect(),
                ended: ended.cloned().collect(),
            };
            out.push(Action::Send(link, Body::ShardRuns(runs)));
        }
    }

    /// Processes ends that the owner of their shard has stored (`settled`) or rejected (`voided`).
    /// Voiding an end lets the lease expire, which ends everything on the worker.
    pub(super) fn handle_settled(
        &mut self,
        owner: Instance,
        settled: &[wire::RunRef],
        voided: &[wire::RunRef],
        out: &mut Vec<Action>,
    ) {
        for run in settled
            .iter()
            .filter(|run| self.shard_claims.is_owner(owner, run))
        {
            self.retained_ends.remove(run);
        }
        for run in voided
            .iter()
            .filter(|run| self.shard_claims.is_owner(owner, run))
        {
            if self.retained_ends.void(run) {
                self.worker.lease_withheld = true;
                let fields = vec![("run", RunId::from(run.clone()).to_string())];
                log(
                    out,
                    430,
                    "run end rejected as too late; letting the lease expire",
                    true,
                    fields,
                );
            }
        }
    }

    /// Discards the voided ends after the withheld lease expired, and resumes lease renewals.
    pub(super) fn finish_lease_expiry(&mut self, now: Now, out: &mut Vec<Action>) {
        self.worker.lease_withheld = false;
        let ends = self.retained_ends.remove_voided();
        let fields = vec![("ends", ends.to_string())];
        log(
            out,
            431,
            "lease expired; rejected run ends discarded",
            false,
            fields,
        );
        self.reset_renewal_backoff(now);
    }
}

fn is_in(run: &RunId, shards: &[Shard]) -> bool {
    shard_of(&run.task.job).is_some_and(|shard| shards.contains(&shard))
}
