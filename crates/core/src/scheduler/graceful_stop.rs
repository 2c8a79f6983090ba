//! Graceful shutdown of the process.
//!
//! The process serves callers that still have a connection, hands its shards over, and ends when nobody
//! waits any more, or at its time limit. Whoever still waits then is answered: a channel that ends
//! without a response does not tell a caller what became of its request.

use std::mem;
use std::time::Duration;

use smallvec::SmallVec;

use super::io::{Action, Answer, CallKey};
use super::jobs::JobKey;
use super::machine::{Machine, log};
use crate::clock::Now;

impl Machine {
    /// Starts a graceful shutdown.
    pub(super) fn begin_stop(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.stop_requested_at.is_none() {
            self.stop_requested_at = Some(now.mono);
            let fields = vec![("open_jobs", self.jobs.open_len().to_string())];
            log(out, 308, "graceful shutdown started", false, fields);
            self.release_shards();
            self.update_ready(out);
        }
    }

    /// Returns whether callers are no longer routed to this process: `shutdown_accept_time` has
    /// passed since the start of a graceful shutdown.
    fn is_out_of_rotation(&self, now: Now) -> bool {
        let since = self.stop_requested_at;
        since.is_some_and(|since| now.since(since) >= self.settings.shutdown_accept_time)
    }

    /// Returns whether a graceful shutdown is in progress that would end the process before a job of
    /// this expected duration.
    pub(super) fn outlives_process(&self, now: Now, duration: Duration) -> bool {
        let since = self.stop_requested_at;
        since.is_some_and(|since| now.mono + duration >= since + self.settings.stop_limit)
    }

    /// Ends the process when a graceful shutdown is complete or has reached its time limit.
    pub(super) fn try_exit(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(since) = self.stop_requested_at else {
            return;
        };
        let calls_open = self.jobs.has_callers() || self.forwarding.has_pending();
        let idle = self.is_out_of_rotation(now) && !calls_open && !self.holds_any_shard();
        if (idle || now.since(since) >= self.settings.stop_limit) && !self.exited {
            self.exited = true;
            self.answer_open_calls(now, out);
            // The other processes need not take this one into account any more.
            self.send_peer_beats(now, false, out);
            let fields = vec![("open_jobs", self.jobs.open_len().to_string())];
            log(out, 309, "graceful shutdown ended", false, fields);
            out.push(Action::Exit);
        }
    }

    /// Answers all callers that still wait, before the process ends. Jobs without a started task are
    /// refused, since none can start any more; the outcome of the others is unknown.
    fn answer_open_calls(&mut self, now: Now, out: &mut Vec<Action>) {
        self.end_forwarded_calls(out);
        let keys: Vec<JobKey> = self.jobs.iter_all().map(|(key, _)| key).collect();
        for key in keys {
            let awaiting = self.jobs.get(key);
            let awaiting = awaiting.is_some_and(|job| self.awaits_acknowledgement(now, job));
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let id = job.request.id.clone();
            let unstarted = job.is_unstarted() && !awaiting;
            let calls = mem::take(&mut job.calls);
            let resubmission = job.resubmission.take();
            let mut unknown: SmallVec<[CallKey; 4]> = SmallVec::new();
            if let Some(durable) = &mut job.durable {
                unknown.extend(mem::take(&mut durable.submit_calls));
                unknown.extend(mem::take(&mut durable.cancel_calls));
                unknown.extend(mem::take(&mut durable.query_calls));
            }
            // Runs of the earlier job with its id have not ended.
            unknown.extend(resubmission.map(|later| later.call));
            let mut refused: SmallVec<[CallKey; 4]> = SmallVec::new();
            if unstarted {
                refused.extend(calls);
            } else {
                unknown.extend(calls);
            }
            for call in refused {
                self.refuse(call, &id, "stopping", out);
            }
            for call in unknown {
                self.reply(call, Answer::OutcomeUnknown, out);
            }
        }
    }
}
