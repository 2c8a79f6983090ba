//! Release of shards: in a graceful shutdown, to balance their number between processes, and when
//! the store is unavailable to this process but not to others.

use std::time::Duration;

use super::io::Action;
use super::machine::{Machine, log};
use super::shards::{Ownership, RELEASED_RUN_GRACE};
use crate::clock::Now;
use crate::ids::Shard;
use crate::job::SHARD_COUNT;

/// Interval between two releases that balance the number of shards.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(2);

/// Duration of an imbalance after which even a shard with open jobs is released.
const REBALANCE_BUSY_SHARD_AFTER: Duration = Duration::from_secs(12);

/// Shards are relinquished to other processes once the store has failed for this long.
const RELINQUISH_AFTER: Duration = Duration::from_millis(400);

impl Machine {
    /// Relinquishes all owned shards if the store has failed for this process for
    /// [`RELINQUISH_AFTER`] and another process reports that it can claim shards.
    pub(super) fn relinquish_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let failing = self.shards.failing_since;
        let failing_long = failing.is_some_and(|since| now.since(since) >= RELINQUISH_AFTER);
        if !failing_long || self.peers.eligible().next().is_none() {
            return;
        }
        let mut any = false;
        for at in 0..SHARD_COUNT {
            let state = self.shards.get_mut(Shard(at));
            if !matches!(state.ownership, Ownership::Owned | Ownership::Releasing) {
                continue;
            }
            any = true;
            state.relinquished = true;
            state.ownership = Ownership::Released(now.mono + RELEASED_RUN_GRACE);
            let fields = vec![
                ("shard", state.shard.to_string()),
                ("epoch", state.epoch.to_string()),
                (
                    "failing_ms",
                    now.since(failing.unwrap_or_default())
                        .as_millis()
                        .to_string(),
                ),
            ];
            log(
                out,
                326,
                "shard relinquished; only other processes can reach the store",
                true,
                fields,
            );
        }
        if any {
            self.send_peer_beats(now, false, out);
        }
    }

    /// Starts the release of all shards in a graceful shutdown. Those that are being claimed are
    /// released once the claim is known to have succeeded.
    pub(super) fn release_shards(&mut self) {
        for at in 0..SHARD_COUNT {
            let state = self.shards.get_mut(Shard(at));
            if matches!(state.ownership, Ownership::Owned | Ownership::Loading) {
                state.ownership = Ownership::Releasing;
            }
        }
    }

    /// Releases a shard to a process that owns at least two fewer shards than this one. Prefers a
    /// shard without open jobs, since a change of owner delays the waiting tasks of open jobs.
    pub(super) fn rebalance_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let elapsed = now.since(self.shards.last_rebalance);
        if elapsed < REBALANCE_INTERVAL || self.stop_requested_at.is_some() {
            return;
        }
        let own = self.shards.owned().count();
        let least = self.peers.least_loaded();
        let Some((name, _)) = least.filter(|(_, count)| own >= count + 2) else {
            self.shards.last_rebalance = now.mono;
            return;
        };
        let mut open = [0_u32; SHARD_COUNT as usize];
        for shard in self.jobs.iter_open().filter_map(|(_, job)| job.shard()) {
            open[shard.0 as usize] += 1;
        }
        let releasable = self.shards.list.iter().filter(|state| {
            let owned = state.ownership == Ownership::Owned;
            owned
                && state.runs_known
                && state.ownership_confirmed
                && !state.call_in_flight
                && state.batch.is_none()
        });
        let least_busy = releasable.min_by_key(|state| open[state.shard.0 as usize]);
        let Some(shard) = least_busy.map(|state| state.shard) else {
            return;
        };
        if open[shard.0 as usize] > 0 && elapsed < REBALANCE_BUSY_SHARD_AFTER {
            return;
        }
        self.shards.last_rebalance = now.mono;
        let state = self.shards.get_mut(shard);
        state.successor = name;
        state.ownership = Ownership::Releasing;
        self.update_shard(now, shard, out);
    }
}
