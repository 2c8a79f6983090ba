//! Ends that the worker keeps until they are stored, and the shards that entry processes claim.

use std::collections::BTreeMap;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;

use super::io::Action;
use super::machine::{Machine, log};
use crate::clock::Now;
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::ids::{Instance, Shard};
use crate::job::{RunId, shard_of};

/// Ends of durable jobs that are not stored yet. The worker forgets ends up to a number, so that
/// one of them keeps all later ones.
#[derive(Debug, Default)]
pub(super) struct Kept {
    ends: BTreeMap<u64, wire::RunReport>,
    /// Ends that count for nothing once the worker's lease has lapsed.
    voided: DeterministicSet<u64>,
}

impl Kept {
    /// Keeps the end with this number.
    pub(super) fn insert(&mut self, number: u64, report: wire::RunReport) {
        self.ends.insert(number, report);
    }

    /// Forgets all ends; the worker has.
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

    /// Number up to which ends may be acknowledged, of those up to `taken`.
    pub(super) fn acknowledged(&self, taken: u64) -> u64 {
        self.ends.keys().next().map_or(taken, |first| first - 1)
    }

    fn settle(&mut self, run: &wire::RunRef) {
        let voided = &self.voided;
        self.ends
            .retain(|number, end| end.run.as_ref() != Some(run) || voided.contains(number));
    }

    fn void(&mut self, run: &wire::RunRef) -> bool {
        let found = self.ends.iter();
        let found = found.filter(|(_, end)| end.run.as_ref() == Some(run));
        let numbers: Vec<u64> = found.map(|(number, _)| *number).collect();
        self.voided.extend(&numbers);
        !numbers.is_empty()
    }

    /// The lease has lapsed: voided ends count for nothing. Returns how many there were.
    pub(super) fn forget_voided(&mut self) -> usize {
        for number in &self.voided {
            self.ends.remove(number);
        }
        let count = self.voided.len();
        self.voided.clear();
        count
    }
}

/// Claims of shards.
#[derive(Debug, Default)]
pub(super) struct Claims {
    /// Epoch and owner of each shard, as far as known.
    owners: DeterministicMap<Shard, (u64, Instance)>,
    /// Claims without an answer: from whom, number, shards.
    open: Vec<(Instance, u64, Vec<Shard>)>,
}

impl Claims {
    /// Whether an order of this epoch is the newest owner's; notes a newer epoch.
    pub(super) fn admits(&mut self, job: &str, epoch: u64, owner: Instance) -> bool {
        shard_of(job).is_some_and(|shard| self.note(shard, epoch, owner))
    }

    /// Notes the owner of a shard; false for one of an earlier epoch.
    fn note(&mut self, shard: Shard, epoch: u64, owner: Instance) -> bool {
        let known = self.owners.entry(shard).or_insert((epoch, owner));
        if epoch > known.0 {
            *known = (epoch, owner);
        }
        *known == (epoch, owner)
    }

    /// Whether the process owns the shard of the run's job.
    fn owns(&self, owner: Instance, run: &wire::RunRef) -> bool {
        let shard = shard_of(&run.job);
        let known = shard.and_then(|shard| self.owners.get(&shard));
        known.is_some_and(|known| known.1 == owner)
    }
}

impl Machine {
    /// Runs of the claimed shards belong to the claimer from now on.
    pub(super) fn take_shard_claim(&mut self, owner: Instance, claim: &wire::ShardClaim) {
        let mut shards: Vec<Shard> = Vec::with_capacity(claim.shards.len());
        for claimed in &claim.shards {
            let shard = Shard(claimed.shard);
            if self.claims.note(shard, claimed.epoch, owner) {
                shards.push(shard);
            }
        }
        let runs = self.runs.iter();
        let runs = runs.filter(|(id, run)| run.durable && is_in(id, &shards));
        for id in runs.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.runs.update(&id, |run| run.owner = Some(owner));
        }
        self.claims.open.push((owner, claim.number, shards));
    }

    /// Answers claims, once the worker's lists are known.
    pub(super) fn answer_claims(&mut self, out: &mut Vec<Action>) {
        if !self.worker.listed {
            return;
        }
        for (owner, number, shards) in std::mem::take(&mut self.claims.open) {
            let Some(link) = self.owners.link_of(owner) else {
                continue;
            };
            let open = self.runs.iter().filter(|(id, run)| {
                let mine = run.durable && run.owner == Some(owner);
                (mine || run.owner.is_none()) && is_in(id, &shards)
            });
            let ended = self.kept.iter().filter(|end| {
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

    /// Ends are stored, or count for nothing, as the owner of their shards says.
    pub(super) fn take_settled(
        &mut self,
        owner: Instance,
        settled: &[wire::RunRef],
        voided: &[wire::RunRef],
        out: &mut Vec<Action>,
    ) {
        for run in settled.iter().filter(|run| self.claims.owns(owner, run)) {
            self.kept.settle(run);
        }
        for run in voided.iter().filter(|run| self.claims.owns(owner, run)) {
            if self.kept.void(run) {
                self.worker.lapsing = true;
                let fields = vec![("run", RunId::from(run.clone()).to_string())];
                log(
                    out,
                    430,
                    "an end comes too late; the lease is let lapse",
                    true,
                    fields,
                );
            }
        }
    }

    /// The lease has lapsed, and with it what ended before.
    pub(super) fn finish_lapse(&mut self, now: Now, out: &mut Vec<Action>) {
        self.worker.lapsing = false;
        let ends = self.kept.forget_voided();
        let fields = vec![("ends", ends.to_string())];
        log(
            out,
            431,
            "lease lapsed; late ends are forgotten",
            false,
            fields,
        );
        self.resume_holds(now);
    }
}

fn is_in(run: &RunId, shards: &[Shard]) -> bool {
    shard_of(&run.task.job).is_some_and(|shard| shards.contains(&shard))
}
