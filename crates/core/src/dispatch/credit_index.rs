//! Workers that have granted unused credits, by speed.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use slotmap::SecondaryMap;

use super::worker::WorkerKey;

/// Speed groups; one is a factor of 2^(1/4) wide and group 16 starts at speed 1.
const GROUPS: usize = 32;

/// Groups for each doubling of speed.
const GROUPS_PER_DOUBLING: f64 = 4.0;

/// Random samples taken to find a worker of the same zone within a group.
const ZONE_SAMPLES: u32 = 4;

/// Workers with at least one unused credit that may be given work, in groups of similar speed.
#[derive(Debug, Default)]
pub struct CreditIndex {
    groups: [Vec<Entry>; GROUPS],
    /// Bit `g` is set when group `g` has a worker.
    filled: u32,
    places: SecondaryMap<WorkerKey, (u8, u32)>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    worker: WorkerKey,
    near: bool,
    running: u32,
}

/// Speed group of a speed given as base-2 logarithm.
fn group_of(log2: f64) -> u8 {
    let group = (log2 * GROUPS_PER_DOUBLING).floor() + 16.0;
    let last = f64::from(u8::try_from(GROUPS - 1).unwrap_or(u8::MAX));
    group.clamp(0.0, last) as u8
}

impl CreditIndex {
    /// Adds the worker, or brings its group and running tasks up to date.
    pub(super) fn insert(&mut self, worker: WorkerKey, log2: f64, near: bool, running: u32) {
        let group = group_of(log2);
        if let Some((at, place)) = self.places.get(worker)
            && *at == group
        {
            self.groups[usize::from(group)][*place as usize].running = running;
            return;
        }
        self.remove(worker);
        let entries = &mut self.groups[usize::from(group)];
        let place = u32::try_from(entries.len()).unwrap_or(u32::MAX);
        entries.push(Entry {
            worker,
            near,
            running,
        });
        self.places.insert(worker, (group, place));
        self.filled |= 1 << group;
    }

    /// Removes the worker if it is there.
    pub(super) fn remove(&mut self, worker: WorkerKey) {
        let Some((group, place)) = self.places.remove(worker) else {
            return;
        };
        let entries = &mut self.groups[usize::from(group)];
        entries.swap_remove(place as usize);
        if let Some(moved) = entries.get(place as usize) {
            self.places.insert(moved.worker, (group, place));
        }
        if entries.is_empty() {
            self.filled &= !(1 << group);
        }
    }

    /// Whether no worker has an unused credit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.filled == 0
    }

    /// The fastest group that has a worker.
    #[must_use]
    pub fn fastest_group(&self) -> Option<u8> {
        self.filled
            .checked_ilog2()
            .and_then(|g| u8::try_from(g).ok())
    }

    /// A random worker of `group`; one of the same zone is preferred.
    pub fn pick(&self, group: u8, random: &mut ChaCha8Rng) -> Option<WorkerKey> {
        let entries = self.groups.get(usize::from(group))?;
        let len = u32::try_from(entries.len()).ok().filter(|n| *n > 0)?;
        let mut chosen = None;
        for _ in 0..ZONE_SAMPLES.min(len) {
            let entry = entries[(random.next_u32() % len) as usize];
            if entry.near {
                return Some(entry.worker);
            }
            chosen.get_or_insert(entry.worker);
        }
        chosen
    }

    /// Tasks of this process running on a worker with unused credits; 0 for any other.
    #[must_use]
    pub fn running(&self, worker: WorkerKey) -> u32 {
        let place = self.places.get(worker);
        place.map_or(0, |(group, place)| {
            self.groups[usize::from(*group)][*place as usize].running
        })
    }

    /// A random worker of any group.
    pub fn pick_any(&self, random: &mut ChaCha8Rng) -> Option<WorkerKey> {
        let len = u32::try_from(self.places.len()).ok().filter(|n| *n > 0)?;
        let mut place = (random.next_u32() % len) as usize;
        for group in &self.groups {
            match group.get(place) {
                Some(entry) => return Some(entry.worker),
                None => place -= group.len(),
            }
        }
        None
    }
}
