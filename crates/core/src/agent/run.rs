//! Runs on the endpoint: their ends, cancels and time limits.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::{Outcome, TaskReport};
use smol_str::SmolStr;

use super::event::{info, warning};
use super::io::{Action, RunEnd, RunKey};
use super::ledger::{EntryKey, TaskEnd};
use super::state_machine::Agent;
use crate::ids::{JobKey, Shard};
use crate::peer::LinkKey;

/// Largest result of a task, in bytes.
pub const MAX_RESULT_BYTES: usize = 1024;

/// Longest text of a failure, in bytes; longer ones are cut.
const MAX_TEXT_BYTES: usize = 256;

/// A run on the endpoint. It holds a slot until the endpoint's adapter reports its end.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) entry: EntryKey,
    /// Link that started it; its slot goes back there.
    pub(super) link: LinkKey,
    pub(super) started_at: Duration,
    /// Time at which it is stopped.
    pub(super) deadline: Option<Duration>,
    /// It was aborted and its task has ended already.
    pub(super) stopped: bool,
}

impl Agent {
    /// The endpoint's adapter reports the end of a run.
    pub(super) fn run_ended(
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
        if run.stopped {
            if end != RunEnd::Aborted {
                self.metrics.late.inc();
                out.push(Action::Log(info(207, "late result dropped")));
            }
            return;
        }
        let ended = match end {
            RunEnd::Done(result) => done(result),
            RunEnd::Failed(text) => failed("endpoint_failed", &text),
            RunEnd::TooLarge => too_large(),
            RunEnd::BadAnswer(text) => failed("bad_answer", &text),
            RunEnd::Lost(text) => failed("endpoint_lost", &text),
            RunEnd::Aborted => failed("endpoint_lost", "aborted"),
            RunEnd::NotStarted(_) => return self.not_started(run.entry, out),
        };
        self.end_entry(run.entry, run.started_at, now, ended, out);
    }

    /// Takes back a start whose request never left: the task may be started again, here too.
    fn not_started(&mut self, entry: EntryKey, out: &mut Vec<Action>) {
        let Some((task, shard)) = self.ledger.remove_unstarted(entry) else {
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

    fn end_entry(
        &mut self,
        entry: EntryKey,
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
        if let Some((shard, report)) = self.ledger.end(entry, end) {
            self.report_to_owner(shard, report, out);
        }
    }

    /// Reports to the shard's owner. While its link is down the outcome stays in the ledger until
    /// the next fence.
    fn report_to_owner(&mut self, shard: Shard, report: TaskReport, out: &mut Vec<Action>) {
        if let Some(owner) = self.shards.owner(shard) {
            self.links.report(owner, report, out);
        }
    }

    /// Stops the running tasks of jobs; `false` when a key is invalid.
    ///
    /// The journal of a superseded owner does not decide about its former jobs, so a cancel of a
    /// link that is not the shard's owner is ignored while the owner's link is up.
    pub(super) fn cancel(
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

    /// Stops the runs that are over their time limit.
    pub(super) fn abort_overdue(&mut self, now: Duration, out: &mut Vec<Action>) {
        let overdue = |run: &Run| !run.stopped && run.deadline.is_some_and(|due| due <= now);
        let keys = self.runs.iter().filter(|(_, run)| overdue(run));
        let keys = keys.map(|(key, _)| key).collect::<Vec<_>>();
        for key in keys {
            out.push(Action::Log(warning(208, "task stopped: over its limit")));
            let end = failed("run_limit", "the task ran longer than its limit");
            self.abort_run(now, key, end, out);
        }
    }

    /// Ends the task of a run at once. The slot stays in use until the run has ended.
    fn abort_run(&mut self, now: Duration, key: RunKey, end: TaskEnd, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.stopped = true;
        let (entry, since) = (run.entry, run.started_at);
        out.push(Action::Abort(key));
        self.end_entry(entry, since, now, end, out);
    }

    /// Forgets jobs whose end is durable; `false` when a key is invalid.
    ///
    /// This is taken from any link: a durable end holds for every later owner, too.
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
    let text = &text[..text.floor_char_boundary(MAX_TEXT_BYTES)];
    let payload = Bytes::copy_from_slice(text.as_bytes());
    end(Outcome::Failed, payload, code)
}
