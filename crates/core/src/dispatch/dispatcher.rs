//! The dispatcher: waiting tasks, workers and credits.

use std::collections::BTreeSet;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slotmap::SlotMap;
use smol_str::SmolStr;

use super::credits::Credits;
use super::demand::Demand;
use super::health::Health;
use super::jobs::{Job, JobSlot};
use super::learning::Speed;
use super::limits::Limits;
use super::placement::Placement;
use super::queues::Queues;
use super::suspects::Suspects;
use super::worker::{Worker, WorkerKey};
use crate::deterministic::DeterministicMap;
use crate::ids::{JobKey, TaskRef};

/// A task that is to start on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// The task.
    pub task: TaskRef,
    /// The worker.
    pub worker: WorkerKey,
}

/// Decides which waiting task starts next, and on which worker.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) limits: Limits,
    pub(super) policy: Box<dyn Placement>,
    pub(super) random: ChaCha8Rng,
    pub(super) queues: Queues,
    pub(super) jobs: SlotMap<JobSlot, Job>,
    pub(super) job_keys: DeterministicMap<JobKey, JobSlot>,
    pub(super) next_seq: u64,
    /// Jobs of which no task has started, by time of expiry.
    pub(super) unstarted: BTreeSet<(Duration, JobSlot)>,
    pub(super) workers: SlotMap<WorkerKey, Worker>,
    pub(super) credits: Credits,
    /// Unused credits of all workers.
    pub(super) held_credits: u32,
    /// Slots of all workers.
    pub(super) slots: u32,
    pub(super) suspects: Suspects,
    pub(super) remembered: DeterministicMap<SmolStr, (Speed, Health)>,
    pub(super) demand: Demand,
}

impl Dispatcher {
    /// Dispatcher without workers, classes and jobs; equal seeds give equal decisions.
    #[must_use]
    pub fn new(seed: u64, policy: Box<dyn Placement>, limits: Limits) -> Self {
        Self {
            limits,
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            queues: Queues::new(),
            jobs: SlotMap::with_key(),
            job_keys: DeterministicMap::default(),
            next_seq: 0,
            unstarted: BTreeSet::new(),
            workers: SlotMap::with_key(),
            credits: Credits::default(),
            held_credits: 0,
            slots: 0,
            suspects: Suspects::default(),
            remembered: DeterministicMap::default(),
            demand: Demand::default(),
        }
    }

    /// Waiting tasks.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.queues.waiting
    }

    /// Running tasks.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.queues.running
    }

    /// Slots that this process uses or could use at once.
    pub(super) fn usable_slots(&self) -> u32 {
        self.queues.running.saturating_add(self.held_credits).max(1)
    }
}
