//! Takeover of shards from former owners.
//!
//! Jobs are restored from the journals, agents are fenced and report which tasks they started, and
//! jobs are in doubt if an agent that may have started their tasks is lost.

use knapweedwall_wire::{Admit, End, Fence, FenceReport, frame::Body};

use super::agents::{Agent, AgentKey, PendingFence};
use super::checkpoint;
use super::commit::not_started_indices;
use super::io::{Action, StoreOpId};
use super::jobs::{Admission, AgentKeys, CollectedJob, EndedJob, Job, JobOutcome, TaskState};
use super::machine::{Machine, StorePurpose};
use super::recovery::{JobRecord, Reconciliation, Recovery};
use super::replies::{IN_DOUBT, JobFailure, TaskCounts};
use super::shards::ShardRole;
use crate::clock::Now;
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::ids::{Epoch, Instance, JobId, JobKey, Shard, TaskRef};
use crate::peer::LinkKey;
use crate::store::Outcome;

impl Machine {
    /// Continues journal reads and reconciliations with agents.
    pub(super) fn run_takeover(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut recoveries = std::mem::take(&mut self.recoveries);
        let mut done = Vec::new();
        let mut index = 0;
        while index < recoveries.len() {
            if recoveries[index].is_done() {
                done.push(recoveries.swap_remove(index));
                continue;
            }
            let op = self.next_store_op();
            if let Some(request) = recoveries[index].next_read(now.mono, op) {
                self.store_ops.insert(op, StorePurpose::Recovery);
                out.push(Action::Store(op, request));
            }
            index += 1;
        }
        self.recoveries = recoveries;
        for recovery in done {
            self.finish_recovery(now, recovery, out);
        }
        self.finish_reconciliations(now, out);
    }

    pub(super) fn handle_recovery_outcome(
        &mut self,
        now: Now,
        op: StoreOpId,
        outcome: &Outcome,
        out: &mut Vec<Action>,
    ) {
        for recovery in &mut self.recoveries {
            if recovery.handle_outcome(now.mono, op, outcome.clone()) {
                break;
            }
        }
        self.run_takeover(now, out);
    }

    /// Starts serving the shards of a recovery whose records have all been read, and fences the
    /// agents.
    fn finish_recovery(&mut self, now: Now, recovery: Recovery, out: &mut Vec<Action>) {
        if recovery.decode_errors() > 0 {
            let fields = vec![("rows", recovery.decode_errors().to_string())];
            self.log(out, 130, "journal rows could not be decoded", true, fields);
        }
        let jobs = recovery.jobs.len();
        for (key, record) in recovery.jobs {
            if recovery.shards.contains(&record.shard) {
                self.restore_job(now, key, record);
            }
        }
        for &shard in &recovery.shards {
            self.shards.set_role(shard, ShardRole::Serving);
            let deadline = now.mono + self.settings.doubt_timeout;
            let awaited_agents = recovery.roster.clone();
            self.reconciliations.insert(
                shard,
                Reconciliation {
                    awaited_agents,
                    agent_lost: false,
                    deadline,
                },
            );
        }
        let millis = now.since(recovery.claimed_at).as_millis().to_string();
        let fields = vec![
            ("shards", recovery.shards.len().to_string()),
            ("jobs", jobs.to_string()),
            ("agents", recovery.roster.len().to_string()),
            ("read_ms", millis),
        ];
        self.log(out, 131, "shards loaded; now serving", false, fields);
        for instance in recovery.roster {
            if let Some(agent) = self.agents.by_instance(instance) {
                self.fence(agent, recovery.shards.iter().copied(), out);
            }
        }
        self.finish_reconciliations(now, out);
    }

    fn restore_job(&mut self, now: Now, key: JobKey, record: JobRecord) {
        let shard = record.shard;
        match (record.admit, record.end) {
            (Some(admit), Some(end)) => self.restore_ended_job(now, key, shard, &admit, &end),
            (Some(admit), None) => {
                let Ok(id) = JobId::parse(&admit.id) else {
                    return;
                };
                let mut job = Job::new(id, shard, admit, now.mono, Admission::Durable);
                job.tasks.fill(TaskState::Unknown);
                self.jobs.insert(job);
            }
            (None, _) => {}
        }
    }

    fn restore_ended_job(&mut self, now: Now, key: JobKey, shard: Shard, admit: &Admit, end: &End) {
        let Ok(id) = JobId::parse(&admit.id) else {
            // Checkpoints omit the ids of jobs whose results are no longer stored.
            let collected = CollectedJob {
                shard,
                digest: admit.digest,
                retain_until_ms: admit.expires_ms,
                failure_code: end.code.as_str().into(),
            };
            self.jobs.insert_collected(key, collected);
            return;
        };
        self.jobs.insert_ended(EndedJob {
            shard,
            id,
            digest: admit.digest,
            ended_ms: end.ended_ms,
            expires_ms: admit.expires_ms,
            outcome: checkpoint::job_outcome(end),
            counts: TaskCounts {
                started: end.started,
                not_started: end.not_started,
            },
            stored_at: now.mono,
            delivered_at: None,
            agents: AgentKeys::new(),
            durable: true,
            waiters: smallvec::SmallVec::new(),
        });
    }

    /// Raises the epoch of shards at an agent and requests a report of the tasks that it knows of.
    pub(super) fn fence(
        &mut self,
        key: AgentKey,
        shards: impl Iterator<Item = Shard>,
        out: &mut Vec<Action>,
    ) {
        for shard in shards {
            let epoch = self.shards.epoch(shard).0;
            let Some(agent) = self.agents.get_mut(key) else {
                return;
            };
            let Some(link) = agent.link else { return };
            agent.pending_fences.insert(shard, PendingFence::default());
            out.push(Action::Send(
                link,
                Body::Fence(Fence {
                    shard: shard.0,
                    epoch,
                }),
            ));
        }
    }

    /// Fences an agent for a shard unless the report on an earlier fence is still outstanding.
    pub(super) fn fence_unless_pending(
        &mut self,
        key: AgentKey,
        shard: Shard,
        out: &mut Vec<Action>,
    ) {
        let already_fenced = self
            .agents
            .get(key)
            .is_some_and(|agent| agent.pending_fences.contains_key(&shard));
        if !already_fenced && self.shards.role(shard) == ShardRole::Serving {
            self.fence(key, std::iter::once(shard), out);
        }
    }

    pub(super) fn handle_fence_report(
        &mut self,
        now: Now,
        link: LinkKey,
        report: FenceReport,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.agents.by_link(link) else {
            return;
        };
        let shard = Shard(report.shard);
        let (epoch, reported_epoch) = (self.shards.epoch(shard), Epoch(report.epoch));
        if reported_epoch > epoch {
            // The fence was refused because a newer owner has fenced the agent.
            self.ownership.request_scan();
            self.drop_fence(key, shard);
        }
        if reported_epoch != epoch {
            // A report on an earlier fence does not cover tasks started since.
            return;
        }
        let mut reported = Vec::new();
        for task in &report.tasks {
            if let Ok(job) = JobKey::from_bytes(&task.job) {
                reported.push(TaskRef {
                    job,
                    index: task.index,
                });
            }
        }
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        let Some(fence) = agent.pending_fences.get_mut(&shard) else {
            return;
        };
        fence.reported.extend(reported);
        for task in report.tasks {
            self.handle_task_report(now, key, task, out);
        }
        if report.last {
            self.finish_fence(now, key, shard, out);
        }
    }

    /// Stops waiting for an agent's report on a shard.
    fn drop_fence(&mut self, key: AgentKey, shard: Shard) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.pending_fences.remove(&shard);
        }
        self.try_register_worker(key);
    }

    /// Stops waiting for reports on a shard that this process has lost.
    pub(super) fn drop_fences(&mut self, shard: Shard) {
        let awaits_report = |(key, agent): (AgentKey, &Agent)| {
            agent.pending_fences.contains_key(&shard).then_some(key)
        };
        let keys: Vec<AgentKey> = self.agents.iter().filter_map(awaits_report).collect();
        for key in keys {
            self.drop_fence(key, shard);
        }
    }

    /// Handles the end of an agent's report on a shard.
    fn finish_fence(&mut self, now: Now, key: AgentKey, shard: Shard, out: &mut Vec<Action>) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        let Some(fence) = agent.pending_fences.remove(&shard) else {
            return;
        };
        let instance = agent.info.instance;
        for task in fence.unconfirmed {
            let state = self
                .jobs
                .open(task.job)
                .and_then(|job| job.tasks.get(task.index as usize));
            if state == Some(&TaskState::Started(key)) && !fence.reported.contains(&task) {
                self.requeue_task(now, task);
            }
        }
        if let Some(reconciliation) = self.reconciliations.get_mut(&shard) {
            reconciliation.awaited_agents.remove(&instance);
        }
        self.finish_reconciliations(now, out);
        self.try_register_worker(key);
    }

    /// Fences an agent that has connected, for these shards.
    ///
    /// If the agent was connected before, starts sent over the previous connection may have been
    /// lost; those that its report does not name are queued again. Starts sent over the new
    /// connection arrive after the fence, so the report need not name them.
    pub(super) fn fence_connected_agent(
        &mut self,
        key: AgentKey,
        shards: &[Shard],
        out: &mut Vec<Action>,
    ) {
        self.fence(key, shards.iter().copied(), out);
        for &shard in shards {
            let unconfirmed = self.tasks_started_at(key, shard);
            let Some(agent) = self.agents.get_mut(key) else {
                return;
            };
            if let Some(fence) = agent.pending_fences.get_mut(&shard) {
                fence.unconfirmed = unconfirmed;
            }
        }
    }

    fn tasks_started_at(&self, agent: AgentKey, shard: Shard) -> Vec<TaskRef> {
        let mut tasks = Vec::new();
        for job in self.jobs.iter_open() {
            if job.shard != shard {
                continue;
            }
            for (index, state) in (0_u32..).zip(&job.tasks) {
                if *state == TaskState::Started(agent) {
                    tasks.push(TaskRef {
                        job: job.key,
                        index,
                    });
                }
            }
        }
        tasks
    }

    /// Returns the shards that have tasks running at an agent as far as this process knows.
    pub(super) fn shards_with_tasks_at(&self, agent: AgentKey) -> DeterministicSet<Shard> {
        let mut shards = DeterministicSet::default();
        for job in self.jobs.iter_open() {
            if job.tasks.contains(&TaskState::Started(agent)) {
                shards.insert(job.shard);
            }
        }
        shards
    }

    /// Returns the shards whose reconciliations wait for an instance.
    pub(super) fn reconciliations_awaiting(&self, instance: Instance) -> Vec<Shard> {
        let mut shards = Vec::new();
        for (shard, reconciliation) in &self.reconciliations {
            if reconciliation.awaited_agents.contains(&instance) {
                shards.push(*shard);
            }
        }
        shards
    }

    /// Removes a lost agent instance from all reconciliations.
    pub(super) fn mark_agent_lost(&mut self, instance: Instance) {
        for reconciliation in self.reconciliations.values_mut() {
            if reconciliation.awaited_agents.remove(&instance) {
                reconciliation.agent_lost = true;
            }
        }
    }

    /// Resolves the unknown tasks of shards whose agents have all reported or been lost.
    fn finish_reconciliations(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut finished = Vec::new();
        for (shard, reconciliation) in &mut self.reconciliations {
            if now.mono >= reconciliation.deadline && !reconciliation.awaited_agents.is_empty() {
                reconciliation.awaited_agents.clear();
                reconciliation.agent_lost = true;
            }
            if reconciliation.awaited_agents.is_empty() {
                finished.push((*shard, reconciliation.agent_lost));
            }
        }
        if finished.is_empty() {
            return;
        }
        let finished: DeterministicMap<Shard, bool> = finished.into_iter().collect();
        for shard in finished.keys() {
            self.reconciliations.remove(shard);
        }
        self.resolve_unknown_tasks(now, &finished, out);
    }

    fn resolve_unknown_tasks(
        &mut self,
        now: Now,
        finished: &DeterministicMap<Shard, bool>,
        out: &mut Vec<Action>,
    ) {
        let mut open = Vec::new();
        for job in self.jobs.iter_open() {
            if let Some(agent_lost) = finished.get(&job.shard) {
                let unknown = job.tasks.contains(&TaskState::Unknown);
                open.push((job.key, *agent_lost && unknown));
            }
        }
        for (key, in_doubt) in open {
            if in_doubt {
                let text = "an agent that may have started tasks of the job is gone";
                self.end_job(
                    now,
                    key,
                    JobOutcome::Failed(JobFailure::new(IN_DOUBT, text)),
                    out,
                );
                continue;
            }
            let Some(job) = self.jobs.open(key) else {
                continue;
            };
            if job.admission != Admission::Durable || !job.tasks.contains(&TaskState::Unknown) {
                continue;
            }
            for state in &mut job.tasks {
                if *state == TaskState::Unknown {
                    *state = TaskState::Waiting;
                }
            }
            let indices = not_started_indices(job);
            let (class, team, arrived) = (&job.admit.class, &job.admit.team, job.arrived);
            self.dispatcher
                .enqueue(now, key, class, team, arrived, &indices);
        }
    }
}
