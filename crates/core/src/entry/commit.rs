//! Journal writes and checkpoints, and the effects of their outcomes.

use knapweedwall_wire::{JournalRecord, Roster as RosterRecord, journal_record::Body};
use smol_str::SmolStr;

use super::agents::{AgentKey, RosterState};
use super::checkpoint::{self, StepOutcome};
use super::io::{Action, StoreOpId};
use super::jobs::{Admission, Job, TaskState};
use super::journal::{self, OwnershipCheck, RecordKind, WriteOutcome};
use super::machine::{Machine, StorePurpose};
use super::shards::{self, ShardRole};
use super::tasks::reply_to_waiters;
use crate::clock::Now;
use crate::ids::{Instance, JobKey, Shard};
use crate::store::{Outcome, Request, Row};

impl Machine {
    /// Starts the next journal write if one is due.
    pub(super) fn write_journal(&mut self, now: Now, out: &mut Vec<Action>) {
        let op = self.next_store_op();
        let jobs = &mut self.jobs;
        let mark = |kind: RecordKind| {
            let RecordKind::Admission(key) = kind else {
                return;
            };
            if let Some(job) = jobs.open(key)
                && job.admission == Admission::Queued
            {
                job.admission = Admission::Sent;
            }
        };
        let Some(transaction) = self
            .journal
            .next_write(now.mono, op, self.shards.owned(), mark)
        else {
            return;
        };
        self.ownership.journal_write_sent(now.mono);
        self.store_ops.insert(op, StorePurpose::Journal);
        out.push(Action::Store(op, Request::Transact(transaction)));
    }

    pub(super) fn handle_journal_outcome(
        &mut self,
        now: Now,
        op: StoreOpId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let failure = outcome
            .is_err()
            .then(|| journal::describe_outcome(&outcome));
        match self.journal.handle_outcome(now.mono, op, outcome) {
            None => {}
            Some(WriteOutcome::Retry) => {
                let text = failure.unwrap_or_default().to_string();
                self.log(
                    out,
                    110,
                    "journal write not confirmed; retrying",
                    true,
                    vec![("error", text)],
                );
            }
            Some(WriteOutcome::Durable {
                records,
                owned_shards,
            }) => {
                self.ownership.journal_write_durable();
                self.metrics.writes.inc();
                self.metrics.records.inc_by(records.len() as u64);
                for kind in records {
                    self.handle_durable_record(now, kind, &owned_shards, out);
                }
            }
            Some(WriteOutcome::OwnersChanged(rows)) => {
                self.apply_changed_owners(now, &rows, out);
                self.journal.drop_lost_records(self.shards.owned());
            }
            Some(WriteOutcome::ForeignRow) => {
                self.log(
                    out,
                    111,
                    "journal row written by another process; exiting",
                    true,
                    Vec::new(),
                );
                out.push(Action::Exit);
            }
        }
    }

    /// Applies owner rows returned by a conflicting transaction and drops shards that have been
    /// lost.
    pub(super) fn apply_changed_owners(
        &mut self,
        now: Now,
        rows: &[(SmolStr, Option<Row>)],
        out: &mut Vec<Action>,
    ) {
        for (_, row) in rows {
            let Some((shard, owner)) = row.as_ref().and_then(shards::decode_owner) else {
                continue;
            };
            let version = row.as_ref().map_or(0, |row| row.version);
            self.apply_owner_row(now, shard, version, owner, out);
        }
    }

    fn handle_durable_record(
        &mut self,
        now: Now,
        kind: RecordKind,
        owned_shards: &[Shard],
        out: &mut Vec<Action>,
    ) {
        match kind {
            RecordKind::Admission(key) => self.handle_durable_admission(now, key),
            RecordKind::End(key) => self.handle_durable_end(now, key, out),
            RecordKind::Roster(instance) => {
                self.handle_durable_roster_record(now, instance, owned_shards)
            }
        }
    }

    /// Handles a durable admission: queues the job's tasks, which may start from now on.
    fn handle_durable_admission(&mut self, now: Now, key: JobKey) {
        let Some(job) = self.jobs.open(key) else {
            return;
        };
        if job.admission == Admission::Durable {
            return;
        }
        job.admission = Admission::Durable;
        let indices = not_started_indices(job);
        let (class, team, arrived) = (&job.admit.class, &job.admit.team, job.arrived);
        self.dispatcher
            .enqueue(now, key, class, team, arrived, &indices);
    }

    /// Handles a durable end: replies to waiters and lets agents forget the job's tasks.
    fn handle_durable_end(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let Some(ended_job) = self.jobs.ended_job(key) else {
            return;
        };
        ended_job.durable = true;
        reply_to_waiters(now, ended_job, out);
        for agent in std::mem::take(&mut ended_job.agents) {
            self.agents.queue_settled(agent, key.to_bytes());
        }
    }

    /// Queues the roster record that allows this process to send starts to an agent.
    pub(super) fn add_to_roster(&mut self, now: Now, key: AgentKey) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        agent.roster = RosterState::Writing;
        let instance = agent.info.instance;
        let roster = RosterRecord {
            instance: instance.0,
            name: agent.info.name.to_string(),
        };
        let record = JournalRecord {
            shard: 0,
            body: Some(Body::RosterAdd(roster)),
        };
        // The write is conditional on the ownership of all shards: a process that has lost a shard
        // must not extend the roster that its successor has already read.
        let kind_and_record = (RecordKind::Roster(instance), &record);
        self.journal
            .push(now.mono, kind_and_record, OwnershipCheck::All, true);
    }

    fn handle_durable_roster_record(
        &mut self,
        now: Now,
        instance: Instance,
        owned_shards: &[Shard],
    ) {
        let Some(key) = self.agents.by_instance(instance) else {
            return;
        };
        let complete = self
            .shards
            .owned()
            .keys()
            .all(|shard| owned_shards.contains(shard));
        // The write was not conditional on owning shards claimed since, so the record is written
        // again.
        if !complete {
            return self.add_to_roster(now, key);
        }
        if let Some(agent) = self.agents.get_mut(key) {
            agent.roster = RosterState::Durable;
        }
        self.try_register_worker(key);
    }

    /// Writes checkpoints and deletes journal rows that they cover.
    pub(super) fn run_checkpoints(&mut self, now: Now, out: &mut Vec<Action>) {
        // Until reconciliation is complete, only the journals of former owners list the agents that
        // may have started tasks.
        if !self.reconciliations.is_empty() || !self.recoveries.is_empty() {
            return;
        }
        let own = self.settings.instance;
        let mut force = self.ownership.roster_shrunk;
        for (_, info) in self.shards.iter() {
            if info.role == ShardRole::Serving {
                force |= info.row.sources != [own.0];
            } else if info.row.sources.contains(&own.0) || info.role != ShardRole::Foreign {
                // The current checkpoint may be the only snapshot of this shard until its new owner
                // has written its own.
                return;
            }
        }
        let seq = self.journal.durable_seq();
        let op = self.next_store_op();
        let request = if self.checkpoints.is_due(now.mono, seq, force) {
            let snapshot = checkpoint::snapshot(seq, &self.jobs, &self.agents, &self.shards);
            self.ownership.roster_shrunk = false;
            let content = (seq, snapshot);
            Some(self.checkpoints.start(now.mono, op, content, &self.shards))
        } else {
            let pointer_write = self
                .checkpoints
                .next_pointer_write(now.mono, op, &self.shards);
            pointer_write.or_else(|| self.checkpoints.next_deletion(op))
        };
        if let Some(request) = request {
            self.store_ops.insert(op, StorePurpose::Checkpoint);
            out.push(Action::Store(op, request));
        }
    }

    pub(super) fn handle_checkpoint_outcome(
        &mut self,
        now: Now,
        op: StoreOpId,
        outcome: &Outcome,
        out: &mut Vec<Action>,
    ) {
        match self.checkpoints.handle_outcome(now.mono, op, outcome) {
            None | Some(StepOutcome::None) => {}
            Some(StepOutcome::Durable(version, rows)) => {
                for (shard, row) in rows {
                    self.apply_owner_row(now, shard, version, row, out);
                }
            }
            Some(StepOutcome::Conflict(rows)) => self.apply_changed_owners(now, &rows, out),
        }
    }
}

/// Returns the indices of tasks that are known not to have started.
pub(super) fn not_started_indices(job: &Job) -> Vec<u32> {
    let mut indices = Vec::new();
    for (index, state) in (0_u32..).zip(&job.tasks) {
        if *state == TaskState::Waiting {
            indices.push(index);
        }
    }
    indices
}
