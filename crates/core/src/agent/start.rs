//! Accepting and refusing task starts.

use std::time::Duration;

use knapweedwall_wire::{Outcome, Start, TaskReport, TaskStart};

use super::event::{WithField, warning};
use super::io::{Action, RunTask};
use super::run::Run;
use super::state_machine::Agent;
use crate::ids::{Epoch, JobKey, Shard, TaskRef};
use crate::peer::LinkKey;

impl Agent {
    /// Starts or refuses the tasks of a frame. Returns `false` if the frame is invalid.
    pub(super) fn start_tasks(
        &mut self,
        now: Duration,
        link: LinkKey,
        start: Start,
        out: &mut Vec<Action>,
    ) -> bool {
        for task in start.tasks {
            let Ok(job) = JobKey::from_bytes(&task.job) else {
                return false;
            };
            let index = task.index;
            self.start_task(now, link, TaskRef { job, index }, task, out);
        }
        true
    }

    fn start_task(
        &mut self,
        now: Duration,
        link: LinkKey,
        task: TaskRef,
        start: TaskStart,
        out: &mut Vec<Action>,
    ) {
        let has_credit = self.credits.use_credit(link);
        let refusal = self.check_start(link, &task, &start, has_credit, out);
        if let Some(outcome) = refusal {
            if has_credit {
                self.credits.record_refused_start(link);
            }
            self.report_refusal(link, &start, outcome, out);
            return;
        }
        let shard = Shard(start.shard);
        let limit = Duration::from_millis(u64::from(start.limit_ms));
        let ledger = &mut self.ledger;
        let run = self.runs.insert_with_key(|run| Run {
            ledger_entry: ledger.insert(task, shard, run),
            link,
            started_at: now,
            deadline: (!limit.is_zero()).then(|| now + limit),
            aborted: false,
        });
        self.ledger_full = false;
        self.metrics.started.inc();
        let task = RunTask {
            task,
            class: start.class,
            payload: start.payload,
            non_idempotent: start.non_idempotent,
        };
        out.push(Action::Run(run, task));
    }

    /// Returns why a start is refused. `None` accepts the start and occupies a slot for it.
    ///
    /// A known task must be refused as a duplicate before any other check, because all other
    /// refusals tell the owner that the task has not started here.
    fn check_start(
        &mut self,
        link: LinkKey,
        task: &TaskRef,
        start: &TaskStart,
        has_credit: bool,
        out: &mut Vec<Action>,
    ) -> Option<Outcome> {
        let raised = self
            .shards
            .raise_epoch(Shard(start.shard), Epoch(start.epoch), link);
        if self.ledger.is_known(task) {
            self.metrics.duplicates.inc();
            return Some(Outcome::Duplicate);
        }
        if let Err(highest_epoch) = raised {
            self.metrics.superseded.inc();
            let event = warning(205, "start refused: epoch superseded");
            let event = event.with("shard", start.shard).with("epoch", start.epoch);
            out.push(Action::Log(event.with("known", highest_epoch)));
            return Some(Outcome::Superseded);
        }
        if self.stopping_since.is_some() {
            return Some(Outcome::Leaving);
        }
        if self.reachable != Some(true) {
            return Some(Outcome::Unreachable);
        }
        if !self.ledger.has_room() {
            self.log_ledger_full(out);
            return Some(Outcome::LedgerFull);
        }
        if !has_credit || !self.credits.occupy_slot() {
            return Some(Outcome::NoSlot);
        }
        None
    }

    /// Logs the first refusal as `ledger_full` since the last accepted start.
    fn log_ledger_full(&mut self, out: &mut Vec<Action>) {
        if self.ledger_full {
            return;
        }
        self.ledger_full = true;
        let event = warning(206, "start refused: ledger full");
        out.push(Action::Log(event.with("entries", self.ledger.len())));
    }

    fn report_refusal(
        &mut self,
        link: LinkKey,
        start: &TaskStart,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        self.metrics.refused.inc();
        let report = TaskReport {
            job: start.job.clone(),
            index: start.index,
            shard: start.shard,
            outcome: outcome.into(),
            ..TaskReport::default()
        };
        self.links.report(link, report, out);
    }
}
