//! Demand frames: which agents are told that tasks wait here.

use crate::clock::Now;
use crate::peer::LinkKey;

use super::dispatcher::Dispatcher;

impl Dispatcher {
    /// Appends the demand frames to send now: link, waiting tasks, slack in milliseconds.
    ///
    /// A frame goes out when the level (the power of two of the waiting tasks) differs from the
    /// one last sent, at most once per `demand_interval` and agent. Call it after [`Self::next`]
    /// has returned `None`.
    pub fn demand(&mut self, now: Now, out: &mut Vec<(LinkKey, u32, i32)>) {
        let waiting = self.queues.waiting;
        let level = waiting.checked_ilog2().map_or(0, |l| l + 1);
        if self.told_all == Some(level) {
            return;
        }
        let slack_ms = self.slack_ms(now);
        let mut all = true;
        for worker in self.workers.values_mut() {
            if worker.told.0 == level {
                continue;
            }
            let recent = |at| now.since(at) < self.limits.demand_interval;
            if worker.told.1.is_some_and(recent) {
                all = false;
                continue;
            }
            worker.told = (level, Some(now.mono));
            out.push((worker.link, waiting, slack_ms));
        }
        self.told_all = all.then_some(level);
    }

    /// Time until the earliest deadline of a waiting task, in milliseconds.
    fn slack_ms(&self, now: Now) -> i32 {
        let Some((deadline, _)) = self.queues.heads().next() else {
            return 0;
        };
        let ahead = deadline.saturating_sub(now.mono).as_millis();
        let behind = now.since(deadline).as_millis();
        let ahead = i32::try_from(ahead).unwrap_or(i32::MAX);
        ahead.saturating_sub(i32::try_from(behind).unwrap_or(i32::MAX))
    }
}
