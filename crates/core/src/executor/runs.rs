//! The runs that an agent knows of.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use crate::deterministic::DeterministicMap;
use crate::ids::Instance;
use crate::job::{Resources, RunId};

/// What a run is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for room at the agent until the given time.
    Waiting(Duration),
    /// The start was sent under this fence at the given time.
    Starting(u64, Duration),
    /// The start under this fence has no answer: it may be carried out now or later.
    Unclear(u64),
    /// The worker confirmed it at the given time.
    Running(Duration),
    /// A stop was sent; since the given time it is accepted.
    Stopping(Option<Duration>),
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopCause {
    /// Its owner asked for it, or is silent.
    Owner,
    /// It makes no progress.
    Stalled,
}

/// One run.
#[derive(Debug, Clone)]
pub(super) struct Run {
    /// The entry process that ordered it; none for a run found in the worker's list.
    pub(super) owner: Option<Instance>,
    /// Whether its end is kept until it is stored; found runs are taken for such.
    pub(super) durable: bool,
    /// Room that it takes; unknown for a run found in the worker's list.
    pub(super) room: Option<Resources>,
    /// What it runs; empty for a run found in the worker's list.
    pub(super) spec: SmolStr,
    pub(super) stage: Stage,
    /// Time of the order.
    pub(super) ordered: Duration,
    /// Time of the confirmed start.
    pub(super) started: Option<Duration>,
    /// Latest useful start.
    pub(super) urgent_at: Duration,
    /// Last progress seen, in percent.
    pub(super) progress: u32,
    /// When the progress changed, and when it was last seen.
    pub(super) seen: (Duration, Duration),
    /// Set when the run is to be stopped.
    pub(super) stop: Option<StopCause>,
}

impl Run {
    /// Whether it may take room on the worker.
    pub(super) fn takes_room(&self) -> bool {
        !matches!(self.stage, Stage::Waiting(_))
    }

    /// Time for which the worker's lists have shown the same progress.
    pub(super) fn unchanged(&self) -> Duration {
        self.seen.1.saturating_sub(self.seen.0)
    }
}

/// All runs that are not closed.
#[derive(Debug, Default)]
pub(super) struct Runs {
    map: DeterministicMap<RunId, Run>,
    used: Resources,
    /// Runs that take room of an unknown size.
    unknown: u32,
    waiting: u32,
}

impl Runs {
    pub(super) fn get(&self, id: &RunId) -> Option<&Run> {
        self.map.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&RunId, &Run)> {
        self.map.iter()
    }

    /// Adds a run, or replaces it.
    pub(super) fn insert(&mut self, id: RunId, run: Run) {
        self.remove(&id);
        self.count(&run, true);
        self.map.insert(id, run);
    }

    /// Changes a run.
    pub(super) fn update(&mut self, id: &RunId, change: impl FnOnce(&mut Run)) {
        let Some(mut run) = self.remove(id) else {
            return;
        };
        change(&mut run);
        self.insert(id.clone(), run);
    }

    /// Notes the progress of a run that the worker listed after `asked`.
    pub(super) fn observe(&mut self, id: &RunId, percent: u32, asked: Duration, now: Duration) {
        let Some(run) = self.map.get_mut(id) else {
            return;
        };
        if run.progress == percent {
            run.seen.1 = run.seen.1.max(asked);
        } else {
            run.progress = percent;
            run.seen = (now, now);
        }
    }

    pub(super) fn remove(&mut self, id: &RunId) -> Option<Run> {
        let run = self.map.remove(id)?;
        self.count(&run, false);
        Some(run)
    }

    /// Room that is taken, also by what is being stopped.
    pub(super) fn used(&self) -> Resources {
        self.used
    }

    /// Whether a run takes room of an unknown size.
    pub(super) fn has_unknown(&self) -> bool {
        self.unknown > 0
    }

    /// Whether anything may be running on the worker.
    pub(super) fn is_idle(&self) -> bool {
        self.map.len() == self.waiting as usize
    }

    /// Whether there is no run at all.
    pub(super) fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Whether a run waits for room.
    pub(super) fn any_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Processor that tasks wait for.
    pub(super) fn waiting_cpu(&self) -> u32 {
        if self.waiting == 0 {
            return 0;
        }
        let waiting = self.map.values().filter(|run| !run.takes_room());
        waiting
            .filter_map(|run| run.room)
            .map(|room| room.cpu)
            .sum()
    }

    fn count(&mut self, run: &Run, added: bool) {
        let slot = match run.room {
            _ if !run.takes_room() => &mut self.waiting,
            None => &mut self.unknown,
            Some(room) if added => return self.used = self.used.saturating_add(room),
            Some(room) => return self.used = self.used.saturating_sub(room),
        };
        *slot = if added { *slot + 1 } else { *slot - 1 };
    }
}

/// A report on a run that is closed.
pub(super) fn report(id: &RunId, outcome: wire::RunOutcome, run_time: Duration) -> wire::RunReport {
    wire::RunReport {
        run: Some(id.into()),
        outcome: outcome.into(),
        run_ms: u32::try_from(run_time.as_millis()).unwrap_or(u32::MAX),
        kept: false,
    }
}
