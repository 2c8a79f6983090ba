//! Jobs of a shard that was claimed: what the store and the agents know of them.

use std::time::Duration;

use knapweedwall_wire as wire;
use prost::Message;

use super::io::{Action, Answer};
use super::jobs::{Job, Place, Progress};
use super::machine::{Machine, log};
use super::record::{decode_request, restore, stored_rules};
use super::shards::Holding;
use super::store::StoreRow;
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::ids::Shard;
use crate::job::{RunId, shard_of};

impl Machine {
    /// Takes jobs that were read from the store.
    pub(super) fn load_jobs(
        &mut self,
        now: Now,
        shard: Shard,
        rows: &[StoreRow],
        more: bool,
        out: &mut Vec<Action>,
    ) {
        for row in rows {
            match wire::StoredJob::decode(row.value.clone()) {
                Ok(stored) => self.load_job(now, shard, &stored),
                Err(error) => {
                    let fields = vec![("job", row.id.to_string()), ("error", error.to_string())];
                    log(out, 323, "row of a job cannot be read", true, fields);
                }
            }
        }
        if let (true, Some(last)) = (more, rows.last()) {
            self.shards.get_mut(shard).read = last.id.clone();
            return;
        }
        let jobs = self.jobs.iter_all();
        let jobs = jobs.filter(|(_, job)| job.shard() == Some(shard)).count();
        let fields = vec![
            ("shard", shard.to_string()),
            ("epoch", self.shards.get(shard).epoch.to_string()),
            ("jobs", jobs.to_string()),
        ];
        log(out, 324, "jobs of a shard read", false, fields);
        self.finish_loading(shard, out);
    }

    pub(super) fn load_job(&mut self, now: Now, shard: Shard, stored: &wire::StoredJob) {
        if self.jobs.find(&stored.id).is_some() {
            return;
        }
        let catalog = self.catalog.as_ref();
        let known = catalog.and_then(|catalog| catalog.queue(&stored.queue));
        let rules = known.cloned().unwrap_or_else(|| stored_rules(stored));
        let request = decode_request(stored);
        let objective = self.objective(&rules, &request);
        let age = Duration::from_millis(now.wall_ms.saturating_sub(stored.arrived_ms));
        let job = restore(stored, shard, (now.mono, age), rules, objective);
        self.jobs.insert(job);
    }

    /// Forgets the jobs of a shard; callers who wait are told that the outcome is not known.
    pub(super) fn drop_jobs(&mut self, shard: Shard, out: &mut Vec<Action>) {
        for (_, worker) in self.workers.iter_mut() {
            worker
                .unsettled
                .retain(|run| shard_of(&run.task.job) != Some(shard));
        }
        let jobs = self.jobs.iter_all();
        let jobs = jobs.filter(|(_, job)| job.shard() == Some(shard));
        for key in jobs.map(|(key, _)| key).collect::<Vec<_>>() {
            let Some(job) = self.jobs.remove(key) else {
                continue;
            };
            for (_, worker) in self.workers.iter_mut() {
                worker.runs.retain(|run| run.task.job != job.request.id);
            }
            let record = job.record.into_iter();
            let waiting = record.flat_map(|record| {
                let waiting = record.accepting.into_iter().chain(record.cancelling);
                waiting.chain(record.asking)
            });
            for call in waiting {
                self.reply(call, Answer::GaveUp, out);
            }
        }
    }

    /// Orders the stop of everything that runs of a shard; its tasks wait again.
    pub(super) fn stop_shard(&mut self, shard: Shard) {
        let jobs = self.jobs.iter_all();
        let jobs = jobs.filter(|(_, job)| job.shard() == Some(shard));
        for key in jobs.map(|(key, _)| key).collect::<Vec<_>>() {
            self.stop_runs(key);
        }
    }

    /// Takes what an agent knows of the jobs of shards that this process has claimed.
    pub(super) fn take_shard_runs(
        &mut self,
        now: Now,
        from: WorkerKey,
        runs: wire::ShardRuns,
        out: &mut Vec<Action>,
    ) {
        for end in &runs.ended {
            self.take_end(now, from, end, out);
        }
        for run in runs.open {
            self.claim_run(from, &run.into());
        }
        if let Some(worker) = self.workers.get_mut(from) {
            worker.claim_seen = worker.claim_seen.max(runs.number);
        }
    }

    /// Goes on with a run of an earlier owner, or stops it.
    pub(super) fn claim_run(&mut self, from: WorkerKey, run: &RunId) {
        let Some(shard) = shard_of(&run.task.job) else {
            return;
        };
        let state = self.shards.get(shard);
        if state.holding != Holding::Owned {
            return;
        }
        let proven = state.proven;
        let key = self.jobs.find(&run.task.job);
        let Some(job) = key.and_then(|key| self.jobs.get_mut(key)) else {
            return self.stop_unknown(from, run);
        };
        let loaded = job.record.as_ref().is_some_and(|record| record.loaded);
        let task = job.task(run.task.phase, run.task.index);
        let waits = task.is_some_and(|task| task.awaits(run));
        if loaded && waits && !proven && job.progress != Progress::Closing {
            adopt_run(job, run, from);
            if let Some(worker) = self.workers.get_mut(from) {
                worker.runs.insert(run.clone());
            }
        }
        self.claim(from, run);
    }

    pub(super) fn stop_unknown(&mut self, from: WorkerKey, run: &RunId) {
        if let Some(worker) = self.workers.get_mut(from) {
            worker.outbox.stops.push(run.into());
        }
    }

    /// Tells an agent that has just connected which shards this process owns.
    pub(super) fn introduce_shards(&mut self, to: WorkerKey, out: &mut Vec<Action>) {
        let owned: Vec<wire::ShardEpoch> = self.shards.owned().collect();
        if owned.is_empty() {
            return;
        }
        let number = self.shards.claims;
        self.send_shard_claim(Some(to), number, owned, out);
    }
}

/// Notes that a task of a loaded job runs at an agent, or has ended there.
pub(super) fn adopt_run(job: &mut Job, run: &RunId, from: WorkerKey) {
    job.set_place(run.task.phase, run.task.index, Place::Placed(from));
    job.progress = Progress::Running;
    if let Some(task) = job.task_mut(run.task.phase, run.task.index) {
        task.attempt = run.attempt;
    }
}
