//! Demand frames: which agents are told that tasks wait here.
//!
//! The agents told are about as many as tasks wait, and more from one interval to the next as
//! long as tasks wait, so that a short wait among many agents costs few frames.

use std::time::Duration;

use super::dispatcher::Dispatcher;
use super::worker::WorkerKey;
use crate::clock::Now;
use crate::peer::LinkKey;

/// Fewest agents told when tasks wait.
const FEWEST_AGENTS: usize = 8;

/// Doublings after which any number of agents has been told.
const MOST_DOUBLINGS: u32 = 24;

/// Frames of demand allowed for each start. The end of a demand costs a second frame.
const FRAMES_PER_START: f64 = 0.125;

/// Frames of demand allowed each second without any start.
const FRAMES_PER_SECOND: f64 = 200.0;

/// Time after which an update is tried again when no frame was allowed.
const RETRY_DELAY: Duration = Duration::from_millis(1);

/// Which agents have been told what.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// All workers; the next one to tell is at `cursor`.
    ring: Vec<WorkerKey>,
    cursor: usize,
    /// Workers told of a demand that has not been ended.
    told: Vec<WorkerKey>,
    /// Power of two of the waiting tasks, as told.
    level: u32,
    /// Since when tasks wait.
    since: Option<Duration>,
    /// Since when no task waits although agents have been told so.
    over: Option<Duration>,
    /// Next time at which agents with an outdated level are looked for.
    update: Duration,
    /// Frames allowed now, and when this was last brought up to date.
    allowed: (f64, Duration),
}

impl Demand {
    /// Adds a worker that has connected.
    pub(super) fn add(&mut self, key: WorkerKey) {
        self.ring.push(key);
        self.allowed.0 += 1.0;
    }

    /// Forgets a worker that is gone.
    pub(super) fn remove(&mut self, key: WorkerKey) {
        self.ring.retain(|k| *k != key);
        self.told.retain(|k| *k != key);
    }

    /// A task has started.
    pub(super) fn started(&mut self) {
        self.allowed.0 += FRAMES_PER_START;
    }

    /// Brings the number of allowed frames up to date.
    fn allow(&mut self, now: Now) {
        let passed_s = now.since(self.allowed.1).as_secs_f64();
        let most = self.ring.len() as f64 + FRAMES_PER_SECOND;
        let allowed = self.allowed.0 + passed_s * FRAMES_PER_SECOND;
        self.allowed = (allowed.min(most), now.mono);
    }

    /// Uses up one frame if one is allowed.
    fn take(&mut self) -> bool {
        let any = self.allowed.0 >= 1.0;
        if any {
            self.allowed.0 -= 1.0;
        }
        any
    }

    /// Sets the level; it falls only by a factor of four, so that it does not change to and fro.
    fn set_level(&mut self, level: u32) {
        if level > self.level || level + 2 <= self.level {
            self.level = level;
            self.update = Duration::ZERO;
        }
    }
}

impl Dispatcher {
    /// Appends the demand frames to send now: link, waiting tasks, milliseconds until the earliest
    /// deadline. Call it after [`Self::next`] has returned `None`.
    ///
    /// An agent gets a frame when the level (the power of two of the waiting tasks) has changed,
    /// at most once per `demand_interval`; a frame with 0 ends the demand after `demand_hold`.
    pub fn demand(&mut self, now: Now, out: &mut Vec<(LinkKey, u32, i32)>) {
        if self.queues.waiting == 0 {
            self.end_demand(now, out);
            return;
        }
        self.demand.over = None;
        self.demand.allow(now);
        let since = *self.demand.since.get_or_insert(now.mono);
        let level = self.queues.waiting.checked_ilog2().map_or(0, |l| l + 1);
        self.demand.set_level(level);
        let slack_ms = self.slack_ms(now);
        self.update_told(now, slack_ms, out);
        let interval_ms = self.limits.demand_interval.as_millis().max(1);
        let doublings = now.since(since).as_millis() / interval_ms;
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let first = FEWEST_AGENTS.max(self.queues.waiting as usize);
        let wanted = first.saturating_mul(1 << doublings.min(MOST_DOUBLINGS));
        self.tell_more(now, slack_ms, wanted, out);
    }

    /// Tells agents whose last frame has another level.
    fn update_told(&mut self, now: Now, slack_ms: i32, out: &mut Vec<(LinkKey, u32, i32)>) {
        if now.mono < self.demand.update {
            return;
        }
        let interval = self.limits.demand_interval;
        self.demand.update = Duration::MAX;
        for place in 0..self.demand.told.len() {
            let Some(worker) = self.workers.get_mut(self.demand.told[place]) else {
                continue;
            };
            if worker.told.0 == self.demand.level {
                continue;
            }
            let again = worker.told.1.map_or(Duration::ZERO, |at| at + interval);
            if now.mono < again || !self.demand.take() {
                let later = again.max(now.mono + RETRY_DELAY);
                self.demand.update = self.demand.update.min(later);
                continue;
            }
            worker.told = (self.demand.level, Some(now.mono));
            out.push((worker.link, self.queues.waiting, slack_ms));
        }
    }

    /// Tells agents that have not been told, until `wanted` have.
    fn tell_more(
        &mut self,
        now: Now,
        slack_ms: i32,
        wanted: usize,
        out: &mut Vec<(LinkKey, u32, i32)>,
    ) {
        let wanted = wanted.min(self.demand.ring.len());
        for _ in 0..self.demand.ring.len() {
            if self.demand.told.len() >= wanted {
                return;
            }
            self.demand.cursor = (self.demand.cursor + 1) % self.demand.ring.len();
            let key = self.demand.ring[self.demand.cursor];
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            let interval = self.limits.demand_interval;
            let recent = worker.told.1.is_some_and(|at| now.since(at) < interval);
            if worker.told.0 > 0 || recent {
                continue;
            }
            if !self.demand.take() {
                return;
            }
            worker.told = (self.demand.level, Some(now.mono));
            out.push((worker.link, self.queues.waiting, slack_ms));
            self.demand.told.push(key);
        }
    }

    /// Tells the agents that the demand is over.
    fn end_demand(&mut self, now: Now, out: &mut Vec<(LinkKey, u32, i32)>) {
        self.demand.since = None;
        if self.demand.told.is_empty() {
            return;
        }
        let over = *self.demand.over.get_or_insert(now.mono);
        if now.since(over) < self.limits.demand_hold {
            return;
        }
        for key in self.demand.told.drain(..) {
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            worker.told = (0, Some(now.mono));
            out.push((worker.link, 0, 0));
        }
        self.demand.level = 0;
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
