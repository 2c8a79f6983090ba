//! Targets and team quotas from the configuration.

use slotmap::Key;

use super::dispatcher::Dispatcher;
use super::job::JobHandle;
use super::queues::{QueueKey, Team};
use crate::config::Document;

impl Dispatcher {
    /// Takes targets and team quotas from the configuration.
    pub fn configure(&mut self, document: &Document) {
        self.queues.configure_classes(document);
        if self.queues.configure_teams(document) {
            self.move_jobs();
            self.queues.remove_unconfigured_teams();
        }
    }

    /// Moves the jobs whose team has got or lost a quota to the queue where they belong now.
    fn move_jobs(&mut self) {
        let slots: Vec<JobHandle> = self.jobs.keys().collect();
        for slot in slots {
            let Some(job) = self.jobs.get_mut(slot) else {
                continue;
            };
            let Some((class, at)) = self.queues.class_and_team(job.queue) else {
                continue;
            };
            let team = self.queues.team_key(&job.team);
            if team == at {
                continue;
            }
            let old = std::mem::replace(&mut job.queue, QueueKey::null());
            let (waiting, running) = (job.waiting.len() as i64, job.running.len() as i64);
            job.queue = self.queues.add_job(class, team);
            let (new, order, seq) = (job.queue, job.effective_arrival, job.seq);
            self.queues.adjust_waiting(new, waiting);
            self.queues.adjust_running(new, running);
            if waiting > 0 {
                self.queues.remove_waiting(old, order, seq, slot);
                self.queues.insert_waiting(new, order, seq, slot);
            }
            self.queues.adjust_waiting(old, -waiting);
            self.queues.adjust_running(old, -running);
            self.queues.remove_job(old);
        }
    }

    /// The team's quota, scaled to the share of the fleet's slots that this process uses, so that
    /// the quotas applied by all entry processes add up to the one configured.
    pub(super) fn quota_share(&self, team: &Team) -> Option<u32> {
        let quota = u64::from(team.quota?);
        let slots = u64::from(self.slots.max(1));
        let share = (quota * u64::from(self.usable_slots())).div_ceil(slots);
        u32::try_from(share.min(quota)).ok()
    }
}
