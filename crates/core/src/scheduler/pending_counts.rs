//! Jobs that wait for their first start, at this process and at others.
//!
//! Each process reports its own to the others. Between the loss of a process and the claim of its shards
//! nobody holds its jobs, so the processes that were connected to it keep its last counts and pass them on,
//! also to those that start meanwhile. The counts of a shard end when it has an owner.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use super::machine::Machine;
use super::shards::Ownership;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::ids::Shard;
use crate::job::SHARD_COUNT;

/// Time for which the pending jobs of a shard without an owner are counted. Covers the time until it has
/// another one.
const ORPHANED_RETENTION: Duration = Duration::from_secs(12);

/// Most counts that are kept. Further queues of shards without an owner are not counted.
const MAX_ORPHANED: usize = 4_096;

/// Pending jobs of shards that have lost their owner, by shard and queue, as last reported by it, and when it
/// was lost.
#[derive(Debug, Default)]
pub(super) struct OrphanedCounts {
    counts: DeterministicMap<(Shard, SmolStr), (u32, Duration)>,
}

impl OrphanedCounts {
    /// Replaces the counts of shards by those of their owner, which has just been lost.
    pub(super) fn replace(
        &mut self,
        now: Duration,
        owned: impl Iterator<Item = Shard>,
        counts: &[wire::QueueCount],
    ) {
        for shard in owned {
            self.counts.retain(|(of, _), _| *of != shard);
        }
        for count in counts {
            self.insert(now, now, count);
        }
    }

    /// Adds counts that another process passes on. Those of an owner that was lost later stay.
    pub(super) fn merge(&mut self, now: Duration, counts: &[wire::QueueCount]) {
        for count in counts {
            let age = Duration::from_millis(count.age_ms.into());
            self.insert(now, now.saturating_sub(age), count);
        }
    }

    fn insert(&mut self, now: Duration, lost_at: Duration, count: &wire::QueueCount) {
        self.counts
            .retain(|_, (_, at)| now.saturating_sub(*at) < ORPHANED_RETENTION);
        let shard = count.shard.checked_sub(1).filter(|at| *at < SHARD_COUNT);
        let Some(shard) = shard.map(Shard) else {
            return;
        };
        let key = (shard, SmolStr::from(count.queue.as_str()));
        let later = self.counts.get(&key).is_some_and(|(_, at)| *at >= lost_at);
        if !later && (self.counts.len() < MAX_ORPHANED || self.counts.contains_key(&key)) {
            self.counts.insert(key, (count.jobs, lost_at));
        }
    }
}

impl Machine {
    /// Returns the number of jobs of a queue, at all entry processes, that wait for their first start.
    pub(super) fn pending_jobs(&self, now: Now, queue: &str) -> u32 {
        let local = self.count_local_pending();
        let orphaned = self.orphaned_counts(now);
        let counts = self.peers.pending_counts().chain(&local).chain(&orphaned);
        let counts = counts.filter(|count| count.queue == queue);
        counts.fold(0, |sum, count| sum.saturating_add(count.jobs))
    }

    /// Returns the jobs held here that wait for their first start, by shard and queue. Those of shards that
    /// are being loaded are still counted as orphaned.
    pub(super) fn count_local_pending(&self) -> Vec<wire::QueueCount> {
        let mut waiting: DeterministicMap<(&str, u32), u32> = DeterministicMap::default();
        for (_, job) in self.jobs.iter_open().filter(|(_, job)| job.is_queued()) {
            let ownership = job.shard().map(|shard| self.shards.get(shard).ownership);
            if ownership == Some(Ownership::Loading) {
                continue;
            }
            let shard = job.shard().map_or(0, |shard| shard.0 + 1);
            *waiting.entry((&job.request.queue, shard)).or_default() += 1;
        }
        let waiting = waiting.into_iter();
        let counts = waiting.map(|((queue, shard), jobs)| wire::QueueCount {
            queue: queue.to_owned(),
            jobs,
            shard,
            age_ms: 0,
        });
        counts.collect()
    }

    /// Returns the pending jobs of shards without an owner.
    pub(super) fn orphaned_counts(&self, now: Now) -> Vec<wire::QueueCount> {
        let mut found = Vec::new();
        for ((shard, queue), (jobs, lost_at)) in &self.peers.orphaned.counts {
            let age = now.since(*lost_at);
            let owned = self.shards.get(*shard).ownership == Ownership::Owned;
            if age >= ORPHANED_RETENTION || owned || self.peers.is_owned(*shard) {
                continue;
            }
            found.push(wire::QueueCount {
                queue: queue.to_string(),
                jobs: *jobs,
                shard: shard.0 + 1,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            });
        }
        found
    }

    /// Keeps the count of the pending jobs of a shard that this process gives up, until it has another owner.
    pub(super) fn keep_pending_counts(&mut self, now: Duration, shard: Shard) {
        let mut counts = self.count_local_pending();
        counts.retain(|count| count.shard == shard.0 + 1);
        self.peers
            .orphaned
            .replace(now, [shard].into_iter(), &counts);
    }
}
