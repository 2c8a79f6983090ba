//! Tasks of admitted jobs: starts, agent reports and the end of a job.

use bytes::Bytes;
use knapweedwall_wire::{
    Demand, JournalRecord, Outcome, Report, Return, TaskReport, TaskStart, frame::Body,
    journal_record::Body as RecordBody,
};

use super::agents::AgentKey;
use super::io::Action;
use super::jobs::{Admission, EndedJob, JobOutcome, TaskState};
use super::journal::{OwnershipCheck, RecordKind};
use super::machine::Machine;
use super::replies::{IN_DOUBT, JobFailure};
use super::shards::ShardRole;
use crate::clock::Now;
use crate::dispatch::{Assignment, TaskEnd};
use crate::ids::{JobKey, Shard, TaskRef};
use crate::peer::LinkKey;

/// Maximum number of starts in one turn, so that reports are processed in between.
const MAX_STARTS_PER_TURN: usize = 4_096;

impl Machine {
    /// Starts waiting tasks while credits are available and sends demand to agents.
    pub(super) fn dispatch(&mut self, now: Now, out: &mut Vec<Action>) {
        for _ in 0..MAX_STARTS_PER_TURN {
            let Some(assignment) = self.dispatcher.next_assignment(now) else {
                break;
            };
            self.start_task(now, assignment);
        }
        let mut demands = Vec::new();
        self.dispatcher.pending_demands(now, &mut demands);
        for (link, waiting, slack_ms) in demands {
            out.push(Action::Send(
                link,
                Body::Demand(Demand { waiting, slack_ms }),
            ));
        }
    }

    fn start_task(&mut self, now: Now, assignment: Assignment) {
        let Assignment { task, worker } = assignment;
        let agent = self.ownership.agents_by_worker.get(&worker).copied();
        let start = self.build_task_start(task);
        let (Some(agent), Some(start)) = (agent, start) else {
            self.dispatcher
                .task_ended(now, task, worker, TaskEnd::NotStarted);
            // The job is queued again once its tasks may start.
            self.dispatcher.remove_job(task.job);
            return;
        };
        if !self.agents.queue_start(agent, start) {
            self.dispatcher
                .task_ended(now, task, worker, TaskEnd::NotStarted);
            self.dispatcher.requeue(now, task);
            return;
        }
        if let Some(job) = self.jobs.open(task.job) {
            job.tasks[task.index as usize] = TaskState::Started(agent);
            self.metrics.starts.inc();
        }
    }

    /// Builds the start of a task if its job is open and the task is known not to have started.
    fn build_task_start(&mut self, task: TaskRef) -> Option<TaskStart> {
        let job = self.jobs.open(task.job)?;
        let content = job.admit.tasks.get(task.index as usize)?;
        let is_waiting = job.tasks.get(task.index as usize) == Some(&TaskState::Waiting);
        let shard = job.shard;
        if job.admission != Admission::Durable
            || !is_waiting
            || self.shards.role(shard) != ShardRole::Serving
        {
            return None;
        }
        let limit = self.settings.run_limit.as_millis();
        Some(TaskStart {
            job: task.job.to_bytes(),
            index: task.index,
            shard: shard.0,
            epoch: self.shards.epoch(shard).0,
            class: job.admit.class.clone(),
            payload: content.payload.clone(),
            limit_ms: u32::try_from(limit).unwrap_or(u32::MAX),
            non_idempotent: content.non_idempotent,
        })
    }

    pub(super) fn handle_report(
        &mut self,
        now: Now,
        link: LinkKey,
        report: Report,
        out: &mut Vec<Action>,
    ) {
        let Some(agent) = self.agents.by_link(link) else {
            return;
        };
        for task in report.tasks {
            self.handle_task_report(now, agent, task, out);
        }
        self.add_credits(link, report.credits);
    }

    /// Handles an agent's report on a task.
    pub(super) fn handle_task_report(
        &mut self,
        now: Now,
        agent: AgentKey,
        report: TaskReport,
        out: &mut Vec<Action>,
    ) {
        let Ok(job) = JobKey::from_bytes(&report.job) else {
            return;
        };
        let task = TaskRef {
            job,
            index: report.index,
        };
        let outcome = report.outcome();
        self.update_dispatcher(now, agent, task, outcome, report.run_us);
        let state = self
            .jobs
            .open(job)
            .and_then(|job| job.tasks.get(task.index as usize));
        match state {
            Some(TaskState::Started(recipient)) if *recipient == agent => {}
            Some(TaskState::Unknown) => {}
            _ => return,
        }
        match outcome {
            Outcome::Running => self.set_task_state(task, TaskState::Started(agent)),
            Outcome::Done => self.finish_task(now, agent, task, report.payload, out),
            Outcome::Failed | Outcome::Cancelled => {
                self.set_task_state(task, TaskState::Started(agent));
                let text = String::from_utf8_lossy(&report.payload);
                let text = format!("task {}: {} {text}", report.index, report.code);
                let failure = JobFailure::new("task_failed", text.trim_end());
                self.end_job(now, job, JobOutcome::Failed(failure), out);
            }
            Outcome::NoSlot | Outcome::LedgerFull | Outcome::Leaving | Outcome::Unreachable => {
                self.requeue_task(now, task)
            }
            // A newer owner has fenced the agent; the scan shows which process it is.
            Outcome::Superseded => self.ownership.request_scan(),
            // The agent has received an earlier start of this task. A fence makes it report all
            // tasks that it knows, which shows the state of this one.
            Outcome::Duplicate => self.fence_unless_pending(agent, Shard(report.shard), out),
            Outcome::Unspecified => {}
        }
    }

    /// Notifies the dispatcher that a task has finished, was not started or was lost at its worker.
    fn update_dispatcher(
        &mut self,
        now: Now,
        agent: AgentKey,
        task: TaskRef,
        outcome: Outcome,
        run_us: u32,
    ) {
        let Some(worker) = self.agents.get(agent).and_then(|agent| agent.worker) else {
            return;
        };
        let run = std::time::Duration::from_micros(u64::from(run_us));
        let end = match outcome {
            Outcome::Running | Outcome::Unspecified => return,
            Outcome::Done => TaskEnd::Done { run },
            Outcome::Failed => TaskEnd::Failed { run },
            Outcome::Unreachable => TaskEnd::NotStarted,
            // These outcomes say nothing about the worker.
            _ => TaskEnd::Lost,
        };
        self.dispatcher.task_ended(now, task, worker, end);
    }

    pub(super) fn set_task_state(&mut self, task: TaskRef, state: TaskState) {
        let Some(job) = self.jobs.open(task.job) else {
            return;
        };
        if let Some(slot) = job.tasks.get_mut(task.index as usize) {
            *slot = state;
        }
    }

    /// Returns a task to the queue; it must be known not to have started.
    pub(super) fn requeue_task(&mut self, now: Now, task: TaskRef) {
        self.set_task_state(task, TaskState::Waiting);
        self.dispatcher.requeue(now, task);
    }

    fn finish_task(
        &mut self,
        now: Now,
        agent: AgentKey,
        task: TaskRef,
        result: Bytes,
        out: &mut Vec<Action>,
    ) {
        self.set_task_state(task, TaskState::Done(agent, result));
        let Some(job) = self.jobs.open(task.job) else {
            return;
        };
        job.done += 1;
        if !job.is_complete() {
            return;
        }
        let mut results = Vec::with_capacity(job.tasks.len());
        for state in &job.tasks {
            if let TaskState::Done(_, result) = state {
                results.push(result.clone());
            }
        }
        self.end_job(now, task.job, JobOutcome::Complete(results), out);
    }

    /// Ends a job: queues its end record and replies to waiters as soon as that is allowed.
    pub(super) fn end_job(
        &mut self,
        now: Now,
        key: JobKey,
        outcome: JobOutcome,
        out: &mut Vec<Action>,
    ) {
        self.dispatcher.cancel_job(key);
        self.dispatcher.remove_job(key);
        let Some(job) = self.jobs.open(key) else {
            return;
        };
        let (class, arrived) = (std::mem::take(&mut job.admit.class), job.arrived);
        let Some(ended_job) = self.jobs.end(now, key, outcome) else {
            return;
        };
        self.metrics
            .record_end(&class, &ended_job.failure_code(), now.since(arrived));
        if ended_job.can_reply() {
            reply_to_waiters(now, ended_job, out);
        }
        let urgent = !ended_job.can_reply();
        let body = Some(RecordBody::End(ended_job.end_record()));
        let shard = ended_job.shard;
        let ownership = OwnershipCheck::Shard(shard, self.shards.epoch(shard));
        let record = JournalRecord {
            shard: shard.0,
            body,
        };
        let kind_and_record = (RecordKind::End(key), &record);
        self.journal
            .push(now.mono, kind_and_record, ownership, urgent);
    }

    /// Fails jobs for which no task could be started in time.
    pub(super) fn fail_expired_jobs(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut expired = Vec::new();
        self.dispatcher.take_expired(now, &mut expired);
        for key in expired {
            let failure = JobFailure::new("never_runnable", "no task could be started in time");
            self.end_job(now, key, JobOutcome::Failed(failure), out);
        }
    }

    /// Fails jobs that have a task running at a lost agent.
    pub(super) fn fail_in_doubt_jobs(&mut self, now: Now, agent: AgentKey, out: &mut Vec<Action>) {
        let mut in_doubt = Vec::new();
        for job in self.jobs.iter_open() {
            if job.tasks.contains(&TaskState::Started(agent)) {
                in_doubt.push(job.key);
            }
        }
        for key in in_doubt {
            let failure =
                JobFailure::new(IN_DOUBT, "an agent that started tasks of the job is gone");
            self.end_job(now, key, JobOutcome::Failed(failure), out);
        }
    }

    pub(super) fn add_credits(&mut self, link: LinkKey, credits: u32) {
        if credits == 0 {
            return;
        }
        let Some(key) = self.agents.by_link(link) else {
            return;
        };
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        match agent.worker {
            Some(worker) => self.dispatcher.add_credits(worker, credits),
            None => agent.credits += credits,
        }
    }

    /// Returns unused credits that an agent recalls.
    pub(super) fn handle_recall(&mut self, link: LinkKey, credits: u32, out: &mut Vec<Action>) {
        let Some(key) = self.agents.by_link(link) else {
            return;
        };
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        let returned = match agent.worker {
            Some(worker) => self.dispatcher.return_unused_credits(worker, credits),
            None => {
                let returned = credits.min(agent.credits);
                agent.credits -= returned;
                returned
            }
        };
        out.push(Action::Send(
            link,
            Body::Return(Return { credits: returned }),
        ));
    }
}

/// Replies to everyone waiting for an ended job.
pub(super) fn reply_to_waiters(now: Now, ended_job: &mut EndedJob, out: &mut Vec<Action>) {
    if ended_job.waiters.is_empty() {
        return;
    }
    let reply = ended_job.reply();
    ended_job.delivered_at.get_or_insert(now.mono);
    for waiter in std::mem::take(&mut ended_job.waiters) {
        out.push(waiter.reply(&reply));
    }
}
