//! Demand frames, which tell agents that tasks wait here without a credit.
//!
//! An agent is told about the most urgent waiting tasks only: the number of waiting tasks of their
//! class, up to the agent's slots, and the time until the earliest deadline. The number of agents
//! told starts near the number of waiting tasks and doubles while the tasks keep waiting, so that
//! a short wait in a large fleet costs few frames.
//!
//! The agent subtracts each credit that it grants from the announced demand; this process subtracts
//! each credit that it receives. A credit that was granted before the agent received the demand,
//! but arrives after the demand was sent, is subtracted by this process only. So once all granted
//! credits have arrived, a demand that the agent considers met also counts as met in this process,
//! which announces it again while tasks wait.

use std::time::Duration;

use super::dispatcher::Dispatcher;
use super::worker::{AnnouncedDemand, Worker, WorkerKey};
use crate::clock::Now;
use crate::peer::LinkKey;

/// Smallest number of agents to tell while tasks wait.
const MIN_AGENTS: usize = 2;

/// Upper bound of the doublings of the number of agents to tell; enough for any fleet.
const MAX_DOUBLINGS: u32 = 24;

/// Time between two checks of the announced demands. More urgent tasks trigger one at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Tokens for demand frames added with each started task. A demand frame is followed by about two
/// frames that move credits and often by one that ends the demand. This rate keeps the total,
/// including the start and report frames, near 2.5 frames per task.
const TOKENS_PER_START: f64 = 0.1;

/// Tokens for demand frames added per second, whether or not tasks start.
const TOKENS_PER_SECOND: f64 = 5.0;

/// The most urgent waiting tasks.
#[derive(Debug, Clone, Copy)]
struct UrgentTasks {
    /// Waiting tasks of their class.
    waiting: u32,
    /// Earliest deadline.
    deadline: Duration,
    /// Difference between deadlines that is too small to announce.
    tolerance: Duration,
}

/// State of the demand frames: token bucket, rotation of the agents, and time of the next check.
#[derive(Debug, Default)]
pub(super) struct DemandAnnouncer {
    /// All workers, told in rotation; `cursor` is the position of the last one considered.
    ring: Vec<WorkerKey>,
    cursor: usize,
    /// Agents with an announced demand that has not been ended.
    announced_agents: usize,
    /// The most urgent tasks, and the time since which tasks of that urgency have been waiting.
    most_urgent: Option<(UrgentTasks, Duration)>,
    /// Time since which no task has been waiting.
    idle_since: Option<Duration>,
    /// Earliest time of the next check.
    next_check: Duration,
    /// Frames that may be sent now.
    tokens: f64,
    /// When `tokens` was last refilled.
    refilled_at: Duration,
}

impl DemandAnnouncer {
    /// Adds a worker that has connected.
    pub(super) fn add_worker(&mut self, key: WorkerKey) {
        self.ring.push(key);
        self.tokens += 1.0;
    }

    /// Removes a worker that has disconnected, with the demand announced to it.
    pub(super) fn remove_worker(&mut self, key: WorkerKey, announced: AnnouncedDemand) {
        self.ring.retain(|k| *k != key);
        self.announced_agents -= usize::from(announced.waiting > 0);
    }

    /// Adds the tokens for a started task.
    pub(super) fn record_start(&mut self) {
        self.tokens += TOKENS_PER_START;
    }

    /// Adds the tokens for the time since the last refill.
    fn refill_tokens(&mut self, now: Now) {
        let passed_s = now.since(self.refilled_at).as_secs_f64();
        let capacity = self.ring.len() as f64 + TOKENS_PER_SECOND;
        let tokens = self.tokens + passed_s * TOKENS_PER_SECOND;
        self.tokens = tokens.min(capacity);
        self.refilled_at = now.mono;
    }

    /// Time since which tasks of this urgency have been waiting. It is reset if the tasks are
    /// clearly more urgent than before; this also triggers a check.
    fn waiting_since(&mut self, now: Now, urgent: UrgentTasks) -> Duration {
        let (previous, since) = *self.most_urgent.get_or_insert((urgent, now.mono));
        let more_urgent = urgent.deadline.saturating_add(previous.tolerance) < previous.deadline;
        let since = if more_urgent { now.mono } else { since };
        if more_urgent {
            self.next_check = Duration::ZERO;
        }
        self.most_urgent = Some((urgent, since));
        since
    }
}

impl AnnouncedDemand {
    /// Whether the agent has an unmet announced demand that is as urgent as the waiting tasks,
    /// within their tolerance, or more urgent.
    fn covers(&self, urgent: UrgentTasks) -> bool {
        self.unmet > 0 && self.deadline <= urgent.deadline.saturating_add(urgent.tolerance)
    }

    /// Whether the announced demand is clearly more urgent than the waiting tasks.
    fn is_more_urgent_than(&self, urgent: UrgentTasks) -> bool {
        self.waiting > 0 && self.deadline.saturating_add(urgent.tolerance) < urgent.deadline
    }

    /// Whether `waiting` is close to the announced number of tasks: less than twice and more than
    /// a quarter of it.
    fn count_is_close(&self, waiting: u32) -> bool {
        waiting < 2 * self.waiting && waiting.saturating_mul(4) > self.waiting
    }
}

impl Dispatcher {
    /// Appends the demand frames to send now: link, waiting tasks, milliseconds until the earliest
    /// deadline. Call this after [`Self::next_assignment`] has returned `None`.
    ///
    /// An agent gets a frame when its announced demand is outdated, at most one per
    /// `demand_interval`. A frame with 0 waiting tasks ends the demand after
    /// `demand_reduction_delay` without waiting tasks.
    pub fn pending_demands(&mut self, now: Now, out: &mut Vec<(LinkKey, u32, i32)>) {
        let Some(urgent) = self.most_urgent_tasks() else {
            self.end_demand(now, out);
            return;
        };
        self.demand.idle_since = None;
        let since = self.demand.waiting_since(now, urgent);
        if now.mono < self.demand.next_check {
            return;
        }
        self.demand.next_check = now.mono + CHECK_INTERVAL;
        self.demand.refill_tokens(now);
        let interval_ms = self.limits.demand_interval.as_millis().max(1);
        let doublings = now.since(since).as_millis() / interval_ms;
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let initial = MIN_AGENTS.max(urgent.waiting as usize);
        let wanted = initial.saturating_mul(1 << doublings.min(MAX_DOUBLINGS));
        let covered = self.correct_announced(now, urgent, out);
        self.announce_to_more(now, urgent, wanted.saturating_sub(covered), out);
    }

    /// Announces the demand again to agents that were told of more urgent tasks or of a very
    /// different number. Returns how many agents have an unmet demand of this urgency.
    fn correct_announced(
        &mut self,
        now: Now,
        urgent: UrgentTasks,
        out: &mut Vec<(LinkKey, u32, i32)>,
    ) -> usize {
        let mut covered = 0;
        for position in 0..self.demand.ring.len() {
            let key = self.demand.ring[position];
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            if !worker.announced.covers(urgent) {
                continue;
            }
            covered += 1;
            let delay_passed = worker
                .announced
                .sent_at
                .is_some_and(|at| now.since(at) >= self.limits.demand_reduction_delay);
            let too_urgent = worker.announced.is_more_urgent_than(urgent) && delay_passed;
            let waiting = urgent.waiting.min(worker.slots);
            if too_urgent || !worker.announced.count_is_close(waiting) {
                self.announce(now, key, urgent, out);
            }
        }
        covered
    }

    /// Announces the demand to up to `more` agents without an unmet demand of this urgency.
    fn announce_to_more(
        &mut self,
        now: Now,
        urgent: UrgentTasks,
        mut more: usize,
        out: &mut Vec<(LinkKey, u32, i32)>,
    ) {
        for _ in 0..self.demand.ring.len() {
            if more == 0 || self.demand.tokens < 1.0 {
                return;
            }
            self.demand.cursor = (self.demand.cursor + 1) % self.demand.ring.len();
            let key = self.demand.ring[self.demand.cursor];
            let skip = |w: &Worker| w.announced.covers(urgent) || w.has_all_slots();
            if self.workers.get(key).is_some_and(skip) {
                continue;
            }
            more -= usize::from(self.announce(now, key, urgent, out));
        }
    }

    /// Announces the demand to one agent. Returns `false` if its last frame is too recent or no
    /// token is left.
    fn announce(
        &mut self,
        now: Now,
        key: WorkerKey,
        urgent: UrgentTasks,
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
        if recent || self.demand.tokens < 1.0 {
            return false;
        }
        self.demand.tokens -= 1.0;
        self.demand.announced_agents += usize::from(worker.announced.waiting == 0);
        let waiting = urgent.waiting.min(worker.slots.max(1));
        worker.announced = AnnouncedDemand {
            waiting,
            unmet: waiting,
            deadline: urgent.deadline,
            sent_at: Some(now.mono),
        };
        out.push((worker.link, waiting, slack_ms(now, urgent.deadline)));
        true
    }

    /// Ends all announced demands after `demand_reduction_delay` without waiting tasks.
    fn end_demand(&mut self, now: Now, out: &mut Vec<(LinkKey, u32, i32)>) {
        self.demand.most_urgent = None;
        if self.demand.announced_agents == 0 {
            return;
        }
        let idle_since = *self.demand.idle_since.get_or_insert(now.mono);
        if now.since(idle_since) < self.limits.demand_reduction_delay {
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
        self.demand.announced_agents = 0;
    }

    /// The most urgent waiting tasks.
    fn most_urgent_tasks(&self) -> Option<UrgentTasks> {
        let (deadline, queue) = self.queues.heads().next()?;
        let class = self.queues.class_and_team(queue)?.0;
        let class = self.queues.classes.get(class)?;
        Some(UrgentTasks {
            waiting: class.waiting,
            deadline,
            tolerance: class.target,
        })
    }
}

/// Time until `deadline`, in milliseconds; negative if it has passed.
fn slack_ms(now: Now, deadline: Duration) -> i32 {
    let ahead = deadline.saturating_sub(now.mono).as_millis();
    let behind = now.since(deadline).as_millis();
    let ahead = i32::try_from(ahead).unwrap_or(i32::MAX);
    ahead.saturating_sub(i32::try_from(behind).unwrap_or(i32::MAX))
}
