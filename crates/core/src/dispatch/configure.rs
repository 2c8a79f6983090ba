//! Applies class targets and team quotas of the configuration.

use slotmap::Key;

use super::dispatcher::Dispatcher;
use super::job::JobHandle;
use super::queues::{QueueKey, Team};
use crate::config::Document;

impl Dispatcher {
    /// Applies class targets and team quotas of the configuration.
    pub fn configure(&mut self, document: &Document) {
        self.queues.configure_classes(document);
        if self.queues.configure_teams(document) {
            self.move_jobs();
            self.queues.remove_unconfigured_teams();
        }
    }

    /// Moves the jobs of teams that got their first quota, or lost it, to their new queues.
    fn move_jobs(&mut self) {
        let handles: Vec<JobHandle> = self.jobs.keys().collect();
        for handle in handles {
            let Some(job) = self.jobs.get_mut(handle) else {
                continue;
            };
            let Some((class, old_team)) = self.queues.class_and_team(job.queue) else {
                continue;
            };
            let team = self.queues.team_key(&job.team);
            if team == old_team {
                continue;
            }
            let old = std::mem::replace(&mut job.queue, QueueKey::null());
            let (waiting, running) = (job.waiting.len() as i64, job.running.len() as i64);
            job.queue = self.queues.add_job(class, team);
            let (new, effective_arrival, seq) = (job.queue, job.effective_arrival, job.seq);
            self.queues.adjust_waiting(new, waiting);
            self.queues.adjust_running(new, running);
            if waiting > 0 {
                self.queues
                    .remove_waiting(old, effective_arrival, seq, handle);
                self.queues
                    .insert_waiting(new, effective_arrival, seq, handle);
            }
            self.queues.adjust_waiting(old, -waiting);
            self.queues.adjust_running(old, -running);
            self.queues.remove_job(old);
        }
    }

    /// The part of the team's quota that this process applies. It is proportional to the share of
    /// the fleet's slots that this process uses, so that the parts of all entry processes add up to
    /// the configured quota.
    pub(super) fn quota_share(&self, team: &Team) -> Option<u32> {
        let quota = u64::from(team.quota?);
        let slots = u64::from(self.slots.max(1));
        let share = (quota * u64::from(self.usable_slots())).div_ceil(slots);
        u32::try_from(share.min(quota)).ok()
    }
}
