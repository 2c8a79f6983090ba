//! The open runs of an agent: those that it accepted or found on the worker, and has not yet closed.
//! They include runs that still wait to be started.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::ids::Instance;
use crate::job::{Resources, RunId};

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// Waiting at the agent for free resources, until the given time.
    Waiting(Duration),
    /// The start request was sent, with this fence and at this time.
    Starting(u64, Duration),
    /// The start request with this fence got no response. The worker may have started the run, or may
    /// still start it.
    Unconfirmed(u64),
    /// The worker confirmed the start at the given time.
    Running(Duration),
    /// A stop was requested. The worker accepted it at the given time, if any.
    Stopping(Option<Duration>),
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopCause {
    /// The owner requested it, or is unresponsive.
    Owner,
    /// The run makes no progress.
    Stalled,
}

/// A stop request without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UnansweredStop {
    /// When it was sent.
    pub(super) sent_at: Duration,
    /// Number of requests that were sent before it without a response.
    pub(super) repeats: u32,
}

/// A run.
#[derive(Debug, Clone)]
pub(super) struct Run {
    /// Entry process that ordered the run; `None` for a run found in the worker's list.
    pub(super) owner: Option<Instance>,
    /// Whether the worker keeps listing the run after its end until the owner has stored the outcome.
    /// Assumed for a run found in the worker's list.
    pub(super) durable: bool,
    /// Whether the run was found on the worker and no process that knows its job has claimed it. `owner`
    /// is then the owner of the shard to which the job belongs if it is durable.
    pub(super) unclaimed: bool,
    /// Resources of the run; `None` if unknown, for a run found in the worker's list.
    pub(super) resources: Option<Resources>,
    /// Task specification; empty for a run found in the worker's list.
    pub(super) spec: SmolStr,
    pub(super) state: RunState,
    /// When the order was received.
    pub(super) ordered_at: Duration,
    /// Start time of a confirmed run.
    pub(super) started_at: Option<Duration>,
    /// When the run is to be stopped, unless the owner extends the time; `None` if there is no limit.
    pub(super) held_until: Option<Duration>,
    /// Latest useful start time, as given by the owner. Waiting runs are started in this order.
    pub(super) latest_start: Duration,
    /// Last known progress, in percent.
    pub(super) progress_percent: u32,
    /// When the progress last changed, and when it was last read.
    pub(super) progress_times: (Duration, Duration),
    /// Why the run is to be stopped, if it is.
    pub(super) stop_cause: Option<StopCause>,
    /// When a stop was first requested, if it was.
    pub(super) stop_requested_at: Option<Duration>,
    /// When its owner first requested the stop, or was found unresponsive. From then on its task may be
    /// submitted again.
    pub(super) abandoned_at: Option<Duration>,
    /// Last stop request that has no response.
    pub(super) unanswered_stop: Option<UnansweredStop>,
    /// When the call that was to start the run ended without a valid response, if it did.
    pub(super) start_failed_at: Option<Duration>,
    /// Whether the current incarnation of the worker has listed the run.
    pub(super) listed: bool,
    /// Set when the worker has restarted and may have accepted the run before or after that. The next
    /// run lists show which: a run that they lack is counted as ended in the crash.
    pub(super) crash: Option<wire::CrashEvidence>,
    /// If not empty, the run shares the worker with runs of this group only.
    pub(super) group: SmolStr,
}

impl Run {
    /// Returns whether the run may be using resources on the worker.
    pub(super) fn may_be_on_worker(&self) -> bool {
        !matches!(self.state, RunState::Waiting(_))
    }

    /// Returns whether the worker has neither answered the start request nor listed the run.
    pub(super) fn is_unconfirmed(&self) -> bool {
        matches!(
            self.state,
            RunState::Starting(..) | RunState::Unconfirmed(_)
        )
    }

    /// Records that a stop is requested. The first cause stands.
    pub(super) fn request_stop(&mut self, now: Duration, cause: StopCause) {
        self.stop_cause = self.stop_cause.or(Some(cause));
        self.stop_requested_at = self.stop_requested_at.or(Some(now));
        if cause == StopCause::Owner {
            self.abandoned_at = self.abandoned_at.or(Some(now));
        }
    }

    /// Records that a stop request is sent.
    pub(super) fn record_stop_sent(&mut self, now: Duration) {
        let repeats = self.unanswered_stop.map_or(0, |stop| stop.repeats + 1);
        self.unanswered_stop = Some(UnansweredStop {
            sent_at: now,
            repeats,
        });
    }

    /// Returns the fields by which the log names the order of the run. `now` is the current time.
    pub(super) fn log_fields(&self, now: Duration) -> Vec<(&'static str, String)> {
        let owner = self.owner.map(|owner| owner.to_string());
        let order_age = now.saturating_sub(self.ordered_at);
        vec![
            ("owner", owner.unwrap_or_default()),
            ("durable", self.durable.to_string()),
            ("order_ms", order_age.as_millis().to_string()),
        ]
    }

    /// Returns the fields by which the log tells whether a stop was requested, and for how long before
    /// `now`.
    pub(super) fn stop_log_fields(&self, now: Duration) -> Vec<(&'static str, String)> {
        let cause = self.stop_cause.map(|cause| format!("{cause:?}"));
        let requested_at = self.stop_requested_at;
        let age = requested_at.map(|at| now.saturating_sub(at).as_millis().to_string());
        vec![
            ("stop_cause", cause.unwrap_or_default()),
            ("stop_ms", age.unwrap_or_default()),
        ]
    }

    /// Returns for how long the worker's lists have shown the same progress.
    pub(super) fn unchanged_for(&self) -> Duration {
        self.progress_times.1.saturating_sub(self.progress_times.0)
    }
}

/// All open runs, with totals of their resources.
#[derive(Debug, Default)]
pub(super) struct Runs {
    map: DeterministicMap<RunId, Run>,
    used: Resources,
    /// Number of runs on the worker whose resources are unknown.
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

    /// Adds or replaces a run.
    pub(super) fn insert(&mut self, id: RunId, run: Run) {
        self.remove(&id);
        self.update_totals(&run, true);
        self.map.insert(id, run);
    }

    /// Updates a run, if it exists.
    pub(super) fn update(&mut self, id: &RunId, change: impl FnOnce(&mut Run)) {
        let Some(mut run) = self.remove(id) else {
            return;
        };
        change(&mut run);
        self.insert(id.clone(), run);
    }

    /// Records the progress of a run, from a list that was requested at `requested_at`.
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

    /// Returns the resources in use, including those of runs that are being stopped.
    pub(super) fn used(&self) -> Resources {
        self.used
    }

    /// Returns whether the resources of a run on the worker are unknown.
    pub(super) fn has_unknown_resources(&self) -> bool {
        self.unknown_count > 0
    }

    /// Returns whether no run can be on the worker.
    pub(super) fn is_idle(&self) -> bool {
        self.map.len() == self.waiting_count as usize
    }

    /// Returns whether there are no open runs.
    pub(super) fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Returns the owners of all open runs.
    pub(super) fn owners(&self) -> DeterministicSet<Instance> {
        self.iter().filter_map(|(_, run)| run.owner).collect()
    }

    /// Returns whether a run is waiting for resources.
    pub(super) fn has_waiting(&self) -> bool {
        self.waiting_count > 0
    }

    /// Returns the total CPU that waiting runs require, in thousandths of a core.
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

/// Creates the report on a closed run.
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
        crash: None,
    }
}
