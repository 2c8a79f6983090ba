//! Handling of fences, which announce a new shard owner.

use knapweedwall_wire::{Fence, FenceReport, TaskReport, frame::Body};

use super::event::{WithField, info, warning};
use super::io::Action;
use super::links::{MAX_REPORT_BYTES, report_bytes};
use super::state_machine::Agent;
use crate::ids::{Epoch, Shard};
use crate::peer::LinkKey;

impl Agent {
    /// Raises the epoch of a shard and reports all of its tasks to the new owner. A fence with a
    /// superseded epoch is answered with the highest known epoch and no tasks. Always returns
    /// `true`, as the frame is always valid.
    pub(super) fn handle_fence(
        &mut self,
        link: LinkKey,
        fence: Fence,
        out: &mut Vec<Action>,
    ) -> bool {
        let Fence { shard, epoch } = fence;
        self.metrics.fences.inc();
        // Queued refusals must be sent first. Refused tasks are missing from the fence report, so
        // the owner may start them again; a refusal that arrives after the report would be taken
        // for a refusal of the new start.
        self.links.flush(link, out);
        if let Err(highest_epoch) = self.shards.raise_epoch(Shard(shard), Epoch(epoch), link) {
            let event = warning(209, "fence refused: a higher epoch is known");
            let event = event.with("shard", shard).with("epoch", epoch);
            out.push(Action::Log(event.with("known", highest_epoch)));
            send_part(link, shard, highest_epoch.0, Vec::new(), true, out);
            return true;
        }
        let event = info(210, "shard fenced").with("shard", shard);
        out.push(Action::Log(event.with("epoch", epoch)));
        let mut part = Vec::new();
        let mut bytes = 0;
        for report in self.ledger.reports_of(Shard(shard)) {
            let size = report_bytes(&report);
            if bytes + size > MAX_REPORT_BYTES {
                send_part(link, shard, epoch, std::mem::take(&mut part), false, out);
                bytes = 0;
            }
            bytes += size;
            part.push(report);
        }
        send_part(link, shard, epoch, part, true, out);
        true
    }
}

fn send_part(
    link: LinkKey,
    shard: u32,
    epoch: u64,
    tasks: Vec<TaskReport>,
    last: bool,
    out: &mut Vec<Action>,
) {
    let report = FenceReport {
        shard,
        epoch,
        tasks,
        last,
    };
    out.push(Action::Send(link, Body::FenceReport(report)));
}
