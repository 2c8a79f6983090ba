//! Demand frames: which agents are told that tasks wait here.
//!
//! An agent is told of the most urgent waiting tasks only: how many of their class wait, at most as
//! many as it has slots, and when the first of them is due. The agents told are about as many as
//! tasks wait, and more the longer they wait, so that a short wait among many agents costs few
//! frames.
//!
//! An agent counts each credit that it grants against the demand it was told of, and this process
//! counts each that arrives. Credits under way when the demand is told are counted here only, so a
//! demand that the agent takes as used up is used up here at the latest when its grants arrive,
//! and is told again while tasks wait.

use std::time::Duration;

use super::dispatcher::Dispatcher;
use super::worker::{AnnouncedDemand, Worker, WorkerKey};
use crate::clock::Now;
use crate::peer::LinkKey;

/// Fewest agents told when tasks wait.
const FEWEST_AGENTS: usize = 2;

/// Doublings after which any number of agents has been told.
const MOST_DOUBLINGS: u32 = 24;

/// Time between two looks at what the agents have been told, unless more urgent tasks wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Frames of demand allowed for each start. Each is followed by about two that move credits, and
/// often by one that ends the demand; all frames of a task are to stay near 2.5.
const FRAMES_PER_START: f64 = 0.1;

/// Frames of demand allowed each second without any start.
const FRAMES_PER_SECOND: f64 = 5.0;

/// The most urgent waiting tasks.
#[derive(Debug, Clone, Copy)]
struct Urgent {
    /// Waiting tasks of their class.
    waiting: u32,
    /// Earliest deadline.
    due: Duration,
    /// Difference between deadlines that is not worth a frame.
    tolerance: Duration,
}

/// Which agents are to be told what.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// All workers; the next one to tell is at `cursor`.
    ring: Vec<WorkerKey>,
    cursor: usize,
    /// Agents told of a demand that has not been ended.
    told: usize,
    /// The most urgent tasks and the time since when such tasks wait.
    since: Option<(Urgent, Duration)>,
    /// Since when no task waits.
    over: Option<Duration>,
    /// Time of the next look.
    look: Duration,
    /// Frames allowed now, and when this was last brought up to date.
    allowed: (f64, Duration),
}

impl Demand {
    /// Adds a worker that has connected.
    pub(super) fn add_worker(&mut self, key: WorkerKey) {
        self.ring.push(key);
        self.allowed.0 += 1.0;
    }

    /// Forgets a worker that is gone and had been told this.
    pub(super) fn remove(&mut self, key: WorkerKey, told: AnnouncedDemand) {
        self.ring.retain(|k| *k != key);
        self.told -= usize::from(told.waiting > 0);
    }

    /// A task has started.
    pub(super) fn record_start(&mut self) {
        self.allowed.0 += FRAMES_PER_START;
    }

    /// Brings the number of allowed frames up to date.
    fn refill_tokens(&mut self, now: Now) {
        let passed_s = now.since(self.allowed.1).as_secs_f64();
        let most = self.ring.len() as f64 + FRAMES_PER_SECOND;
        let allowed = self.allowed.0 + passed_s * FRAMES_PER_SECOND;
        self.allowed = (allowed.min(most), now.mono);
    }

    /// Since when tasks of this urgency wait. More urgent ones begin anew.
    fn wait(&mut self, now: Now, urgent: Urgent) -> Duration {
        let (known, since) = *self.since.get_or_insert((urgent, now.mono));
        let sooner = urgent.due.saturating_add(known.tolerance) < known.due;
        let since = if sooner { now.mono } else { since };
        if sooner {
            self.look = Duration::ZERO;
        }
        self.since = Some((urgent, since));
        since
    }
}

impl AnnouncedDemand {
    /// Whether the agent knows of tasks as urgent as these that it has not granted credits for.
    fn covers(&self, urgent: Urgent) -> bool {
        self.unmet > 0 && self.deadline <= urgent.due.saturating_add(urgent.tolerance)
    }

    /// Whether the agent was told of tasks that are clearly more urgent.
    fn exceeds(&self, urgent: Urgent) -> bool {
        self.waiting > 0 && self.deadline.saturating_add(urgent.tolerance) < urgent.due
    }

    /// Whether as many tasks were told as wait, within a factor of two up and four down.
    fn fits(&self, waiting: u32) -> bool {
        waiting < 2 * self.waiting && waiting.saturating_mul(4) > self.waiting
    }
}

impl Dispatcher {
    /// Appends the demand frames to send now: link, waiting tasks, milliseconds until the earliest
    /// deadline. Call it after [`Self::next`] has returned `None`.
    ///
    /// An agent gets a frame when what it was told is no longer about right, at most once per
    /// `demand_interval`; a frame with 0 ends the demand after `demand_hold`.
    pub fn pending_demands(&mut self, now: Now, out: &mut Vec<(LinkKey, u32, i32)>) {
        let Some(urgent) = self.urgent() else {
            self.end_demand(now, out);
            return;
        };
        self.demand.over = None;
        let since = self.demand.wait(now, urgent);
        if now.mono < self.demand.look {
            return;
        }
        self.demand.look = now.mono + LOOK_INTERVAL;
        self.demand.refill_tokens(now);
        let interval_ms = self.limits.demand_interval.as_millis().max(1);
        let doublings = now.since(since).as_millis() / interval_ms;
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let first = FEWEST_AGENTS.max(urgent.waiting as usize);
        let wanted = first.saturating_mul(1 << doublings.min(MOST_DOUBLINGS));
        let covered = self.correct_announced(now, urgent, out);
        self.announce_to_more(now, urgent, wanted.saturating_sub(covered), out);
    }

    /// Corrects agents that were told of more urgent tasks or of a very different number. Returns
    /// how many agents know of tasks as urgent as these.
    fn correct_announced(
        &mut self,
        now: Now,
        urgent: Urgent,
        out: &mut Vec<(LinkKey, u32, i32)>,
    ) -> usize {
        let mut covered = 0;
        for place in 0..self.demand.ring.len() {
            let key = self.demand.ring[place];
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            if !worker.announced.covers(urgent) {
                continue;
            }
            covered += 1;
            let held = worker
                .announced
                .sent_at
                .is_some_and(|at| now.since(at) >= self.limits.demand_hold);
            let exceeds = worker.announced.exceeds(urgent) && held;
            if exceeds || !worker.announced.fits(urgent.waiting.min(worker.slots)) {
                self.announce(now, key, urgent, out);
            }
        }
        covered
    }

    /// Tells `more` agents that do not know of tasks as urgent as these.
    fn announce_to_more(
        &mut self,
        now: Now,
        urgent: Urgent,
        mut more: usize,
        out: &mut Vec<(LinkKey, u32, i32)>,
    ) {
        for _ in 0..self.demand.ring.len() {
            if more == 0 || self.demand.allowed.0 < 1.0 {
                return;
            }
            self.demand.cursor = (self.demand.cursor + 1) % self.demand.ring.len();
            let key = self.demand.ring[self.demand.cursor];
            let skip = |w: &Worker| w.announced.covers(urgent) || w.holds_all_slots();
            if self.workers.get(key).is_some_and(skip) {
                continue;
            }
            more -= usize::from(self.announce(now, key, urgent, out));
        }
    }

    /// Tells one agent, unless it was told something a moment ago or no frame is allowed.
    fn announce(
        &mut self,
        now: Now,
        key: WorkerKey,
        urgent: Urgent,
        out: &mut Vec<(LinkKey, u32, i32)>,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(key) else {
            return false;
        };
        let interval = self.limits.demand_interval;
        let recent = worker
            .announced
            .sent_at
            .is_some_and(|at| now.since(at) < interval);
        if recent || self.demand.allowed.0 < 1.0 {
            return false;
        }
        self.demand.allowed.0 -= 1.0;
        self.demand.told += usize::from(worker.announced.waiting == 0);
        let waiting = urgent.waiting.min(worker.slots.max(1));
        worker.announced = AnnouncedDemand {
            waiting,
            unmet: waiting,
            deadline: urgent.due,
            sent_at: Some(now.mono),
        };
        out.push((worker.link, waiting, slack_ms(now, urgent.due)));
        true
    }

    /// Tells the agents that the demand is over.
    fn end_demand(&mut self, now: Now, out: &mut Vec<(LinkKey, u32, i32)>) {
        self.demand.since = None;
        if self.demand.told == 0 {
            return;
        }
        let over = *self.demand.over.get_or_insert(now.mono);
        if now.since(over) < self.limits.demand_hold {
            return;
        }
        for worker in self.workers.values_mut() {
            if worker.announced.waiting == 0 {
                continue;
            }
            worker.announced.waiting = 0;
            worker.announced.unmet = 0;
            worker.announced.sent_at = Some(now.mono);
            out.push((worker.link, 0, 0));
        }
        self.demand.told = 0;
    }

    /// The most urgent waiting tasks.
    fn urgent(&self) -> Option<Urgent> {
        let (due, queue) = self.queues.heads().next()?;
        let class = self.queues.class_and_team(queue)?.0;
        let class = self.queues.classes.get(class)?;
        Some(Urgent {
            waiting: class.waiting,
            due,
            tolerance: class.target,
        })
    }
}

/// Time until `due`, in milliseconds; negative when it has passed.
fn slack_ms(now: Now, due: Duration) -> i32 {
    let ahead = due.saturating_sub(now.mono).as_millis();
    let behind = now.since(due).as_millis();
    let ahead = i32::try_from(ahead).unwrap_or(i32::MAX);
    ahead.saturating_sub(i32::try_from(behind).unwrap_or(i32::MAX))
}
