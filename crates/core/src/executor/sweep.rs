//! What is due after some time: silent owners, stalled runs, starts without an answer, lapsed
//! leases.

use std::time::Duration;

use super::io::Action;
use super::machine::{Machine, log};
use super::owners::OWNER_SILENCE;
use super::runs::{Stage, StopCause};
use crate::clock::Now;
use crate::job::RunId;

/// Shortest time after which a start without an answer is taken for lost; on an idle host the
/// answer takes 1 to 3 ms. If the run is there after all, the probe finds it.
const START_LIMIT: Duration = Duration::from_millis(25);

/// Time without progress, by the worker's lists, after which a run is stopped, so that it can run elsewhere.
const STALL_LIMIT: Duration = Duration::from_millis(500);

impl Machine {
    pub(super) fn sweep(&mut self, now: Now, out: &mut Vec<Action>) {
        self.stop_silent_owners(now, out);
        self.stop_stalled(now, out);
        self.doubt_starts(now, out);
        self.expire_waiting(now);
        let lapsed = self.worker.has_lapsed(now.mono, self.settings.lease);
        if lapsed && !self.runs.is_idle() {
            self.worker.raise_fence();
            self.lose_runs(now, "the lease has lapsed", out);
        }
        if lapsed && self.worker.lapsing {
            self.finish_lapse(now, out);
        }
        if lapsed && !self.worker.listed {
            // Whatever an earlier agent started has ended.
            self.worker.listed = true;
        }
        if self.worker.listed && self.listed_at.is_none() {
            self.listed_at = Some(now.mono);
        }
        let keep = OWNER_SILENCE;
        self.orphans.retain(|(_, at)| now.since(*at) < keep);
        for link in self.owners.silent_links(now.mono) {
            out.push(Action::Close(link, "silent"));
        }
        self.owners.forget_silent(now.mono);
        self.metrics.used_cpu.set(i64::from(self.runs.used().cpu));
    }

    /// Takes starts for lost that have had no answer for [`START_LIMIT`], or longer where answers
    /// take long.
    fn doubt_starts(&mut self, now: Now, out: &mut Vec<Action>) {
        let limit = START_LIMIT.max(self.worker.late_after());
        let overdue = self.runs.iter().filter(
            |(_, run)| matches!(run.stage, Stage::Starting(_, sent) if now.since(sent) >= limit),
        );
        for id in overdue.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.doubt(&id, "no answer yet", out);
        }
    }

    fn stop_silent_owners(&mut self, now: Now, out: &mut Vec<Action>) {
        let claimed_by = OWNER_SILENCE;
        let listed_at = self.listed_at.unwrap_or(now.mono);
        let mut stopped: Vec<RunId> = Vec::new();
        for (id, run) in self.runs.iter() {
            let keeps = match run.owner {
                Some(owner) => self.owners.in_contact(now.mono, owner),
                None => now.since(listed_at) < claimed_by,
            };
            if !keeps && run.stop.is_none() {
                stopped.push(id.clone());
            }
        }
        if stopped.is_empty() {
            return;
        }
        let fields = vec![
            ("runs", stopped.len().to_string()),
            ("first", stopped[0].to_string()),
        ];
        log(out, 404, "runs of a silent owner are stopped", true, fields);
        for id in stopped {
            self.stop_run(now, &id, StopCause::Owner);
        }
    }

    fn stop_stalled(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.worker.answers(now.mono) {
            return;
        }
        let mut stalled: Vec<RunId> = Vec::new();
        for (id, run) in self.runs.iter() {
            let running = matches!(run.stage, Stage::Running(_));
            if running && run.unchanged() >= STALL_LIMIT && run.progress < 100 {
                stalled.push(id.clone());
            }
        }
        for id in stalled {
            let percent = self.runs.get(&id).map(|run| run.progress);
            let fields = vec![
                ("run", id.to_string()),
                ("percent", percent.unwrap_or_default().to_string()),
            ];
            log(
                out,
                405,
                "run makes no progress and is stopped",
                true,
                fields,
            );
            self.stop_run(now, &id, StopCause::Stalled);
        }
    }
}
