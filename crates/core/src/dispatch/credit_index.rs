//! Index of the workers with unused credits by speed.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use slotmap::SecondaryMap;

use super::worker::WorkerKey;

/// Number of speed groups. A group spans a factor of 2^(1/4) in speed.
const GROUPS: usize = 32;

/// Speed groups per doubling of the speed.
const GROUPS_PER_DOUBLING: f64 = 4.0;

/// Speed group that starts at speed 1.
const UNIT_SPEED_GROUP: f64 = 16.0;

/// Random samples from a group to find a worker in the same zone as this process.
const ZONE_SAMPLES: u32 = 4;

/// Workers that have unused credits and are not held back, in groups of similar speed.
#[derive(Debug, Default)]
pub struct CreditIndex {
    groups: [Vec<Entry>; GROUPS],
    /// Bitmap of the groups that are not empty.
    nonempty_groups: u32,
    /// Group of each worker and its position there.
    positions: SecondaryMap<WorkerKey, (u8, u32)>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    worker: WorkerKey,
    same_zone: bool,
    running: u32,
}

/// Speed group of a speed, given as its base-2 logarithm.
fn speed_group(log2_speed: f64) -> u8 {
    let group = (log2_speed * GROUPS_PER_DOUBLING).floor() + UNIT_SPEED_GROUP;
    let last = f64::from(u8::try_from(GROUPS - 1).unwrap_or(u8::MAX));
    group.clamp(0.0, last) as u8
}

impl CreditIndex {
    /// Adds a worker, or updates its speed group and running tasks.
    pub(super) fn insert(
        &mut self,
        worker: WorkerKey,
        log2_speed: f64,
        same_zone: bool,
        running: u32,
    ) {
        let group = speed_group(log2_speed);
        if let Some((current, position)) = self.positions.get(worker)
            && *current == group
        {
            self.groups[usize::from(group)][*position as usize].running = running;
            return;
        }
        self.remove(worker);
        let entries = &mut self.groups[usize::from(group)];
        let position = u32::try_from(entries.len()).unwrap_or(u32::MAX);
        entries.push(Entry {
            worker,
            same_zone,
            running,
        });
        self.positions.insert(worker, (group, position));
        self.nonempty_groups |= 1 << group;
    }

    /// Removes a worker, if present.
    pub(super) fn remove(&mut self, worker: WorkerKey) {
        let Some((group, position)) = self.positions.remove(worker) else {
            return;
        };
        let entries = &mut self.groups[usize::from(group)];
        entries.swap_remove(position as usize);
        if let Some(moved) = entries.get(position as usize) {
            self.positions.insert(moved.worker, (group, position));
        }
        if entries.is_empty() {
            self.nonempty_groups &= !(1 << group);
        }
    }

    /// Whether there are no workers in the index.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nonempty_groups == 0
    }

    /// The fastest group that is not empty.
    #[must_use]
    pub fn fastest_group(&self) -> Option<u8> {
        self.nonempty_groups
            .checked_ilog2()
            .and_then(|g| u8::try_from(g).ok())
    }

    /// Picks a random worker of a group, preferably one in the same zone.
    pub fn pick(&self, group: u8, rng: &mut ChaCha8Rng) -> Option<WorkerKey> {
        let entries = self.groups.get(usize::from(group))?;
        let len = u32::try_from(entries.len()).ok().filter(|n| *n > 0)?;
        let mut fallback = None;
        for _ in 0..ZONE_SAMPLES.min(len) {
            let entry = entries[(rng.next_u32() % len) as usize];
            if entry.same_zone {
                return Some(entry.worker);
            }
            fallback.get_or_insert(entry.worker);
        }
        fallback
    }

    /// Tasks of this process that run on a worker; 0 if the worker is not in the index.
    #[must_use]
    pub fn running(&self, worker: WorkerKey) -> u32 {
        let position = self.positions.get(worker);
        position.map_or(0, |(group, position)| {
            self.groups[usize::from(*group)][*position as usize].running
        })
    }

    /// Picks a random worker of any group.
    pub fn pick_any(&self, rng: &mut ChaCha8Rng) -> Option<WorkerKey> {
        let len = u32::try_from(self.positions.len())
            .ok()
            .filter(|n| *n > 0)?;
        let mut position = (rng.next_u32() % len) as usize;
        for group in &self.groups {
            match group.get(position) {
                Some(entry) => return Some(entry.worker),
                None => position -= group.len(),
            }
        }
        None
    }
}
