//! Workers and the agents beside them, as this entry process knows them.

use std::collections::VecDeque;
use std::time::Duration;

use knapweedwall_wire as wire;
use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use super::learning::{self, Speed};
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::ids::Instance;
use crate::job::{Resources, RunId};
use crate::peer::{LinkKey, PeerInfo};

new_key_type! {
    /// One agent with its worker.
    pub(super) struct WorkerKey;
}

/// Silence after which a worker gets no new tasks: two reports have been missed.
const QUIET_AFTER: Duration = Duration::from_millis(600);

/// Bad ends in a row after which a worker is held back.
const BAD_LIMIT: f64 = 2.5;

/// Time for which a worker is held back; doubled each time up to [`LONGEST_HOLD_BACK`].
const HOLD_BACK: Duration = Duration::from_millis(1_000);

/// Longest time for which a worker is held back.
const LONGEST_HOLD_BACK: Duration = Duration::from_secs(4);

/// Part of a worker's processor for which tasks may wait at its agent, as a divisor.
const WAITING_DIVISOR: u32 = 8;

/// One agent with its worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) name: SmolStr,
    pub(super) agent: Instance,
    pub(super) zone: SmolStr,
    pub(super) link: Option<LinkKey>,
    /// Last frame from the agent.
    pub(super) heard: Duration,
    /// Whether the agent has listed its runs on this connection.
    pub(super) listed: bool,
    /// Number of the last reports on this connection.
    pub(super) reports_seen: u64,
    /// Time of the last sign of life to the agent.
    pub(super) beat: Duration,
    pub(super) instance: SmolStr,
    pub(super) service: SmolStr,
    pub(super) labels: Vec<SmolStr>,
    pub(super) capacity: Resources,
    free: Resources,
    waiting_cpu: u32,
    usable: bool,
    /// Orders that the last reports did not contain: number, room to start in, room to wait for.
    unseen: VecDeque<(u64, Resources, u32)>,
    orders: u64,
    /// Runs of this entry process that are not closed.
    pub(super) runs: DeterministicSet<RunId>,
    /// Ends that the worker keeps until they are settled.
    pub(super) unsettled: DeterministicSet<RunId>,
    /// Number of the last claim of shards that the agent has answered on this connection.
    pub(super) claim_seen: u64,
    pub(super) speed: Speed,
    bad: f64,
    held_until: Duration,
    hold_back: Duration,
    /// Frames to be sent at the end of the turn.
    pub(super) outbox: wire::RunOrders,
}

impl Worker {
    /// Takes what the agent says of a lifetime of its worker. Returns whether it is a new one.
    pub(super) fn introduce(&mut self, profile: wire::WorkerProfile) -> bool {
        let renewed = self.instance != profile.instance.as_str();
        self.instance = profile.instance.into();
        self.service = profile.service.into();
        self.labels = profile.labels.into_iter().map(SmolStr::from).collect();
        self.capacity = profile.capacity.map(Resources::from).unwrap_or_default();
        if renewed {
            self.bad = 0.0;
            self.held_until = Duration::ZERO;
            self.hold_back = HOLD_BACK;
        }
        renewed
    }

    /// Takes what the agent says of its worker as it is now.
    pub(super) fn observe(&mut self, state: wire::WorkerState, orders_seen: u64) {
        self.free = state.free.map(Resources::from).unwrap_or_default();
        self.waiting_cpu = state.waiting_cpu;
        self.usable = state.usable;
        while self
            .unseen
            .front()
            .is_some_and(|order| order.0 <= orders_seen)
        {
            self.unseen.pop_front();
        }
    }

    /// Room that is free by what is known, also for orders on their way.
    pub(super) fn free(&self) -> Resources {
        let mut free = self.free;
        for (_, room, _) in &self.unseen {
            free = free.saturating_sub(*room);
        }
        free
    }

    /// Whether tasks may wait for room at the agent.
    pub(super) fn may_wait(&self, room: Resources) -> bool {
        let on_way: u32 = self.unseen.iter().map(|order| order.2).sum();
        let waiting = self.waiting_cpu.saturating_add(on_way);
        self.capacity.can_fit(room) && waiting < self.capacity.cpu / WAITING_DIVISOR
    }

    /// Whether it takes new tasks.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        let heard = now.saturating_sub(self.heard) < QUIET_AFTER;
        let held = now < self.held_until || (self.bad >= BAD_LIMIT && !self.runs.is_empty());
        self.link.is_some() && self.listed && self.usable && heard && !held
    }

    /// Share of its processor that is free.
    pub(super) fn free_share(&self) -> f64 {
        f64::from(self.free().cpu) / f64::from(self.capacity.cpu.max(1))
    }

    /// Notes an order that goes out with this turn.
    pub(super) fn add_order(&mut self, run: RunId, room: Resources, waits: bool) {
        self.runs.insert(run);
        let number = self.orders + 1;
        let (room, wait) = if waits {
            (Resources::default(), room.cpu)
        } else {
            (room, 0)
        };
        self.unseen.push_back((number, room, wait));
    }

    /// Takes the orders of this turn, numbered.
    pub(super) fn take_orders(&mut self) -> Option<(LinkKey, wire::RunOrders)> {
        let orders = &self.outbox;
        let settles = !orders.settled.is_empty() || !orders.voided.is_empty();
        let stops = !orders.stops.is_empty() || !orders.claims.is_empty();
        if orders.phases.is_empty() && !stops && !settles {
            return None;
        }
        let mut orders = std::mem::take(&mut self.outbox);
        let link = self.link?;
        self.orders += 1;
        orders.number = self.orders;
        Some((link, orders))
    }

    /// Forgets what belonged to an earlier connection.
    fn reset(&mut self) {
        self.listed = false;
        self.claim_seen = 0;
        self.unsettled.clear();
        self.reports_seen = 0;
        self.orders = 0;
        self.unseen.clear();
        self.outbox = wire::RunOrders::default();
    }

    /// Notes an end that speaks for the worker.
    pub(super) fn good_end(&mut self) {
        self.bad = if self.bad >= BAD_LIMIT {
            0.0
        } else {
            self.bad * 0.5
        };
        self.hold_back = HOLD_BACK;
    }

    /// Notes an end that speaks against the worker. Returns for how long it is held back, if it is.
    pub(super) fn bad_end(&mut self, now: Duration, weight: f64) -> Option<Duration> {
        self.bad += weight;
        if self.bad < BAD_LIMIT || now < self.held_until {
            return None;
        }
        let pause = self.hold_back;
        self.held_until = now + pause;
        self.hold_back = (pause * 2).min(LONGEST_HOLD_BACK);
        self.bad = BAD_LIMIT;
        Some(pause)
    }
}

/// All agents with their workers.
#[derive(Debug, Default)]
pub(super) struct Workers {
    arena: SlotMap<WorkerKey, Worker>,
    links: DeterministicMap<LinkKey, WorkerKey>,
}

impl Workers {
    /// Adds a connection to an agent.
    pub(super) fn link_up(&mut self, now: Duration, link: LinkKey, peer: PeerInfo) -> WorkerKey {
        let known = self
            .arena
            .iter()
            .find(|(_, worker)| worker.name == peer.name);
        let key = known.map(|(key, _)| key).unwrap_or_else(|| {
            self.arena.insert(Worker {
                name: peer.name.clone(),
                agent: peer.instance,
                zone: peer.zone.clone(),
                link: None,
                heard: now,
                listed: false,
                reports_seen: 0,
                beat: Duration::ZERO,
                instance: SmolStr::default(),
                service: SmolStr::default(),
                labels: Vec::new(),
                capacity: Resources::default(),
                free: Resources::default(),
                waiting_cpu: 0,
                usable: false,
                unseen: VecDeque::new(),
                orders: 0,
                runs: DeterministicSet::default(),
                unsettled: DeterministicSet::default(),
                claim_seen: 0,
                speed: Speed::default(),
                bad: 0.0,
                held_until: Duration::ZERO,
                hold_back: HOLD_BACK,
                outbox: wire::RunOrders::default(),
            })
        });
        let worker = &mut self.arena[key];
        if let Some(old) = worker.link.replace(link) {
            self.links.remove(&old);
        }
        worker.agent = peer.instance;
        worker.zone = peer.zone;
        worker.heard = now;
        worker.reset();
        self.links.insert(link, key);
        key
    }

    pub(super) fn link_down(&mut self, link: LinkKey) -> Option<WorkerKey> {
        let key = self.links.remove(&link)?;
        let worker = self.arena.get_mut(key)?;
        worker.link = None;
        worker.reset();
        Some(key)
    }

    pub(super) fn behind(&self, link: LinkKey) -> Option<WorkerKey> {
        self.links.get(&link).copied()
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

    /// Mean speed of the other workers of the same kind, else of all.
    pub(super) fn likely_speed(&self, key: WorkerKey) -> Speed {
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
            return learning::mean(alike.map(|(_, other)| other.speed));
        }
        learning::mean(others().map(|(_, other)| other.speed))
    }
}
