//! Shards that are given up: in a planned stop, to even out their numbers, and when the store serves
//! other processes and not this one.

use std::time::Duration;

use super::io::Action;
use super::machine::{Machine, log};
use super::shards::{Holding, RELEASED_RUNS};
use crate::clock::Now;
use crate::ids::Shard;
use crate::job::SHARD_COUNT;

/// Pause between two releases that even out the numbers of shards.
const BALANCE_PAUSE: Duration = Duration::from_secs(2);

/// Time after which a shard with open jobs is released too.
const BALANCE_PATIENCE: Duration = Duration::from_secs(12);

/// Time for which the store fails before shards are given up to a process that it serves.
const GIVE_UP_AFTER: Duration = Duration::from_millis(400);

impl Machine {
    /// Gives shards up that this process cannot write to, when the store serves another.
    pub(super) fn relinquish_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let failing = self.shards.failing;
        let long = failing.is_some_and(|since| now.since(since) >= GIVE_UP_AFTER);
        if !long || self.peers.eligible().next().is_none() {
            return;
        }
        let mut any = false;
        for at in 0..SHARD_COUNT {
            let state = self.shards.get_mut(Shard(at));
            if !matches!(state.holding, Holding::Owned | Holding::Releasing) {
                continue;
            }
            any = true;
            state.relinquished = true;
            state.holding = Holding::Released(now.mono + RELEASED_RUNS);
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
                "shard given up; the store serves others",
                true,
                fields,
            );
        }
        if any {
            self.tell_peers(out);
        }
    }

    /// Gives all shards up in a planned stop.
    pub(super) fn release_shards(&mut self) {
        for at in 0..SHARD_COUNT {
            let state = self.shards.get_mut(Shard(at));
            match state.holding {
                Holding::Owned => state.holding = Holding::Releasing,
                Holding::Claiming => state.holding = Holding::Unknown,
                _ => {}
            }
        }
    }

    /// Releases a shard to a process that owns at least two fewer: one without open jobs, as tasks
    /// that wait would wait longer at the next owner.
    pub(super) fn balance_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let pause = now.since(self.shards.balanced);
        if pause < BALANCE_PAUSE || self.stopping.is_some() {
            return;
        }
        let own = self.shards.owned().count();
        let least = self.peers.least_loaded();
        let Some((name, _)) = least.filter(|(_, count)| own >= count + 2) else {
            self.shards.balanced = now.mono;
            return;
        };
        let mut open = [0_u32; SHARD_COUNT as usize];
        for shard in self.jobs.iter().filter_map(|(_, job)| job.shard()) {
            open[shard.0 as usize] += 1;
        }
        let calm = self.shards.list.iter().filter(|state| {
            let owned = state.holding == Holding::Owned;
            owned && state.proven && state.verified && !state.busy && state.batch.is_none()
        });
        let calm = calm.min_by_key(|state| open[state.shard.0 as usize]);
        let Some(shard) = calm.map(|state| state.shard) else {
            return;
        };
        if open[shard.0 as usize] > 0 && pause < BALANCE_PATIENCE {
            return;
        }
        self.shards.balanced = now.mono;
        let state = self.shards.get_mut(shard);
        state.successor = name;
        state.holding = Holding::Releasing;
        self.update_shard(now, shard, out);
    }
}
