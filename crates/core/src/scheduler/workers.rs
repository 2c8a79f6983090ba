//! Agents and their workers, as known to this entry process.

use std::collections::VecDeque;
use std::time::Duration;

use knapweedwall_wire as wire;
use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::io::Settings;
use super::run_time_model::{self, Speed};
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::ids::Instance;
use crate::job::{Resources, RunId};
use crate::peer::{LinkKey, PeerInfo};

new_key_type! {
    /// Identifies an agent and its worker.
    pub(super) struct WorkerKey;
}

/// Time without a report from an agent of the same zone after which its worker gets no new tasks.
/// Corresponds to two missed reports.
const SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// The same for an agent in another zone, which reports less often.
const REMOTE_SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// Failure score at which a worker is held back, that is, gets no new tasks for some time. A failed
/// run adds 1, a stalled run 1.5.
const FAILURE_SCORE_LIMIT: f64 = 2.5;

/// Time for which a worker is held back the first time. Each further time it doubles, up to
/// [`MAX_HOLD_BACK`].
const INITIAL_HOLD_BACK: Duration = Duration::from_millis(1_000);

/// Longest time for which a worker is held back.
const MAX_HOLD_BACK: Duration = Duration::from_secs(4);

/// Tasks may be queued at an agent while those already queued need less CPU than the worker's
/// capacity divided by this.
const QUEUED_CPU_DIVISOR: u32 = 8;

/// An ordered run that the agent's last report does not reflect yet.
#[derive(Debug)]
struct UnseenOrder {
    /// Number of the `RunOrders` frame.
    number: u64,
    /// Resources that the run takes when it starts immediately; zero if it is queued at the agent.
    resources: Resources,
    /// CPU that the run needs if it is queued at the agent, else 0.
    queued_cpu: u32,
}

/// An agent and its worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) name: SmolStr,
    pub(super) agent: Instance,
    pub(super) link: Option<LinkKey>,
    /// Whether the agent is in the zone of this entry process.
    pub(super) in_zone: bool,
    /// Preference of this entry process for the worker, from 0 (most preferred) to 1. Differs
    /// between entry processes.
    pub(super) preference: f64,
    /// Time of the last report or, before the first one, of the connection.
    pub(super) last_heard: Duration,
    /// Whether the agent has listed its open runs on this connection.
    pub(super) listed: bool,
    /// Number of the last `RunReports` frame received on this connection.
    pub(super) reports_seen: u64,
    /// Time of the last heartbeat sent to the agent.
    pub(super) last_beat: Duration,
    pub(super) instance: SmolStr,
    pub(super) service: SmolStr,
    pub(super) labels: Vec<SmolStr>,
    pub(super) capacity: Resources,
    free: Resources,
    waiting_cpu: u32,
    usable: bool,
    idle: bool,
    /// Group of the runs on the worker, as far as known; empty if they have none.
    pub(super) group: SmolStr,
    /// Ordered runs that the last report does not reflect yet, in the order of their frames.
    unseen_orders: VecDeque<UnseenOrder>,
    /// Number of the last `RunOrders` frame sent on this connection.
    last_order: u64,
    /// Runs whose end is not known, ordered by this entry process or by an earlier owner of the
    /// shard.
    pub(super) runs: DeterministicSet<RunId>,
    /// Runs whose ends the worker retains until they are settled, see [`super::durable_jobs`].
    pub(super) unsettled: DeterministicSet<RunId>,
    /// Number of the last shard claim that the agent has answered on this connection.
    pub(super) acknowledged_claim: u64,
    pub(super) speed: Speed,
    /// Increased by failed and stalled runs, and reduced by successful ones.
    failure_score: f64,
    held_back_until: Duration,
    next_hold_back: Duration,
    /// Frame to be sent at the end of the turn.
    pub(super) outbox: wire::RunOrders,
}

impl Worker {
    /// Applies the agent's description of its worker. Returns whether the worker is another
    /// instance than before.
    pub(super) fn update_profile(&mut self, profile: wire::WorkerProfile) -> bool {
        let restarted = self.instance != profile.instance.as_str();
        self.instance = profile.instance.into();
        self.service = profile.service.into();
        self.labels = profile.labels.into_iter().map(SmolStr::from).collect();
        self.capacity = profile.capacity.map(Resources::from).unwrap_or_default();
        if restarted {
            self.failure_score = 0.0;
            self.held_back_until = Duration::ZERO;
            self.next_hold_back = INITIAL_HOLD_BACK;
        }
        restarted
    }

    /// Applies a report of the worker's state. `orders_seen` is the number of the last `RunOrders`
    /// frame that the report reflects.
    pub(super) fn update_state(&mut self, state: wire::WorkerState, orders_seen: u64) {
        self.free = state.free.map(Resources::from).unwrap_or_default();
        self.waiting_cpu = state.waiting_cpu;
        self.usable = state.usable;
        self.idle = state.idle;
        self.group = state.group.into();
        while self
            .unseen_orders
            .front()
            .is_some_and(|order| order.number <= orders_seen)
        {
            self.unseen_orders.pop_front();
        }
    }

    /// Returns the free resources: those last reported, minus those of ordered runs that the report
    /// does not reflect yet.
    pub(super) fn free(&self) -> Resources {
        let mut free = self.free;
        for order in &self.unseen_orders {
            free = free.saturating_sub(order.resources);
        }
        free
    }

    /// Returns whether no run is on the worker, as far as known.
    pub(super) fn is_idle(&self) -> bool {
        self.idle && self.unseen_orders.is_empty() && self.runs.is_empty()
    }

    /// Returns whether a task that needs `resources` may be queued at the agent.
    pub(super) fn can_queue(&self, resources: Resources) -> bool {
        let unseen: u32 = self
            .unseen_orders
            .iter()
            .map(|order| order.queued_cpu)
            .sum();
        let waiting = self.waiting_cpu.saturating_add(unseen);
        self.capacity.can_fit(resources) && waiting < self.capacity.cpu / QUEUED_CPU_DIVISOR
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        let limit = if self.in_zone {
            SILENCE_LIMIT
        } else {
            REMOTE_SILENCE_LIMIT
        };
        let reporting = now.saturating_sub(self.last_heard) < limit;
        let held_back = now < self.held_back_until
            || (self.failure_score >= FAILURE_SCORE_LIMIT && !self.runs.is_empty());
        self.link.is_some() && self.listed && self.usable && reporting && !held_back
    }

    /// Returns whether the worker has a label, if one is required.
    pub(super) fn has_label(&self, label: Option<&SmolStr>) -> bool {
        label.is_none_or(|label| self.labels.contains(label))
    }

    /// Returns the fraction of the CPU capacity that is free.
    pub(super) fn free_share(&self) -> f64 {
        f64::from(self.free().cpu) / f64::from(self.capacity.cpu.max(1))
    }

    /// Accounts for a run that is ordered in this turn. `waits` tells whether the agent has to queue
    /// it until resources are free.
    pub(super) fn add_order(&mut self, run: RunId, resources: Resources, waits: bool) {
        self.runs.insert(run);
        let number = self.last_order + 1;
        let (resources, queued_cpu) = if waits {
            (Resources::default(), resources.cpu)
        } else {
            (resources, 0)
        };
        self.unseen_orders.push_back(UnseenOrder {
            number,
            resources,
            queued_cpu,
        });
    }

    /// Takes and numbers the frame of this turn, if there is anything to send.
    pub(super) fn take_orders(&mut self) -> Option<(LinkKey, wire::RunOrders)> {
        let orders = &self.outbox;
        let settles_or_voids = !orders.settled.is_empty() || !orders.voided.is_empty();
        let stops_or_claims = !orders.stops.is_empty() || !orders.claims.is_empty();
        if orders.phases.is_empty() && !stops_or_claims && !settles_or_voids {
            return None;
        }
        let mut orders = std::mem::take(&mut self.outbox);
        let link = self.link?;
        self.last_order += 1;
        orders.number = self.last_order;
        orders.reports_seen = self.reports_seen;
        Some((link, orders))
    }

    /// Clears the state that belongs to one connection.
    fn reset_connection(&mut self) {
        self.listed = false;
        self.acknowledged_claim = 0;
        self.unsettled.clear();
        self.reports_seen = 0;
        self.last_order = 0;
        self.unseen_orders.clear();
        self.outbox = wire::RunOrders::default();
    }

    /// Halves the failure score after a successful run, or clears it if it had reached the limit.
    pub(super) fn record_success(&mut self) {
        self.failure_score = if self.failure_score >= FAILURE_SCORE_LIMIT {
            0.0
        } else {
            self.failure_score * 0.5
        };
        self.next_hold_back = INITIAL_HOLD_BACK;
    }

    /// Adds `weight` to the failure score. If this causes the worker to be held back, returns for
    /// how long.
    pub(super) fn record_failure(&mut self, now: Duration, weight: f64) -> Option<Duration> {
        self.failure_score += weight;
        if self.failure_score < FAILURE_SCORE_LIMIT || now < self.held_back_until {
            return None;
        }
        let pause = self.next_hold_back;
        self.held_back_until = now + pause;
        self.next_hold_back = (pause * 2).min(MAX_HOLD_BACK);
        self.failure_score = FAILURE_SCORE_LIMIT;
        Some(pause)
    }
}

/// All known agents and their workers.
#[derive(Debug, Default)]
pub(super) struct Workers {
    arena: SlotMap<WorkerKey, Worker>,
    by_link: DeterministicMap<LinkKey, WorkerKey>,
}

impl Workers {
    /// Adds a connection to an agent. It replaces an earlier connection to the agent of this name.
    pub(super) fn link_up(
        &mut self,
        now: Duration,
        process: &Settings,
        link: LinkKey,
        peer: PeerInfo,
    ) -> WorkerKey {
        let known = self
            .arena
            .iter()
            .find(|(_, worker)| worker.name == peer.name);
        let key = known.map(|(key, _)| key).unwrap_or_else(|| {
            self.arena.insert(Worker {
                name: peer.name.clone(),
                agent: peer.instance,
                link: None,
                in_zone: false,
                preference: preference(&process.name, &peer.name),
                last_heard: now,
                listed: false,
                reports_seen: 0,
                last_beat: Duration::ZERO,
                instance: SmolStr::default(),
                service: SmolStr::default(),
                labels: Vec::new(),
                capacity: Resources::default(),
                free: Resources::default(),
                waiting_cpu: 0,
                usable: false,
                idle: false,
                group: SmolStr::default(),
                unseen_orders: VecDeque::new(),
                last_order: 0,
                runs: DeterministicSet::default(),
                unsettled: DeterministicSet::default(),
                acknowledged_claim: 0,
                speed: Speed::default(),
                failure_score: 0.0,
                held_back_until: Duration::ZERO,
                next_hold_back: INITIAL_HOLD_BACK,
                outbox: wire::RunOrders::default(),
            })
        });
        let worker = &mut self.arena[key];
        if let Some(old) = worker.link.replace(link) {
            self.by_link.remove(&old);
        }
        worker.agent = peer.instance;
        worker.in_zone = peer.zone == process.zone;
        worker.last_heard = now;
        worker.reset_connection();
        self.by_link.insert(link, key);
        key
    }

    pub(super) fn link_down(&mut self, link: LinkKey) -> Option<WorkerKey> {
        let key = self.by_link.remove(&link)?;
        let worker = self.arena.get_mut(key)?;
        worker.link = None;
        worker.reset_connection();
        Some(key)
    }

    pub(super) fn find_by_link(&self, link: LinkKey) -> Option<WorkerKey> {
        self.by_link.get(&link).copied()
    }

    pub(super) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.arena.get(key)
    }

    pub(super) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.arena.get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.arena.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (WorkerKey, &mut Worker)> {
        self.arena.iter_mut()
    }

    pub(super) fn remove(&mut self, key: WorkerKey) {
        self.arena.remove(key);
    }

    /// Returns the speed to assume for a new worker: the mean of the other workers of its kind, or
    /// of all other workers with labels if there are none. The first label of a worker is taken as
    /// its kind.
    pub(super) fn initial_speed(&self, key: WorkerKey) -> Speed {
        let Some(worker) = self.arena.get(key) else {
            return Speed::default();
        };
        let kind = worker.labels.first();
        let others = || {
            let others = self.arena.iter().filter(|(other, _)| *other != key);
            others.filter(|(_, other)| !other.labels.is_empty())
        };
        let alike = others().filter(|(_, other)| other.labels.first() == kind);
        if alike.clone().next().is_some() {
            return run_time_model::mean_speed(alike.map(|(_, other)| other.speed));
        }
        run_time_model::mean_speed(others().map(|(_, other)| other.speed))
    }
}

/// Returns the preference of an entry process for the worker of an agent, see
/// [`Worker::preference`].
fn preference(process: &str, agent: &str) -> f64 {
    let hash = xxh3_64_with_seed(agent.as_bytes(), xxh3_64(process.as_bytes()));
    hash as f64 / u64::MAX as f64
}
