//! Faults and when they begin, drawn from a seed.

use std::time::Duration;

use clap::ValueEnum;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::restarts::{self, Restart};
use crate::site::Outage;

/// Mean time between the beginnings of two faults or series of faults.
const MEAN_GAP_MS: u64 = 900;

/// Bounds of the time that a fault lasts, in milliseconds.
const SPAN_MS: (u64, u64) = (100, 3_500);

/// One of how many faults comes as a series.
const SERIES: u32 = 4;

/// Bounds of the pause between the faults of a series, in milliseconds.
const SERIES_GAP_MS: (u64, u64) = (50, 1_500);

/// One of how many other faults is played beside restarts.
const BESIDE_RESTARTS: usize = 3;

/// One of how many other faults, and of how many restarts of workers, is played beside callers that
/// abandon connections: few enough that most jobs are at work for their whole time.
const BESIDE_CALLERS: usize = 2;
const RESTARTS_BESIDE_CALLERS: usize = 6;

/// Mean time between the beginnings of two faults of callers' connections.
const CHANNEL_GAP_MS: u64 = 1_500;

/// A process: an entry process or an agent, by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// An entry process.
    Entry(usize),
    /// An agent.
    Agent(usize),
}

/// Something that disturbs the system.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A process is killed and started again.
    Kill(Target),
    /// All processes are killed and started again.
    KillAll,
    /// All entry processes are killed and started again.
    KillEntries,
    /// A process is asked to stop and started again.
    Stop(Target),
    /// A process is paused.
    Pause(Target),
    /// A process is told to read its settings again.
    Reload(Target),
    /// An entry process is cut off from all others, in one direction or both.
    CutLinks {
        /// Position of the entry process.
        entry: usize,
        /// Bytes to it are held.
        forward: bool,
        /// Bytes from it are held.
        backward: bool,
    },
    /// The links to an entry process are slow.
    SlowLinks(usize),
    /// The links to an entry process are reset.
    ResetLinks(usize),
    /// The present links to an entry process carry nothing any more; new ones do.
    SilenceLinks(usize),
    /// A process is cut off from the store.
    CutStore(Target),
    /// A process's connections to the store are reset.
    ResetStore(Target),
    /// The store fails as a whole.
    StoreOutage(Outage),
    /// The store is slow.
    StoreSlow,
    /// The store's answers to writes are lost; writes take effect at once or late.
    StoreLost,
    /// The store forgets its history.
    StoreForgets,
    /// A worker crashes and is dark for a while; it comes back with its id or another.
    WorkerCrash {
        /// Position.
        worker: usize,
        /// Whether it keeps its id.
        keep_id: bool,
    },
    /// A worker's process ends; it starts again with its id.
    WorkerRestarts(Restart),
    /// Everything fails that a worker starts.
    WorkerFails(usize),
    /// Nothing ends that a worker starts.
    WorkerHangs(usize),
    /// A worker is slow.
    WorkerSlow(usize),
    /// A worker declines starts.
    WorkerSheds(usize),
    /// A worker leaves a share of its orders unanswered and carries them out later.
    WorkerLate(usize),
    /// A worker says that it leaves, leaves, and is replaced.
    WorkerLeaves(usize),
    /// The configuration changes.
    Configure,
    /// The load is three times the usual one.
    Burst,
    /// The connections of callers to an entry process are harmed.
    Callers(usize, Harm),
}

/// What happens to connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// They break for the callers; for the process they stay open and silent.
    Abandoned,
    /// They are reset on both sides.
    Reset,
    /// They are slow.
    Slow,
    /// Bytes to the process are held.
    CutForward,
    /// Bytes to the callers are held.
    CutBackward,
}

impl Fault {
    /// Whether it is planned work of operators, in which no request may be cut off.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_) | Self::Reload(_) | Self::Configure | Self::WorkerLeaves(_)
        )
    }
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Begin, from the start of the faults.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// What it is.
    pub fault: Fault,
}

/// Which faults a plan holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, ValueEnum)]
pub enum Mix {
    /// All but [`Fault::WorkerRestarts`].
    #[default]
    All,
    /// Restarts of workers, beside a part of the others.
    Restarts,
    /// Callers whose connections break, also without the process noticing, and that submit their jobs
    /// again at other processes while long tasks are at work; beside a part of all others.
    Callers,
}

/// All faults of a soak, in the order of their begin.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The steps.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws faults of a mix that begin within `length`.
    #[must_use]
    pub fn draw_mix(mix: Mix, seed: u64, counts: (usize, usize), length: Duration) -> Self {
        let (entries, workers) = counts;
        let mut plan = Self::draw(seed, entries, workers, length);
        let mut channels = Vec::new();
        let (beside, among) = match mix {
            Mix::All => return plan,
            Mix::Restarts => (BESIDE_RESTARTS, 1),
            Mix::Callers => (BESIDE_CALLERS, RESTARTS_BESIDE_CALLERS),
        };
        if mix == Mix::Callers {
            channels = draw_channels(seed, entries, length);
        }
        let others = plan.steps.into_iter().step_by(beside);
        let restarts = restarts::draw(seed, workers, length).into_iter();
        let others = others.chain(restarts.step_by(among));
        plan.steps = others.chain(channels).collect();
        plan.steps.sort_by_key(|step| step.at);
        plan
    }

    /// Draws faults that begin within `length`.
    #[must_use]
    pub fn draw(seed: u64, entries: usize, workers: usize, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.random_range(0..2 * MEAN_GAP_MS));
            if at >= length {
                break;
            }
            let fault = draw_fault(&mut rng, entries, workers);
            let repeats = if rng.random_ratio(1, SERIES) { 3 } else { 1 };
            let mut begin = at;
            for _ in 0..repeats {
                let span = rng.random_range(SPAN_MS.0..SPAN_MS.1);
                steps.push(Step {
                    at: begin,
                    span: Duration::from_millis(span),
                    fault,
                });
                let gap = rng.random_range(SERIES_GAP_MS.0..SERIES_GAP_MS.1);
                begin += Duration::from_millis(gap);
            }
        }
        steps.sort_by_key(|step| step.at);
        Self { steps }
    }
}

/// Draws harm to the connections of callers that begins within `length`.
fn draw_channels(seed: u64, entries: usize, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(0..2 * CHANNEL_GAP_MS));
        if at >= length {
            return steps;
        }
        let harm = match rng.random_range(0..6) {
            0 | 1 => Harm::Abandoned,
            2 => Harm::Reset,
            3 => Harm::Slow,
            4 => Harm::CutForward,
            _ => Harm::CutBackward,
        };
        let entry = rng.random_range(0..entries);
        let span = rng.random_range(SPAN_MS.0..SPAN_MS.1);
        steps.push(Step {
            at,
            span: Duration::from_millis(span),
            fault: Fault::Callers(entry, harm),
        });
    }
}

fn draw_fault(rng: &mut ChaCha8Rng, entries: usize, workers: usize) -> Fault {
    let entry = rng.random_range(0..entries);
    let worker = rng.random_range(0..workers);
    let target = if rng.random_ratio(1, 2) {
        Target::Entry(entry)
    } else {
        Target::Agent(worker)
    };
    let outages = [Outage::Busy, Outage::Reset, Outage::Silent];
    match rng.random_range(0..26) {
        0 | 1 => Fault::Kill(target),
        2 => Fault::KillAll,
        3 => Fault::KillEntries,
        4 | 5 => Fault::Stop(target),
        6 | 7 => Fault::Pause(target),
        8 => Fault::Reload(target),
        9 => {
            let (forward, backward) =
                [(true, true), (true, false), (false, true)][rng.random_range(0..3)];
            Fault::CutLinks {
                entry,
                forward,
                backward,
            }
        }
        10 => Fault::SlowLinks(entry),
        11 => Fault::ResetLinks(entry),
        12 => Fault::SilenceLinks(entry),
        13 => Fault::CutStore(target),
        14 => Fault::ResetStore(target),
        15 => Fault::StoreOutage(outages[rng.random_range(0..outages.len())]),
        16 => [Fault::StoreSlow, Fault::StoreLost][rng.random_range(0..2)],
        17 => Fault::StoreForgets,
        18 => Fault::WorkerCrash {
            worker,
            keep_id: rng.random_ratio(1, 2),
        },
        19 => Fault::WorkerFails(worker),
        20 => Fault::WorkerHangs(worker),
        21 => [Fault::WorkerSlow(worker), Fault::WorkerSheds(worker)][rng.random_range(0..2)],
        22 => Fault::WorkerLate(worker),
        23 => Fault::WorkerLeaves(worker),
        24 => Fault::Configure,
        _ => Fault::Burst,
    }
}
