//! State of the dispatcher: jobs, workers and credits.

use std::collections::BTreeSet;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slotmap::SlotMap;
use smol_str::SmolStr;

use super::credit_index::CreditIndex;
use super::demand::DemandAnnouncer;
use super::estimates::SpeedEstimate;
use super::health::Health;
use super::job::{Job, JobHandle};
use super::limits::Limits;
use super::outlier_detection::OutlierDetector;
use super::placement::Placement;
use super::queues::Queues;
use super::worker::{Worker, WorkerKey};
use crate::deterministic::DeterministicMap;
use crate::ids::{JobKey, TaskRef};

/// A task and the worker on which it is to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// The task.
    pub task: TaskRef,
    /// The worker.
    pub worker: WorkerKey,
}

/// Decides which waiting task starts next and on which worker.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) limits: Limits,
    pub(super) policy: Box<dyn Placement>,
    pub(super) rng: ChaCha8Rng,
    pub(super) queues: Queues,
    pub(super) jobs: SlotMap<JobHandle, Job>,
    pub(super) job_keys: DeterministicMap<JobKey, JobHandle>,
    pub(super) next_seq: u64,
    /// Expiry index: jobs without a started task, by expiry time.
    pub(super) unstarted: BTreeSet<(Duration, JobHandle)>,
    pub(super) workers: SlotMap<WorkerKey, Worker>,
    pub(super) credit_index: CreditIndex,
    /// Unused credits granted by all workers.
    pub(super) unused_credits: u32,
    /// Slots of all workers.
    pub(super) slots: u32,
    pub(super) outliers: OutlierDetector,
    /// Speed and health of disconnected workers, by name.
    pub(super) past_workers: DeterministicMap<SmolStr, (SpeedEstimate, Health)>,
    pub(super) demand: DemandAnnouncer,
}

impl Dispatcher {
    /// Creates a dispatcher without workers, classes and jobs. Equal seeds and inputs give equal
    /// decisions.
    #[must_use]
    pub fn new(seed: u64, policy: Box<dyn Placement>, limits: Limits) -> Self {
        Self {
            limits,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queues: Queues::new(),
            jobs: SlotMap::with_key(),
            job_keys: DeterministicMap::default(),
            next_seq: 0,
            unstarted: BTreeSet::new(),
            workers: SlotMap::with_key(),
            credit_index: CreditIndex::default(),
            unused_credits: 0,
            slots: 0,
            outliers: OutlierDetector::default(),
            past_workers: DeterministicMap::default(),
            demand: DemandAnnouncer::default(),
        }
    }

    /// Number of waiting tasks.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.queues.waiting
    }

    /// Number of running tasks.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.queues.running
    }

    /// Slots that this process uses or holds a credit for; at least 1.
    pub(super) fn usable_slots(&self) -> u32 {
        self.queues
            .running
            .saturating_add(self.unused_credits)
            .max(1)
    }
}
