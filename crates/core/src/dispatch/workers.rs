//! Connected workers and the credits that they grant.

use smol_str::SmolStr;

use super::dispatcher::Dispatcher;
use super::worker::{AnnouncedDemand, Worker, WorkerKey};
use crate::peer::LinkKey;

/// Largest number of disconnected workers whose speed and health are kept. All of them are
/// discarded when the limit is reached.
const MAX_PAST_WORKERS: usize = 16_384;

impl Dispatcher {
    /// Adds a worker that has connected. Speed and health are restored if a worker of the same name
    /// was connected before.
    pub fn add_worker(
        &mut self,
        link: LinkKey,
        name: SmolStr,
        zone: SmolStr,
        slots: u32,
    ) -> WorkerKey {
        let (speed, health) = self.past_workers.remove(&name).unwrap_or_default();
        self.slots += slots;
        let key = self.workers.insert(Worker {
            link,
            name,
            zone,
            slots,
            busy: 0,
            credits: 0,
            running: 0,
            speed,
            health,
            announced: AnnouncedDemand::default(),
        });
        self.demand.add_worker(key);
        self.outliers.add_worker(key, &health);
        self.release_excess();
        key
    }

    /// Removes a worker that has disconnected. Its credits become void. The ends of its
    /// running tasks must still be reported through [`Self::task_ended`].
    pub fn remove_worker(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        self.slots -= worker.slots;
        self.unused_credits -= worker.credits;
        self.credit_index.remove(key);
        self.demand.remove_worker(key, worker.announced);
        self.outliers.remove_worker(key, &worker.health);
        if self.past_workers.len() >= MAX_PAST_WORKERS {
            self.past_workers.clear();
        }
        self.past_workers
            .insert(worker.name, (worker.speed, worker.health));
        self.release_excess();
    }

    /// Updates the slots and busy slots of a worker from its heartbeat.
    pub fn update_worker_slots(&mut self, key: WorkerKey, slots: u32, busy: u32) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        self.slots = self.slots - worker.slots + slots;
        worker.slots = slots;
        worker.busy = busy;
    }

    /// Adds credits that a worker has granted.
    pub fn add_credits(&mut self, key: WorkerKey, credits: u32) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let added = credits.min(u32::MAX - worker.credits);
        worker.credits += added;
        worker.announced.unmet = worker.announced.unmet.saturating_sub(credits);
        self.unused_credits = self.unused_credits.saturating_add(added);
        if worker.health.is_held_back() {
            self.outliers.schedule_check();
        }
        self.update_credit_index(key);
    }

    /// Gives unused credits back to a worker that recalls them, at most `credits`. Returns how many
    /// were given back.
    pub fn return_unused_credits(&mut self, key: WorkerKey, credits: u32) -> u32 {
        let Some(worker) = self.workers.get_mut(key) else {
            return 0;
        };
        let returned = credits.min(worker.credits);
        worker.credits -= returned;
        self.unused_credits -= returned;
        self.update_credit_index(key);
        returned
    }

    /// Updates the entry of a worker in the credit index.
    pub(super) fn update_credit_index(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if worker.credits == 0 || worker.health.is_held_back() {
            self.credit_index.remove(key);
            return;
        }
        let same_zone = !self.limits.zone.is_empty() && worker.zone == self.limits.zone;
        self.credit_index
            .insert(key, worker.speed.log2(), same_zone, worker.running);
    }
}
