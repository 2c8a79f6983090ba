//! Runs of durable jobs: ended runs that the worker retains until their outcome is stored, and the
//! shard claims of entry processes.

use std::collections::BTreeMap;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;

use super::io::Action;
use super::machine::{Machine, log};
use crate::clock::Now;
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::ids::{Instance, Shard};
use crate::job::{RunId, shard_of};

/// Ended runs of durable jobs whose outcome is not stored yet. Acknowledgements to the worker are
/// cumulative, so it retains all runs that ended after the first one of these.
#[derive(Debug, Default)]
pub(super) struct RetainedRuns {
    /// Reports on the runs, by the number that the worker assigned to the end of the run.
    reports: BTreeMap<u64, wire::RunReport>,
    /// Numbers of the reports that the shard owner rejected. They are removed when the lease expires.
    voided: DeterministicSet<u64>,
}

impl RetainedRuns {
    /// Adds the run whose end has this number.
    pub(super) fn insert(&mut self, number: u64, report: wire::RunReport) {
        self.reports.insert(number, report);
    }

    /// Removes all runs, after the worker lost its list of ended runs.
    pub(super) fn clear(&mut self) {
        self.reports.clear();
        self.voided.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &wire::RunReport> {
        self.reports.values()
    }

    /// Returns the number up to which ended runs may be acknowledged, at most `processed`.
    pub(super) fn acknowledgeable(&self, processed: u64) -> u64 {
        self.reports
            .keys()
            .next()
            .map_or(processed, |first| first - 1)
    }

    /// Removes a run whose outcome has been stored, unless it is voided.
    fn remove(&mut self, run: &wire::RunRef) {
        let voided = &self.voided;
        self.reports
            .retain(|number, report| report.run.as_ref() != Some(run) || voided.contains(number));
    }

    /// Marks a run as voided. Returns whether it is retained.
    fn void(&mut self, run: &wire::RunRef) -> bool {
        let matching = self.reports.iter();
        let matching = matching.filter(|(_, report)| report.run.as_ref() == Some(run));
        let numbers: Vec<u64> = matching.map(|(number, _)| *number).collect();
        self.voided.extend(&numbers);
        !numbers.is_empty()
    }

    /// Removes the voided runs, after the lease expired. Returns their number.
    pub(super) fn remove_voided(&mut self) -> usize {
        for number in &self.voided {
            self.reports.remove(number);
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
    /// Unanswered claims: claiming process, number of the claim, shards.
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

    /// Returns whether a process other than this one is known to own the shard of the job.
    pub(super) fn is_owned_by_other(&self, owner: Instance, job: &str) -> bool {
        let known = shard_of(job).and_then(|shard| self.owners.get(&shard));
        known.is_some_and(|known| known.1 != owner)
    }

    /// Returns whether the process owns the shard of the run's job.
    fn is_owner(&self, owner: Instance, run: &wire::RunRef) -> bool {
        let shard = shard_of(&run.job);
        let known = shard.and_then(|shard| self.owners.get(&shard));
        known.is_some_and(|known| known.1 == owner)
    }
}

impl Machine {
    /// Transfers the durable runs of the claimed shards to the claiming process.
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
    pub(super) fn answer_shard_claims(&mut self, out: &mut Vec<Action>) {
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
            let ended = self.retained_runs.iter().chain(self.crashed_runs.iter());
            let ended = ended.filter(|report| {
                let run = report.run.clone().map(RunId::from);
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

    /// Processes retained runs whose outcome the owner of their shard has stored (`settled`) or
    /// rejected because the task had already been started again (`voided`). The worker
    /// counts the outcome of a run as valid if it is acknowledged before the lease expires. A voided
    /// run may therefore be acknowledged only afterwards, so the agent stops renewing the lease; its
    /// expiry ends all runs on the worker.
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
            self.retained_runs.remove(run);
        }
        for run in voided
            .iter()
            .filter(|run| self.shard_claims.is_owner(owner, run))
        {
            if self.retained_runs.void(run) {
                self.worker.lease_withheld = true;
                let fields = vec![("run", RunId::from(run.clone()).to_string())];
                log(
                    out,
                    430,
                    "run outcome was rejected because the task had been started again; letting the lease expire",
                    true,
                    fields,
                );
            }
        }
    }

    /// Discards the voided runs after the withheld lease expired, and resumes lease renewals.
    pub(super) fn finish_lease_expiry(&mut self, now: Now, out: &mut Vec<Action>) {
        self.worker.lease_withheld = false;
        let removed = self.retained_runs.remove_voided();
        let fields = vec![("ends", removed.to_string())];
        log(
            out,
            431,
            "lease expired; rejected outcomes discarded",
            false,
            fields,
        );
        self.reset_renewal_backoff(now);
    }
}

fn is_in(run: &RunId, shards: &[Shard]) -> bool {
    shard_of(&run.task.job).is_some_and(|shard| shards.contains(&shard))
}
