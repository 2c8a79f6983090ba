//! Jobs for which there is no room, and the jobs that they hold back in a turn of placement.
//!
//! A job that cannot be placed completely holds back later ones only if these compete for the same
//! workers: those of its service with the label that it requires. If the fleet has room, it holds back
//! only tasks that need at least as much: smaller ones may fit where its own do not. While capacity is
//! scarce it holds back all of them, so that its workers become free for it. Thus a few jobs that wait
//! for workers which are away, full or too small do not stop the others, and the cost of a turn is
//! bounded by the number of different requirements, not by that of waiting jobs.

use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::deterministic::DeterministicMap;
use crate::job::{PhaseSpec, Resources};

/// Number of jobs without room that hold back others.
const MAX_INCOMPLETE_PLACEMENTS: u32 = 2;

/// Different resources that are kept for a label. Jobs without room beyond that hold back nobody.
const MAX_SHORTAGES: usize = 16;

/// Jobs without room whose tasks hold back those that need at least these resources.
#[derive(Debug)]
struct Shortage {
    resources: Resources,
    jobs: u32,
}

/// Shortages found in a turn, by service and label; the label is empty for tasks that require none.
#[derive(Debug, Default)]
pub(super) struct Shortages {
    by_label: DeterministicMap<(SmolStr, SmolStr), SmallVec<[Shortage; 2]>>,
}

impl Shortages {
    /// Records a job of a service whose tasks of a phase find no room. It holds back tasks of the same
    /// service and label that need at least `resources`.
    pub(super) fn record(&mut self, service: &SmolStr, spec: &PhaseSpec, resources: Resources) {
        let label = spec.label.clone().unwrap_or_default();
        let shortages = self.by_label.entry((service.clone(), label)).or_default();
        let mut known = shortages.iter_mut();
        if let Some(known) = known.find(|known| known.resources == resources) {
            known.jobs += 1;
        } else if shortages.len() < MAX_SHORTAGES {
            shortages.push(Shortage { resources, jobs: 1 });
        }
    }

    /// Returns whether the tasks of a phase are held back. Those without room that require no label hold
    /// back others with any label, as they can use the same workers.
    pub(super) fn holds_back(&self, service: &SmolStr, spec: &PhaseSpec) -> bool {
        if self.by_label.is_empty() {
            return false;
        }
        let mut jobs = self.count_jobs(service, SmolStr::default(), spec.resources);
        if let Some(label) = &spec.label {
            jobs += self.count_jobs(service, label.clone(), spec.resources);
        }
        jobs >= MAX_INCOMPLETE_PLACEMENTS
    }

    fn count_jobs(&self, service: &SmolStr, label: SmolStr, resources: Resources) -> u32 {
        let shortages = self.by_label.get(&(service.clone(), label));
        let shortages = shortages.map_or(&[][..], SmallVec::as_slice);
        let competing = shortages
            .iter()
            .filter(|shortage| resources.can_fit(shortage.resources));
        competing.map(|shortage| shortage.jobs).sum()
    }
}
