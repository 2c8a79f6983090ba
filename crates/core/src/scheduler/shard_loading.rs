//! Loading of a claimed shard: jobs are read from the store, and active runs are reported by
//! agents.

use std::time::Duration;

use knapweedwall_wire as wire;
use prost::Message;

use super::io::{Action, Answer};
use super::jobs::{Job, Progress, TaskState};
use super::machine::{Machine, log};
use super::shards::Ownership;
use super::store::StoreRow;
use super::stored_job::{decode_request, find_fault, restore_job, stored_queue_config};
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::ids::Shard;
use crate::job::{RunId, shard_of};

impl Machine {
    /// Adds jobs read from the store, and takes ownership of the shard after the last one.
    pub(super) fn load_jobs(
        &mut self,
        now: Now,
        shard: Shard,
        rows: &[StoreRow],
        more: bool,
        out: &mut Vec<Action>,
    ) {
        for row in rows {
            if let Err(error) = self.load_row(now, shard, row) {
                let fields = vec![("job", row.id.to_string()), ("error", error)];
                log(out, 323, "job row cannot be decoded", true, fields);
            }
        }
        if let (true, Some(last)) = (more, rows.last()) {
            self.shards.get_mut(shard).last_read_job = last.id.clone();
            return;
        }
        let jobs = self.jobs.iter_all();
        let jobs = jobs.filter(|(_, job)| job.shard() == Some(shard)).count();
        let fields = vec![
            ("shard", shard.to_string()),
            ("epoch", self.shards.get(shard).epoch.to_string()),
            ("jobs", jobs.to_string()),
        ];
        log(out, 324, "jobs of a shard loaded", false, fields);
        self.finish_loading(now, shard, out);
    }

    /// Adds the job of a row.
    fn load_row(&mut self, now: Now, shard: Shard, row: &StoreRow) -> Result<(), String> {
        let stored = wire::StoredJob::decode(row.value.clone());
        let stored = stored.map_err(|error| error.to_string())?;
        if let Some(fault) = find_fault(&stored) {
            return Err(fault.to_owned());
        }
        if stored.id != row.id {
            return Err("the row is of another job".to_owned());
        }
        self.load_job(now, shard, &stored);
        Ok(())
    }

    /// Adds a job read from the store, unless its id is in use.
    pub(super) fn load_job(&mut self, now: Now, shard: Shard, stored: &wire::StoredJob) {
        if self.jobs.find(&stored.id).is_some() {
            return;
        }
        let catalog = self.configuration.catalog.as_ref();
        let known = catalog.and_then(|catalog| catalog.queue(&stored.queue));
        let queue_config = known
            .cloned()
            .unwrap_or_else(|| stored_queue_config(stored));
        let request = decode_request(stored);
        let objective = self.objective(&queue_config, &request);
        let store_ms = self.store_clock.now_ms(now.mono).unwrap_or_default();
        let known = Some(stored.arrived_ms).filter(|arrived_ms| *arrived_ms > 0);
        let age_ms = known.map_or(0, |arrived_ms| store_ms.saturating_sub(arrived_ms));
        let age = Duration::from_millis(age_ms);
        let job = restore_job(stored, shard, (now.mono, age), queue_config, objective);
        self.jobs.insert(job);
    }

    /// Removes the jobs of a shard. Waiting callers are told that the outcome is unknown.
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
            let durable = job.durable.into_iter();
            let waiting = durable.flat_map(|durable| {
                let waiting = durable.submit_calls.into_iter().chain(durable.cancel_calls);
                waiting.chain(durable.query_calls)
            });
            for call in waiting {
                self.reply(call, Answer::OutcomeUnknown, out);
            }
        }
    }

    /// Orders agents to stop all runs of a shard. The tasks are placed again once the runs have
    /// ended.
    pub(super) fn stop_shard_runs(&mut self, shard: Shard) {
        let jobs = self.jobs.iter_all();
        let jobs = jobs.filter(|(_, job)| job.shard() == Some(shard));
        for key in jobs.map(|(key, _)| key).collect::<Vec<_>>() {
            self.stop_runs(key);
        }
    }

    /// Handles an agent's report of its runs of claimed shards.
    pub(super) fn handle_shard_runs(
        &mut self,
        now: Now,
        from: WorkerKey,
        runs: wire::ShardRuns,
        out: &mut Vec<Action>,
    ) {
        for end in &runs.ended {
            self.handle_run_report(now, from, end, out);
        }
        for run in runs.open {
            self.adopt_or_stop_run(now, from, &run.into());
        }
        if let Some(worker) = self.workers.get_mut(from) {
            worker.acknowledged_claim = worker.acknowledged_claim.max(runs.number);
        }
    }

    /// Adopts a run of an earlier owner if its task is unplaced and has no later attempt. Has the
    /// agent keep the run if it is now the current attempt, and else stop it.
    pub(super) fn adopt_or_stop_run(&mut self, now: Now, from: WorkerKey, run: &RunId) {
        let Some(shard) = shard_of(&run.task.job) else {
            return;
        };
        let state = self.shards.get(shard);
        if state.ownership != Ownership::Owned {
            return;
        }
        let runs_known = state.runs_known;
        let key = self.jobs.find(&run.task.job);
        let Some(job) = key.and_then(|key| self.jobs.get_mut(key)) else {
            return self.stop_unknown_run(from, run);
        };
        let loaded = job.durable.as_ref().is_some_and(|durable| durable.loaded);
        let task = job.task(run.task.phase, run.task.index);
        let accepted = task.is_some_and(|task| task.accepts_run(run));
        if loaded && accepted && !runs_known && job.progress != Progress::Closed {
            adopt_run(job, run, from);
            if let Some(worker) = self.workers.get_mut(from) {
                worker.runs.insert(run.clone());
            }
        }
        self.keep_or_stop_run(now, from, run);
    }

    /// Orders an agent to stop a run of a job that does not exist.
    pub(super) fn stop_unknown_run(&mut self, from: WorkerKey, run: &RunId) {
        if let Some(worker) = self.workers.get_mut(from) {
            worker.outbox.stops.push(run.into());
        }
    }

    /// Sends the owned shards to an agent that just connected.
    pub(super) fn send_owned_shards(&mut self, to: WorkerKey, out: &mut Vec<Action>) {
        let owned: Vec<wire::ShardEpoch> = self.shards.owned().collect();
        if owned.is_empty() {
            return;
        }
        let number = self.shards.last_claim_number;
        self.send_shard_claims(Some(to), number, owned, out);
    }
}

/// Marks a task of a durable job as placed on the worker whose agent reported the run or its end.
pub(super) fn adopt_run(job: &mut Job, run: &RunId, from: WorkerKey) {
    job.set_task_state(run.task.phase, run.task.index, TaskState::Placed(from));
    job.progress = Progress::Running;
    if let Some(task) = job.task_mut(run.task.phase, run.task.index) {
        task.attempt = run.attempt;
    }
}
