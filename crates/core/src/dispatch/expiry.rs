//! Expiry of jobs whose first task does not start in time.

use std::time::Duration;

use super::dispatcher::Dispatcher;
use super::job::JobHandle;
use super::queues::ClassKey;
use crate::clock::Now;
use crate::ids::JobKey;

impl Dispatcher {
    /// Removes the expired jobs from the expiry index and appends their keys. A job expires if none
    /// of its tasks has started in time.
    ///
    /// The time is the longer of `start_limit` and the class's time from effective arrival to
    /// deadline, since admitted work may wait until its deadline.
    pub fn take_expired(&mut self, now: Now, out: &mut Vec<JobKey>) {
        while let Some((at, handle)) = self.unstarted.first().copied() {
            if now.mono < at {
                return;
            }
            self.unstarted.pop_first();
            out.extend(self.jobs.get(handle).map(|j| j.key));
        }
    }

    /// When a job of the class that is added now expires.
    pub(super) fn expiry_time(&self, now: Now, class: ClassKey) -> Duration {
        let class = self.queues.classes.get(class);
        let deadline = class.map(|c| c.time_to_deadline()).unwrap_or_default();
        now.mono
            .saturating_add(self.limits.start_limit.max(deadline))
    }

    /// Adds a job to the expiry index if it is unstarted, and removes it otherwise.
    pub(super) fn update_unstarted(&mut self, handle: JobHandle) {
        let Some(job) = self.jobs.get(handle) else {
            return;
        };
        if job.is_unstarted() && !job.cancelled {
            self.unstarted.insert((job.expires, handle));
        } else {
            self.unstarted.remove(&(job.expires, handle));
        }
    }
}
