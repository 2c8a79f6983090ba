//! Jobs of which no task starts in time.

use std::time::Duration;

use super::dispatcher::Dispatcher;
use super::job::JobHandle;
use super::queues::ClassKey;
use crate::clock::Now;
use crate::ids::JobKey;

impl Dispatcher {
    /// Appends the jobs of which no task has started in time; each job is named once.
    ///
    /// The time is `start_limit`, or the deadline of the class when that is later: work that was
    /// admitted may wait until then.
    pub fn take_expired(&mut self, now: Now, out: &mut Vec<JobKey>) {
        while let Some((at, slot)) = self.unstarted.first().copied() {
            if now.mono < at {
                return;
            }
            self.unstarted.pop_first();
            out.extend(self.jobs.get(slot).map(|j| j.key));
        }
    }

    /// When a job of the class that is pushed now expires.
    pub(super) fn expiry_time(&self, now: Now, class: ClassKey) -> Duration {
        let class = self.queues.classes.get(class);
        let deadline = class.map(|c| c.time_to_deadline()).unwrap_or_default();
        now.mono
            .saturating_add(self.limits.start_limit.max(deadline))
    }

    /// Brings the place of a job among the unstarted ones up to date.
    pub(super) fn update_unstarted(&mut self, slot: JobHandle) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        if job.is_unstarted() && !job.cancelled {
            self.unstarted.insert((job.expires, slot));
        } else {
            self.unstarted.remove(&(job.expires, slot));
        }
    }
}
