//! The state machine of an agent. `starts` has the transitions of orders and starts, `lists` those
//! of the worker's lists.

use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;

use super::calls::{Call, Calls, Purpose};
use super::io::{Action, Heartbeat, Input, Settings};
use super::kept::{Claims, Kept};
use super::metrics::Metrics;
use super::owners::Owners;
use super::runs::{Run, Runs, Stage, StopCause, report};
use super::worker::Worker;
use crate::clock::Now;
use crate::event::Event;
use crate::ids::Instance;
use crate::job::{Resources, RunId};
use crate::peer::LinkKey;

/// Longest time of a hold. An end whose report is lost with an answer is noticed by the next one.
const HOLD_WAIT: Duration = Duration::from_millis(60);

/// Shortest time after which the answer to a hold is taken for lost.
const HOLD_LIMIT: Duration = Duration::from_millis(85);

/// Ends that a worker may keep before it gets no further work: of more than 500 it would not list
/// the latest.
const MOST_KEPT: u64 = 350;

/// Pause between two holds while the worker keeps ends, which it lists at once each time.
const KEPT_PAUSE: Duration = Duration::from_millis(5);

/// Shortest and longest pause before a hold that got no answer is repeated.
const HOLD_PAUSE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));

/// Decisions of an agent.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) worker: Worker,
    /// What entry processes are told of the worker's lifetime.
    profile: wire::WorkerProfile,
    pub(super) runs: Runs,
    pub(super) owners: Owners,
    pub(super) calls: Calls,
    pub(super) metrics: Metrics,
    /// Ends of runs whose owner is not known, with the time when they were taken.
    pub(super) orphans: Vec<(wire::RunReport, Duration)>,
    pub(super) kept: Kept,
    pub(super) claims: Claims,
    /// Stops that are to be sent (again).
    pub(super) stops: Vec<RunId>,
    /// Whether starts are unclear and a probe is needed.
    pub(super) probe: bool,
    /// No hold is made before this time.
    pub(super) hold_after: Duration,
    /// Pause after the next hold without an answer.
    hold_pause: Duration,
    /// Whether the worker has said that it left; the next one announces itself.
    left: bool,
    pub(super) listed_at: Option<Duration>,
    stopping: Option<Duration>,
    exited: bool,
    swept: Duration,
}

impl Machine {
    /// Decisions of an agent that starts now.
    #[must_use]
    pub fn new(now: Now, settings: Settings, metrics: Metrics, out: &mut Vec<Action>) -> Self {
        if let Some(address) = settings.worker.clone() {
            out.push(Action::UseWorker {
                address,
                instance: "".into(),
            });
        }
        Self {
            settings,
            worker: Worker::new(now.mono, now.wall_ms),
            profile: wire::WorkerProfile::default(),
            runs: Runs::default(),
            owners: Owners::default(),
            calls: Calls::default(),
            metrics,
            orphans: Vec::new(),
            kept: Kept::default(),
            claims: Claims::default(),
            stops: Vec::new(),
            probe: false,
            hold_after: Duration::ZERO,
            hold_pause: HOLD_PAUSE.0,
            left: false,
            listed_at: None,
            stopping: None,
            exited: false,
            swept: Duration::ZERO,
        }
    }

    /// Takes one input and appends the actions that follow from it, in order.
    pub fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Heartbeat(beat) => self.take_heartbeat(now, beat, out),
            Input::Left(instance) => self.take_left(now, &instance, out),
            Input::LinkUp {
                link,
                peer,
                entries,
            } => {
                for earlier in self.owners.link_up(now.mono, link, &peer) {
                    self.stop_runs_of(now, earlier);
                }
                let orphans = self.orphans.iter().map(|(orphan, _)| orphan);
                for report in orphans.chain(self.kept.iter()) {
                    self.owners.report(peer.instance, report.clone());
                }
                for (_, address) in entries {
                    out.push(Action::Connect(address));
                }
            }
            Input::LinkDown(link) => self.owners.link_down(link),
            Input::Frame(link, body) => self.take_frame(now, link, body, out),
            Input::Started {
                call,
                outcome,
                clock_ms,
            } => self.take_started(now, call, outcome, clock_ms, out),
            Input::Stopped {
                call,
                outcome,
                clock_ms,
            } => self.take_stopped(now, call, &outcome, clock_ms, out),
            Input::Held {
                call,
                outcome,
                clock_ms,
            } => self.take_held(now, call, outcome, clock_ms, out),
            Input::Found(addresses) => {
                out.extend(addresses.into_iter().map(Action::Connect));
            }
            Input::Stop => self.take_stop(now, out),
            Input::Tick => {}
        }
    }

    /// Ends a turn: called once after the inputs that were ready together.
    pub fn flush(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.mono.saturating_sub(self.swept) >= Duration::from_millis(15) {
            self.swept = now.mono;
            self.sweep(now, out);
        }
        self.start_waiting(now, out);
        self.send_calls(now, out);
        self.send_reports(now, out);
        self.try_exit(now, out);
    }

    /// Whether a run is open, so that time matters more.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.runs.is_empty() || self.probe || !self.worker.listed
    }

    fn take_heartbeat(&mut self, now: Now, beat: Heartbeat, out: &mut Vec<Action>) {
        if self.worker.is_stale(&beat) {
            return;
        }
        let same = self.worker.born == Some(beat.born);
        let first = self
            .worker
            .beat
            .as_ref()
            .is_none_or(|last| last.born != beat.born);
        self.left = false;
        if self.worker.is_asked() {
            // It is there again.
            self.resume_holds(now);
        }
        if !same {
            self.lose_worker(now, Some(beat.born), "a new lifetime of the worker", out);
        }
        if first {
            out.push(Action::UseWorker {
                address: beat.address.clone(),
                instance: beat.instance.clone(),
            });
            let fields = vec![
                ("worker", beat.instance.to_string()),
                ("service", beat.service.to_string()),
                ("cpu", beat.capacity.cpu.to_string()),
                ("labels", beat.labels.join(",")),
            ];
            log(out, 401, "worker announced", false, fields);
        }
        if beat.draining && !self.worker.leaving {
            self.worker.leaving = true;
            let fields = vec![("worker", beat.instance.to_string())];
            log(out, 402, "worker is leaving", false, fields);
            self.decline_waiting(now);
        }
        self.profile = wire::WorkerProfile {
            instance: beat.instance.to_string(),
            service: beat.service.to_string(),
            labels: beat.labels.iter().map(ToString::to_string).collect(),
            capacity: Some(beat.capacity.into()),
        };
        self.worker.beat = Some(beat);
    }

    fn take_left(&mut self, now: Now, instance: &str, out: &mut Vec<Action>) {
        if self.worker.instance() == instance {
            self.lose_worker(now, None, "the worker has left", out);
            self.worker.leaving = true;
            self.left = true;
        }
    }

    /// Everything on the worker has ended, and another lifetime may begin.
    pub(super) fn lose_worker(
        &mut self,
        now: Now,
        born: Option<u64>,
        cause: &'static str,
        out: &mut Vec<Action>,
    ) {
        self.worker.begin_life(now.mono, born);
        self.calls.begin_life();
        self.probe = false;
        self.stops.clear();
        self.kept.clear();
        self.listed_at = None;
        self.resume_holds(now);
        self.lose_runs(now, cause, out);
    }

    /// Closes all runs that may have been on the worker.
    pub(super) fn lose_runs(&mut self, now: Now, cause: &'static str, out: &mut Vec<Action>) {
        let lost = self.runs.iter().filter(|(_, run)| run.takes_room());
        let lost: Vec<RunId> = lost.map(|(id, _)| id.clone()).collect();
        if lost.is_empty() {
            return;
        }
        let fields = vec![
            ("runs", lost.len().to_string()),
            ("cause", cause.to_owned()),
        ];
        log(out, 403, "runs lost with their worker", true, fields);
        for id in lost {
            self.close(now, &id, wire::RunOutcome::Lost);
        }
        self.decline_waiting(now);
    }

    /// Ends a run for good and reports it.
    pub(super) fn close(&mut self, now: Now, id: &RunId, outcome: wire::RunOutcome) {
        let started = self.runs.get(id).and_then(|run| run.started);
        let run_time = started.map(|at| now.since(at)).unwrap_or_default();
        self.close_as(now, id, report(id, outcome, run_time));
    }

    /// Ends a run for good with this report.
    pub(super) fn close_as(&mut self, now: Now, id: &RunId, report: wire::RunReport) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let outcome = report.outcome();
        let counter = match outcome {
            wire::RunOutcome::Done => &self.metrics.done,
            wire::RunOutcome::Failed => &self.metrics.failed,
            wire::RunOutcome::Lost => &self.metrics.lost,
            wire::RunOutcome::Stopped | wire::RunOutcome::Stalled => &self.metrics.stopped,
            _ => &self.metrics.declined,
        };
        counter.inc();
        match run.owner {
            Some(owner) => self.owners.report(owner, report),
            None if report.kept => self.owners.report_all(&report),
            None => self.add_orphan(now, report),
        }
    }

    /// Reports an end whose owner is not known to everybody, also to those that connect soon.
    pub(super) fn add_orphan(&mut self, now: Now, report: wire::RunReport) {
        self.owners.report_all(&report);
        self.orphans.push((report, now.mono));
    }

    fn take_frame(&mut self, now: Now, link: LinkKey, body: Body, out: &mut Vec<Action>) {
        let Some(owner) = self.owners.behind(link) else {
            return;
        };
        match body {
            Body::RunOrders(orders) => self.take_orders(now, owner, orders, out),
            Body::OwnerBeat(beat) => {
                self.owners.take_beat(owner, beat.reports_seen);
                for entry in beat.entries {
                    out.push(Action::Connect(entry.address.into()));
                }
            }
            Body::ShardClaim(claim) => self.take_shard_claim(owner, &claim),
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

    /// Stops a run, wherever it is.
    pub(super) fn stop_run(&mut self, now: Now, id: &RunId, cause: StopCause) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        match run.stage {
            Stage::Waiting(_) => self.close(now, id, wire::RunOutcome::Unusable),
            Stage::Running(_) => {
                self.runs.update(id, |run| {
                    run.stop = Some(cause);
                    run.stage = Stage::Stopping(None);
                });
                self.stops.push(id.clone());
            }
            Stage::Starting(..) | Stage::Unclear(_) => {
                self.runs.update(id, |run| run.stop = Some(cause));
            }
            Stage::Stopping(_) => {}
        }
    }

    fn stop_runs_of(&mut self, now: Now, owner: Instance) {
        let runs = self.runs.iter().filter(|(_, run)| run.owner == Some(owner));
        for id in runs.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.stop_run(now, &id, StopCause::Owner);
        }
    }

    fn send_calls(&mut self, now: Now, out: &mut Vec<Action>) {
        for run in std::mem::take(&mut self.stops) {
            if self.runs.get(&run).is_none() {
                continue;
            }
            let call = self.call(now, Purpose::Stop(run.clone()));
            let fence = self.worker.fence;
            out.push(Action::StopRun { call, run, fence });
        }
        if self.probe && !self.calls.is_probing() && now.mono >= self.hold_after {
            self.probe = false;
            self.hold(now, Purpose::Probe, Duration::ZERO, out);
        }
        let known = self.worker.beat.is_some() || self.settings.worker.is_some();
        let has_worker = known && !self.left;
        let unread = !self.worker.listed;
        let taken = self.kept.acknowledged(self.worker.taken);
        let unacknowledged = taken > self.worker.acknowledged;
        let silent = self.worker.is_asked();
        let needed = unread || !self.runs.is_idle() || unacknowledged || silent;
        let limit = HOLD_LIMIT.max(HOLD_WAIT + self.worker.late_after());
        let overdue = now.mono.saturating_sub(limit);
        let holding = self.calls.is_holding(overdue);
        // While ends are kept, the worker answers at once.
        let paced = !self.kept.is_empty() && now.since(self.calls.last_hold()) < KEPT_PAUSE;
        if has_worker && needed && !holding && !paced && now.mono >= self.hold_after {
            let waits = !unread && !self.runs.is_idle();
            let wait = if waits { HOLD_WAIT } else { Duration::ZERO };
            self.hold(now, Purpose::Hold, wait, out);
        }
    }

    fn hold(&mut self, now: Now, purpose: Purpose, wait: Duration, out: &mut Vec<Action>) {
        let lease = self.settings.lease;
        let lease_ms = if self.runs.is_idle() {
            None
        } else {
            self.worker.lease(now.mono, lease)
        };
        let call = self.call(now, purpose);
        out.push(Action::Hold {
            call,
            lease_ms,
            fence: self.worker.fence,
            acknowledged: self.kept.acknowledged(self.worker.taken),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or_default(),
        });
    }

    /// Notes a call to the worker.
    pub(super) fn call(&mut self, now: Now, purpose: Purpose) -> super::io::CallKey {
        self.worker.ask(now.mono);
        self.calls.add(Call {
            purpose,
            life: self.worker.life,
            fence: self.worker.fence,
            made: now.mono,
            taken: self.kept.acknowledged(self.worker.taken),
        })
    }

    /// Delays the next hold after one that was not answered.
    pub(super) fn pause_holds(&mut self, now: Now) {
        self.hold_after = now.mono + self.hold_pause;
        self.hold_pause = (self.hold_pause * 2).min(HOLD_PAUSE.1);
    }

    /// Lets the next hold be made at once.
    pub(super) fn resume_holds(&mut self, now: Now) {
        self.hold_after = now.mono;
        self.hold_pause = HOLD_PAUSE.0;
    }

    fn send_reports(&mut self, now: Now, out: &mut Vec<Action>) {
        let state = self.worker_state(now);
        self.answer_claims(out);
        let runs = &self.runs;
        let list = || runs.iter().map(|(id, _)| id.into()).collect();
        let open: Option<&dyn Fn() -> Vec<wire::RunRef>> = if self.worker.listed {
            Some(&list)
        } else {
            None
        };
        let worker = (&self.profile, &state);
        self.owners.flush(now.mono, worker, open, out);
    }

    /// Room that is free for further runs.
    pub(super) fn free(&self) -> Resources {
        let beat = self.worker.beat.as_ref();
        let capacity = beat.map(|beat| beat.capacity).unwrap_or_default();
        if self.runs.has_unknown() {
            return Resources::default();
        }
        capacity.saturating_sub(self.runs.used())
    }

    /// Whether new runs are taken.
    pub(super) fn is_usable(&self, now: Now) -> bool {
        let kept = self.worker.taken - self.kept.acknowledged(self.worker.taken);
        self.stopping.is_none() && kept < MOST_KEPT && self.worker.is_usable(now.mono)
    }

    fn worker_state(&self, now: Now) -> wire::WorkerState {
        if self.worker.beat.is_none() {
            return wire::WorkerState::default();
        }
        wire::WorkerState {
            free: Some(self.free().into()),
            waiting_cpu: self.runs.waiting_cpu(),
            usable: self.is_usable(now),
        }
    }

    fn take_stop(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.stopping.is_none() {
            self.stopping = Some(now.mono);
            log(out, 408, "planned stop begins", false, Vec::new());
            self.decline_waiting(now);
        }
    }

    fn try_exit(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(since) = self.stopping else {
            return;
        };
        let done = self.runs.is_empty() || now.since(since) >= self.settings.stop_limit;
        if done && !self.exited {
            self.exited = true;
            let fields = vec![("open_runs", self.runs.iter().count().to_string())];
            log(out, 409, "planned stop complete", false, fields);
            out.push(Action::Exit);
        }
    }

    /// Adds a run.
    pub(super) fn insert(&mut self, id: RunId, run: Run) {
        self.runs.insert(id, run);
    }
}

/// Adds an event for the log.
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
