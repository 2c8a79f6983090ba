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
    /// Whether the jobs are overdue, and found no room on reserved workers either.
    overdue: bool,
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
    pub(super) fn record(
        &mut self,
        service: &SmolStr,
        spec: &PhaseSpec,
        resources: Resources,
        overdue: bool,
    ) {
        let label = spec.label.clone().unwrap_or_default();
        let shortages = self.by_label.entry((service.clone(), label)).or_default();
        let mut known = shortages.iter_mut();
        let same = |known: &&mut Shortage| (known.resources, known.overdue) == (resources, overdue);
        if let Some(known) = known.find(same) {
            known.jobs += 1;
        } else if shortages.len() < MAX_SHORTAGES {
            shortages.push(Shortage {
                resources,
                overdue,
                jobs: 1,
            });
        }
    }

    /// Returns whether the tasks of a phase are held back. Those without room that require no label hold
    /// back others with any label, as they can use the same workers. An overdue job may use more workers
    /// than others, and is held back only by those that are overdue as well.
    pub(super) fn holds_back(&self, service: &SmolStr, spec: &PhaseSpec, overdue: bool) -> bool {
        if self.by_label.is_empty() {
            return false;
        }
        let count = |label: SmolStr| {
            let shortages = self.by_label.get(&(service.clone(), label));
            let shortages = shortages.map_or(&[][..], SmallVec::as_slice);
            let competing = shortages.iter().filter(|shortage| {
                spec.resources.can_fit(shortage.resources) && (shortage.overdue || !overdue)
            });
            competing.map(|shortage| shortage.jobs).sum::<u32>()
        };
        let labelled = spec.label.clone().map(count).unwrap_or_default();
        count(SmolStr::default()) + labelled >= MAX_INCOMPLETE_PLACEMENTS
    }
}
