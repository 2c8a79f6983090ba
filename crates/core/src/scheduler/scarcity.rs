//! Scarcity of capacity on the workers that a task can use.
//!
//! Workers of another service or without the required label are of no use to a task. How full they are must not
//! change how it is placed.

use smallvec::SmallVec;
use smol_str::SmolStr;

use super::machine::Machine;
use crate::clock::Now;

/// Capacity is scarce while the free fraction of the workers' CPU is below this.
const SCARCE_CPU_SHARE: f64 = 0.35;

/// Whether capacity is scarce, by service and required label, as far as that was asked in a turn. Orders of the
/// same turn do not change it.
#[derive(Debug, Default)]
pub(super) struct Scarcity {
    known: SmallVec<[(SmolStr, Option<SmolStr>, bool); 4]>,
}

impl Machine {
    /// Returns whether capacity is scarce on the usable workers of a service with a label, or on all of them.
    pub(super) fn is_scarce(
        &self,
        now: Now,
        service: &SmolStr,
        label: Option<&SmolStr>,
        scarcity: &mut Scarcity,
    ) -> bool {
        let mut known = scarcity.known.iter();
        if let Some((.., scarce)) = known.find(|(s, l, _)| s == service && l.as_ref() == label) {
            return *scarce;
        }
        let (mut free, mut capacity) = (0_u64, 0_u64);
        for (_, worker) in self.workers.iter() {
            let suits = worker.service == *service && worker.has_label(label);
            if suits && worker.is_usable(now.mono) {
                free += u64::from(worker.free().cpu);
                capacity += u64::from(worker.capacity.cpu);
            }
        }
        let scarce = (free as f64) < capacity as f64 * SCARCE_CPU_SHARE;
        let entry = (service.clone(), label.cloned(), scarce);
        scarcity.known.push(entry);
        scarce
    }
}
