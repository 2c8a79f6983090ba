//! The runs that an agent knows of.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use crate::deterministic::DeterministicMap;
use crate::ids::Instance;
use crate::job::{Resources, RunId};

/// What a run is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// It waits for room at the agent until the given time.
    Waiting(Duration),
    /// The start was sent under this fence at the given time.
    Starting(u64, Duration),
    /// The start under this fence has no answer: it may be carried out now or later.
    Unconfirmed(u64),
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
    pub(super) resources: Option<Resources>,
    /// What it runs; empty for a run found in the worker's list.
    pub(super) spec: SmolStr,
    pub(super) state: RunState,
    /// Time of the order.
    pub(super) ordered_at: Duration,
    /// Time of the confirmed start.
    pub(super) started_at: Option<Duration>,
    /// Latest useful start.
    pub(super) latest_start: Duration,
    /// Last progress seen, in percent.
    pub(super) progress_percent: u32,
    /// When the progress changed, and when it was last seen.
    pub(super) progress_times: (Duration, Duration),
    /// Set when the run is to be stopped.
    pub(super) stop_cause: Option<StopCause>,
}

impl Run {
    /// Whether it may take room on the worker.
    pub(super) fn may_be_on_worker(&self) -> bool {
        !matches!(self.state, RunState::Waiting(_))
    }

    /// Time for which the worker's lists have shown the same progress.
    pub(super) fn unchanged_for(&self) -> Duration {
        self.progress_times.1.saturating_sub(self.progress_times.0)
    }
}

/// All runs that are not closed.
#[derive(Debug, Default)]
pub(super) struct Runs {
    map: DeterministicMap<RunId, Run>,
    used: Resources,
    /// Runs that take room of an unknown size.
    unknown_count: u32,
    waiting_count: u32,
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
        self.update_totals(&run, true);
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
    pub(super) fn record_progress(
        &mut self,
        id: &RunId,
        percent: u32,
        requested_at: Duration,
        now: Duration,
    ) {
        let Some(run) = self.map.get_mut(id) else {
            return;
        };
        if run.progress_percent == percent {
            run.progress_times.1 = run.progress_times.1.max(requested_at);
        } else {
            run.progress_percent = percent;
            run.progress_times = (now, now);
        }
    }

    pub(super) fn remove(&mut self, id: &RunId) -> Option<Run> {
        let run = self.map.remove(id)?;
        self.update_totals(&run, false);
        Some(run)
    }

    /// Room that is taken, also by what is being stopped.
    pub(super) fn used(&self) -> Resources {
        self.used
    }

    /// Whether a run takes room of an unknown size.
    pub(super) fn has_unknown_resources(&self) -> bool {
        self.unknown_count > 0
    }

    /// Whether anything may be running on the worker.
    pub(super) fn is_idle(&self) -> bool {
        self.map.len() == self.waiting_count as usize
    }

    /// Whether there is no run at all.
    pub(super) fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Whether a run waits for room.
    pub(super) fn has_waiting(&self) -> bool {
        self.waiting_count > 0
    }

    /// Processor that tasks wait for.
    pub(super) fn waiting_cpu(&self) -> u32 {
        if self.waiting_count == 0 {
            return 0;
        }
        let waiting = self.map.values().filter(|run| !run.may_be_on_worker());
        waiting
            .filter_map(|run| run.resources)
            .map(|resources| resources.cpu)
            .sum()
    }

    fn update_totals(&mut self, run: &Run, added: bool) {
        let counter = match run.resources {
            _ if !run.may_be_on_worker() => &mut self.waiting_count,
            None => &mut self.unknown_count,
            Some(resources) if added => return self.used = self.used.saturating_add(resources),
            Some(resources) => return self.used = self.used.saturating_sub(resources),
        };
        *counter = if added { *counter + 1 } else { *counter - 1 };
    }
}

/// A report on a run that is closed.
pub(super) fn run_report(
    id: &RunId,
    outcome: wire::RunOutcome,
    run_time: Duration,
) -> wire::RunReport {
    wire::RunReport {
        run: Some(id.into()),
        outcome: outcome.into(),
        run_ms: u32::try_from(run_time.as_millis()).unwrap_or(u32::MAX),
        kept: false,
    }
}
