//! The state machine of an agent: its inputs, its turns and its messages to entry processes. Module
//! `starts` handles orders, starts and stops, `heartbeats` the descriptions of the worker, `renewals`
//! and `run_lists` its lease and its run lists, `lifetimes` its ends.

use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;

use super::crashes::CrashedRuns;
use super::durable_runs::{RetainedRuns, ShardClaims};
use super::io::{Action, Input, Settings};
use super::metrics::Metrics;
use super::owners::Owners;
use super::pending_calls::PendingCalls;
use super::registration::Registration;
use super::renewals::RENEWAL_BACKOFF;
use super::runs::{Run, RunState, Runs, StopCause, run_report};
use super::worker::Worker;
use crate::clock::Now;
use crate::event::Event;
use crate::ids::Instance;
use crate::job::{Resources, RunId};
use crate::peer::LinkKey;

/// Number of ended runs retained by the worker at which the agent declines further orders. Must be
/// below 500, the maximum number of ended runs that the worker lists: the agent does not learn of the
/// end of any run beyond those.
const MAX_RETAINED_RUNS: u64 = 350;

/// Minimum interval between checks of the timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// State machine of an agent.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) worker: Worker,
    /// Description of the worker that is sent to entry processes.
    pub(super) profile: wire::WorkerProfile,
    pub(super) runs: Runs,
    pub(super) owners: Owners,
    pub(super) pending_calls: PendingCalls,
    pub(super) metrics: Metrics,
    /// Reports on runs without a known owner, and when they were added. They are also sent to entry
    /// processes that connect within [`super::OWNER_SILENCE_TIMEOUT`].
    pub(super) unclaimed_reports: Vec<(wire::RunReport, Duration)>,
    pub(super) retained_runs: RetainedRuns,
    pub(super) crashed_runs: CrashedRuns,
    pub(super) registration: Registration,
    pub(super) shard_claims: ShardClaims,
    /// Runs for which a stop request must be sent or resent.
    pub(super) pending_stops: Vec<RunId>,
    /// Whether a probe is needed to determine the outcome of unconfirmed starts.
    pub(super) probe_needed: bool,
    /// Earliest time of the next lease renewal or probe, delayed after a failure.
    pub(super) next_renewal_at: Duration,
    /// Backoff after the next failed lease renewal.
    pub(super) renewal_backoff: Duration,
    /// Whether the worker has deregistered. The lease is not renewed until a heartbeat arrives.
    pub(super) worker_left: bool,
    /// When the worker's run lists became known.
    pub(super) lists_read_at: Option<Duration>,
    shutdown_requested_at: Option<Duration>,
    exited: bool,
    timeouts_checked_at: Duration,
}

impl Machine {
    /// Creates the state machine of an agent that starts at `now`.
    #[must_use]
    pub fn new(now: Now, settings: Settings, metrics: Metrics, out: &mut Vec<Action>) -> Self {
        out.push(Action::UseWorker {
            address: settings.worker.clone(),
            instance: "".into(),
        });
        let lease = settings.lease;
        Self {
            settings,
            worker: Worker::new(now.mono, lease, now.wall_ms),
            profile: wire::WorkerProfile::default(),
            runs: Runs::default(),
            owners: Owners::default(),
            pending_calls: PendingCalls::default(),
            metrics,
            unclaimed_reports: Vec::new(),
            retained_runs: RetainedRuns::default(),
            crashed_runs: CrashedRuns::default(),
            registration: Registration::default(),
            shard_claims: ShardClaims::default(),
            pending_stops: Vec::new(),
            probe_needed: false,
            next_renewal_at: Duration::ZERO,
            renewal_backoff: RENEWAL_BACKOFF.0,
            worker_left: false,
            lists_read_at: None,
            shutdown_requested_at: None,
            exited: false,
            timeouts_checked_at: Duration::ZERO,
        }
    }

    /// Processes an input and appends the resulting actions to `out`, in order.
    pub fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Heartbeat(heartbeat) => self.handle_heartbeat(now, heartbeat, out),
            Input::RegistrationFound(heartbeat) => self.handle_registration(now, heartbeat, out),
            Input::WorkerLeft {
                instance,
                incarnation,
            } => self.handle_worker_left(now, &instance, incarnation, out),
            Input::LinkUp {
                link,
                peer,
                entries,
            } => {
                // A connection counts as contact, but not for the time before it: an owner that was
                // silent for longer may have started the tasks of these runs elsewhere.
                self.stop_orphaned_runs(now, out);
                for previous in self
                    .owners
                    .link_up(now.mono, &self.settings.zone, link, &peer)
                {
                    self.stop_runs_of_owner(now, previous);
                }
                let unclaimed = self.unclaimed_reports.iter().map(|(report, _)| report);
                for report in unclaimed.chain(self.retained_runs.iter()) {
                    self.owners.queue_run_report(peer.instance, report.clone());
                }
                for (_, address) in entries {
                    out.push(Action::Connect(address));
                }
            }
            Input::LinkDown(link) => self.owners.link_down(link),
            Input::Frame(link, body) => self.handle_frame(now, link, body, out),
            Input::StartCompleted {
                call,
                outcome,
                clock_ms,
            } => self.handle_start_completed(now, call, outcome, clock_ms, out),
            Input::StopCompleted {
                call,
                outcome,
                clock_ms,
            } => self.handle_stop_completed(now, call, &outcome, clock_ms, out),
            Input::RenewalCompleted {
                call,
                outcome,
                clock_ms,
            } => self.handle_renewal_completed(now, call, outcome, clock_ms, out),
            Input::EntriesFound(addresses) => {
                out.extend(addresses.into_iter().map(Action::Connect));
            }
            Input::Stop => self.handle_shutdown_request(now, out),
            Input::Tick => {}
        }
    }

    /// Completes a batch of inputs; called once after all inputs that were ready have been
    /// processed.
    pub fn flush(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.mono.saturating_sub(self.timeouts_checked_at) >= TIMEOUT_CHECK_INTERVAL {
            self.timeouts_checked_at = now.mono;
            self.check_timeouts(now, out);
        }
        self.start_waiting(now, out);
        self.send_calls(now, out);
        self.send_messages(now, out);
        self.try_exit(now, out);
    }

    /// Returns whether runs are open or their state is unknown, so that ticks must be more frequent.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.runs.is_empty()
            || self.probe_needed
            || !self.worker.lists_read
            || self.worker.unreachable
    }

    /// Closes a run and reports its outcome.
    pub(super) fn close_run(&mut self, now: Now, id: &RunId, outcome: wire::RunOutcome) {
        let started = self.runs.get(id).and_then(|run| run.started_at);
        let run_time = started.map(|at| now.since(at)).unwrap_or_default();
        self.close_run_with_report(now, id, run_report(id, outcome, run_time));
    }

    /// Closes a run with the given report.
    pub(super) fn close_run_with_report(&mut self, now: Now, id: &RunId, report: wire::RunReport) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let outcome = report.outcome();
        let counter = match outcome {
            wire::RunOutcome::Done => &self.metrics.done,
            wire::RunOutcome::Failed => &self.metrics.failed,
            wire::RunOutcome::Lost | wire::RunOutcome::Crashed => &self.metrics.lost,
            wire::RunOutcome::Stopped | wire::RunOutcome::Stalled => &self.metrics.stopped,
            _ => &self.metrics.declined,
        };
        counter.inc();
        match run.owner.filter(|_| !run.unclaimed) {
            Some(owner) => self.owners.queue_run_report(owner, report),
            // If `kept` is set, `retained_runs` contains the report, and entry processes that connect
            // later receive it from there.
            None if report.kept => self.owners.queue_run_report_for_all(&report),
            None => self.add_unclaimed_report(now, report),
        }
    }

    /// Sends a report without a known owner to all entry processes, including those that connect
    /// shortly afterwards.
    pub(super) fn add_unclaimed_report(&mut self, now: Now, report: wire::RunReport) {
        self.owners.queue_run_report_for_all(&report);
        self.unclaimed_reports.push((report, now.mono));
    }

    fn handle_frame(&mut self, now: Now, link: LinkKey, body: Body, out: &mut Vec<Action>) {
        let Some(owner) = self.owners.owner_of_link(link) else {
            return;
        };
        match body {
            Body::RunOrders(orders) => self.handle_orders(now, owner, orders, out),
            Body::OwnerBeat(beat) => {
                self.owners.record_acknowledgement(owner, beat.reports_seen);
                for entry in beat.entries {
                    out.push(Action::Connect(entry.address.into()));
                }
            }
            Body::ShardClaim(claim) => self.handle_shard_claim(owner, &claim),
            Body::CancelRuns(cancel) => {
                let runs = self.runs.iter();
                let runs = runs.filter(|(id, _)| id.task.job == cancel.job.as_str());
                for id in runs.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
                    self.stop_run(now, &id, StopCause::Owner);
                }
            }
            _ => out.push(Action::Close(link, "unexpected_frame")),
        }
    }

    /// Stops a run in any state.
    pub(super) fn stop_run(&mut self, now: Now, id: &RunId, cause: StopCause) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        match run.state {
            RunState::Waiting(_) => self.close_run(now, id, wire::RunOutcome::Unusable),
            RunState::Running(_) => {
                self.runs.update(id, |run| {
                    run.request_stop(now.mono, cause);
                    run.state = RunState::Stopping(None);
                });
                self.pending_stops.push(id.clone());
            }
            RunState::Starting(..) | RunState::Unconfirmed(_) => {
                self.runs
                    .update(id, |run| run.request_stop(now.mono, cause));
            }
            // A run that is stopped for its lack of progress may also be abandoned.
            RunState::Stopping(_) => {
                self.runs
                    .update(id, |run| run.request_stop(now.mono, cause));
            }
        }
    }

    fn stop_runs_of_owner(&mut self, now: Now, owner: Instance) {
        let runs = self.runs.iter().filter(|(_, run)| run.owner == Some(owner));
        for id in runs.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.stop_run(now, &id, StopCause::Owner);
        }
    }

    fn send_messages(&mut self, now: Now, out: &mut Vec<Action>) {
        let state = self.worker_state(now);
        self.answer_shard_claims(out);
        let runs = &self.runs;
        let list_runs = || runs.iter().map(|(id, _)| id.into()).collect();
        let open: Option<&dyn Fn() -> Vec<wire::RunRef>> = if self.worker.lists_read {
            Some(&list_runs)
        } else {
            None
        };
        let worker = (&self.profile, &state);
        let with_runs = runs.owners();
        self.owners
            .send_messages(now.mono, &with_runs, worker, open, out);
    }

    /// Returns the resources available to new runs; none while the usage of a run is unknown.
    pub(super) fn free_resources(&self) -> Resources {
        let heartbeat = self.worker.heartbeat.as_ref();
        let capacity = heartbeat
            .map(|heartbeat| heartbeat.capacity)
            .unwrap_or_default();
        if self.runs.has_unknown_resources() {
            return Resources::default();
        }
        capacity.saturating_sub(self.runs.used())
    }

    /// Returns whether the agent accepts new runs.
    pub(super) fn is_usable(&self, now: Now) -> bool {
        let retained = self.worker.last_processed_number
            - self
                .retained_runs
                .acknowledgeable(self.worker.last_processed_number);
        self.shutdown_requested_at.is_none()
            && retained < MAX_RETAINED_RUNS
            && self.worker.is_usable(now.mono)
    }

    fn worker_state(&self, now: Now) -> wire::WorkerState {
        if self.worker.heartbeat.is_none() {
            return wire::WorkerState::default();
        }
        wire::WorkerState {
            free: Some(self.free_resources().into()),
            waiting_cpu: self.runs.waiting_cpu(),
            usable: self.is_usable(now),
            idle: self.runs.is_empty(),
            group: self.group().into(),
        }
    }

    fn handle_shutdown_request(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.shutdown_requested_at.is_none() {
            self.shutdown_requested_at = Some(now.mono);
            log(out, 408, "graceful shutdown started", false, Vec::new());
            self.decline_waiting(now);
        }
    }

    fn try_exit(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(since) = self.shutdown_requested_at else {
            return;
        };
        let done = self.runs.is_empty() || now.since(since) >= self.settings.stop_limit;
        if done && !self.exited {
            self.exited = true;
            let fields = vec![("open_runs", self.runs.iter().count().to_string())];
            log(out, 409, "graceful shutdown ended", false, fields);
            out.push(Action::Exit);
        }
    }

    pub(super) fn insert_run(&mut self, id: RunId, run: Run) {
        self.runs.insert(id, run);
    }
}

/// Appends a log event to `out`.
pub(super) fn log(
    out: &mut Vec<Action>,
    number: u16,
    text: &'static str,
    warning: bool,
    fields: Vec<(&'static str, String)>,
) {
    out.push(Action::Log(Event {
        number,
        text,
        warning,
        fields,
    }));
}
