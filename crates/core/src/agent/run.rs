//! Runs of tasks on the endpoint: ends, cancellation and time limits.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{Outcome, TaskReport};
use smol_str::SmolStr;

use super::event::{info, warning};
use super::io::{Action, RunEnd, RunKey};
use super::ledger::{LedgerEntryKey, TaskEnd};
use super::state_machine::Agent;
use crate::ids::{JobKey, Shard};
use crate::peer::LinkKey;

/// Largest result of a task, in bytes.
pub const MAX_RESULT_BYTES: usize = 1024;

/// Longest text of a failure, in bytes. Longer texts are truncated.
const MAX_FAILURE_TEXT_BYTES: usize = 256;

/// A run of a task on the endpoint. It occupies a slot until the endpoint adapter reports its end.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) ledger_entry: LedgerEntryKey,
    /// Link that started the task. When the run ends, its slot is preferably granted to this link.
    pub(super) link: LinkKey,
    pub(super) started_at: Duration,
    /// When the run is aborted; `None` without a time limit.
    pub(super) deadline: Option<Duration>,
    /// Whether the run was aborted. Its task ended with the abort, so a later result is dropped.
    pub(super) aborted: bool,
}

impl Agent {
    /// Handles the end of a run, as reported by the endpoint adapter.
    pub(super) fn handle_run_ended(
        &mut self,
        now: Duration,
        key: RunKey,
        end: RunEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.remove(key) else {
            self.metrics.late.inc();
            return;
        };
        self.credits.release_slot(run.link);
        if run.aborted {
            if end != RunEnd::Aborted {
                self.metrics.late.inc();
                out.push(Action::Log(info(207, "late result dropped")));
            }
            return;
        }
        let task_end = match end {
            RunEnd::Done(result) => done(result),
            RunEnd::Failed(text) => failed("endpoint_failed", &text),
            RunEnd::TooLarge => too_large(),
            RunEnd::BadAnswer(text) => failed("bad_answer", &text),
            RunEnd::Lost(text) => failed("endpoint_lost", &text),
            // The agent did not request this abort, so the task may have run, as after a lost
            // connection.
            RunEnd::Aborted => failed("endpoint_lost", "aborted"),
            RunEnd::NotStarted(_) => return self.withdraw_start(run.ledger_entry, out),
        };
        self.end_ledger_entry(run.ledger_entry, run.started_at, now, task_end, out);
    }

    /// Withdraws a start whose request was not sent. The task may be started again, also on this
    /// agent.
    fn withdraw_start(&mut self, ledger_entry: LedgerEntryKey, out: &mut Vec<Action>) {
        let Some((task, shard)) = self.ledger.remove_unstarted(ledger_entry) else {
            return;
        };
        self.metrics.refused.inc();
        let report = TaskReport {
            job: task.job.to_bytes(),
            index: task.index,
            shard: shard.0,
            outcome: Outcome::Unreachable.into(),
            ..TaskReport::default()
        };
        self.report_to_owner(shard, report, out);
    }

    fn end_ledger_entry(
        &mut self,
        ledger_entry: LedgerEntryKey,
        since: Duration,
        now: Duration,
        mut end: TaskEnd,
        out: &mut Vec<Action>,
    ) {
        let run_us = now.saturating_sub(since).as_micros();
        end.run_us = u32::try_from(run_us).unwrap_or(u32::MAX);
        let counter = match end.outcome {
            Outcome::Done => &self.metrics.done,
            Outcome::Cancelled => &self.metrics.cancelled,
            _ => &self.metrics.failed,
        };
        counter.inc();
        if let Some((shard, report)) = self.ledger.end(ledger_entry, end) {
            self.report_to_owner(shard, report, out);
        }
    }

    /// Queues a report to the shard's owner. If the owner's link is down, nothing is sent: the
    /// outcome stays in the ledger and is reported with the next fence.
    fn report_to_owner(&mut self, shard: Shard, report: TaskReport, out: &mut Vec<Action>) {
        if let Some(owner) = self.shards.owner(shard) {
            self.links.report(owner, report, out);
        }
    }

    /// Stops the running tasks of jobs. Returns `false` if a job key is invalid.
    ///
    /// A superseded owner no longer decides about its former jobs. So a cancellation from a link
    /// that does not own the shard is ignored while the owner's link is up.
    pub(super) fn cancel_jobs(
        &mut self,
        now: Duration,
        link: LinkKey,
        jobs: &[Bytes],
        out: &mut Vec<Action>,
    ) -> bool {
        for job in jobs {
            let Ok(job) = JobKey::from_bytes(job) else {
                return false;
            };
            for (run, shard) in self.ledger.running_tasks_of(job) {
                if self.shards.owner(shard).is_none_or(|owner| owner == link) {
                    let end = end(Outcome::Cancelled, Bytes::new(), "cancelled");
                    self.abort_run(now, run, end, out);
                }
            }
        }
        true
    }

    /// Aborts the runs that exceed their time limit.
    pub(super) fn abort_overdue(&mut self, now: Duration, out: &mut Vec<Action>) {
        let overdue = |run: &Run| !run.aborted && run.deadline.is_some_and(|due| due <= now);
        let keys = self.runs.iter().filter(|(_, run)| overdue(run));
        let keys = keys.map(|(key, _)| key).collect::<Vec<_>>();
        for key in keys {
            out.push(Action::Log(warning(
                208,
                "task stopped: run limit exceeded",
            )));
            let end = failed("run_limit", "the task ran longer than its limit");
            self.abort_run(now, key, end, out);
        }
    }

    /// Aborts a run and ends its task at once. The slot stays occupied until the endpoint adapter
    /// reports the end of the run.
    fn abort_run(&mut self, now: Duration, key: RunKey, end: TaskEnd, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.aborted = true;
        let (ledger_entry, since) = (run.ledger_entry, run.started_at);
        out.push(Action::Abort(key));
        self.end_ledger_entry(ledger_entry, since, now, end, out);
    }

    /// Settles jobs: their ends are stored durably, so the ledger no longer needs their tasks.
    /// Returns `false` if a job key is invalid.
    ///
    /// This is accepted from any link, since the stored end of a job is valid for all later owners,
    /// too.
    pub(super) fn settle_jobs(&mut self, now: Duration, jobs: &[Bytes]) -> bool {
        for job in jobs {
            let Ok(job) = JobKey::from_bytes(job) else {
                return false;
            };
            self.ledger.settle(now, job);
        }
        true
    }
}

fn end(outcome: Outcome, payload: Bytes, code: &'static str) -> TaskEnd {
    TaskEnd {
        outcome,
        payload,
        run_us: 0,
        code,
    }
}

fn done(result: Bytes) -> TaskEnd {
    if result.len() > MAX_RESULT_BYTES {
        return too_large();
    }
    if std::str::from_utf8(&result).is_err() {
        return failed("bad_answer", "the result is not UTF-8");
    }
    end(Outcome::Done, result, "")
}

fn too_large() -> TaskEnd {
    let text = SmolStr::from(format!("the result has more than {MAX_RESULT_BYTES} bytes"));
    failed("result_too_large", &text)
}

fn failed(code: &'static str, text: &str) -> TaskEnd {
    let text = &text[..text.floor_char_boundary(MAX_FAILURE_TEXT_BYTES)];
    let payload = Bytes::copy_from_slice(text.as_bytes());
    end(Outcome::Failed, payload, code)
}
