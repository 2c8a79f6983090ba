//! Orders of entry processes, and the starts that follow from them.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use super::calls::Purpose;
use super::io::{Action, CallKey, Order, Refusal, StartOutcome, StopOutcome};
use super::machine::{Machine, log};
use super::runs::{Run, Stage, StopCause, report};
use crate::clock::Now;
use crate::ids::Instance;
use crate::job::{Resources, RunId, TaskId};

/// Longest time that a task waits for room at the agent; then its entry process places it anew.
const WAIT_LIMIT: Duration = Duration::from_millis(60);

/// Time in which a worker that refused a start as unhealthy is sent no further ones.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);

impl Machine {
    pub(super) fn take_orders(
        &mut self,
        now: Now,
        owner: Instance,
        orders: wire::RunOrders,
        out: &mut Vec<Action>,
    ) {
        self.owners.take_orders(owner, orders.number);
        for claim in orders.claims {
            let Some(run) = claim.run else {
                continue;
            };
            let room = claim.room.map(Resources::from);
            self.runs.update(&run.into(), |run| {
                run.owner = Some(owner);
                run.room = run.room.or(room);
                run.durable = claim.durable;
            });
        }
        for stop in orders.stops {
            let id = RunId::from(stop);
            let known = self.runs.get(&id);
            // A durable run may have another owner since the stop was sent.
            let foreign = known.is_some_and(|run| run.durable && run.owner != Some(owner));
            if !foreign {
                self.stop_run(now, &id, StopCause::Owner);
            }
        }
        self.take_settled(owner, &orders.settled, &orders.voided, out);
        for phase in orders.phases {
            self.take_phase(now, owner, phase, out);
        }
    }

    fn take_phase(
        &mut self,
        now: Now,
        owner: Instance,
        order: wire::PhaseOrder,
        out: &mut Vec<Action>,
    ) {
        let spec = SmolStr::from(order.spec);
        let room = order.room.map(Resources::from).unwrap_or_default();
        let slack = i64::from(order.slack_ms) * 1_000;
        let urgent_us = i64::try_from(now.mono.as_micros()).unwrap_or(i64::MAX / 2) + slack;
        let urgent_at = Duration::from_micros(u64::try_from(urgent_us).unwrap_or_default());
        let job = SmolStr::from(order.job);
        let durable = order.epoch > 0;
        let current = !durable || self.claims.admits(&job, order.epoch, owner);
        for task in order.tasks {
            self.metrics.ordered.inc();
            let id = RunId {
                task: TaskId {
                    job: job.clone(),
                    phase: order.phase,
                    index: task.index,
                },
                attempt: task.attempt,
            };
            let waits = order.waits || (room.cpu > 0 && self.free().can_fit(room));
            // An order that was long on its way may have been given up by its owner.
            let heard = self.owners.in_contact(now.mono, owner);
            let usable = self.is_usable(now) && heard && current;
            if !usable || !waits {
                self.metrics.declined.inc();
                let outcome = if usable {
                    wire::RunOutcome::NoRoom
                } else {
                    wire::RunOutcome::Unusable
                };
                self.owners
                    .report(owner, report(&id, outcome, Duration::ZERO));
                continue;
            }
            let run = Run {
                owner: Some(owner),
                durable,
                room: Some(room),
                spec: spec.clone(),
                stage: Stage::Waiting(now.mono + WAIT_LIMIT),
                ordered: now.mono,
                started: None,
                urgent_at,
                progress: 0,
                seen: (now.mono, now.mono),
                stop: None,
            };
            self.insert(id.clone(), run);
            if self.free().can_fit(room) {
                self.start(now, &id, out);
            }
        }
    }

    /// Starts tasks that wait, the most urgent first, as far as there is room.
    pub(super) fn start_waiting(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.runs.any_waiting() || !self.is_usable(now) {
            return;
        }
        let waiting = self.runs.iter().filter(|(_, run)| !run.takes_room());
        let mut waiting: Vec<(Duration, RunId)> = waiting
            .map(|(id, run)| (run.urgent_at, id.clone()))
            .collect();
        waiting.sort_unstable();
        for (_, id) in waiting {
            let room = self.runs.get(&id).and_then(|run| run.room);
            if !self.free().can_fit(room.unwrap_or_default()) {
                // A wide task is not overtaken by narrow ones for longer than it may wait.
                return;
            }
            self.start(now, &id, out);
        }
    }

    fn start(&mut self, now: Now, id: &RunId, out: &mut Vec<Action>) {
        let lease = self.worker.lease(now.mono, self.settings.lease);
        let (Some(lease_ms), Some(run)) = (lease, self.runs.get(id)) else {
            return;
        };
        let order = Order {
            run: id.clone(),
            spec: run.spec.clone(),
        };
        let fence = self.worker.fence;
        self.runs
            .update(id, |run| run.stage = Stage::Starting(fence, now.mono));
        let call = self.call(now, Purpose::Start(id.clone()));
        out.push(Action::StartRun {
            call,
            order,
            lease_ms,
            fence,
        });
    }

    pub(super) fn take_started(
        &mut self,
        now: Now,
        key: CallKey,
        outcome: StartOutcome,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.take(key, self.worker.life) else {
            return;
        };
        let Purpose::Start(id) = call.purpose else {
            return;
        };
        if !matches!(outcome, StartOutcome::NoAnswer(_)) {
            self.worker.answered(now.mono, clock_ms);
            self.worker.observe_answer(now.since(call.made));
        }
        match self.runs.get(&id).map(|run| run.stage) {
            Some(Stage::Starting(fence, _) | Stage::Unclear(fence)) if fence == call.fence => {}
            _ => return,
        }
        match outcome {
            StartOutcome::Started => self.confirm(now, &id, call.made, out),
            StartOutcome::NoAnswer(cause) => self.doubt(&id, &cause, out),
            StartOutcome::Refused(refusal) => {
                self.take_refusal(now, &id, &refusal, call.fence, out);
            }
        }
    }

    /// Notes that a start may be carried out now, later or never. A higher fence bars it from
    /// being carried out later, and the lists of a call under that fence tell what became of it.
    pub(super) fn doubt(&mut self, id: &RunId, cause: &str, out: &mut Vec<Action>) {
        let Some(Stage::Starting(fence, _)) = self.runs.get(id).map(|run| run.stage) else {
            return;
        };
        self.metrics.unclear.inc();
        let fields = vec![("run", id.to_string()), ("cause", cause.to_owned())];
        log(out, 410, "start without an answer", true, fields);
        self.runs
            .update(id, |run| run.stage = Stage::Unclear(fence));
        if fence == self.worker.fence {
            self.worker.raise_fence();
        }
        self.probe = true;
    }

    /// A start is known not to have been carried out: the task is started anew, if it still may.
    pub(super) fn start_again(&mut self, now: Now, id: &RunId) {
        if self.runs.get(id).is_some_and(|run| run.stop.is_some()) {
            return self.close(now, id, wire::RunOutcome::Unusable);
        }
        self.runs.update(id, |run| {
            run.stage = Stage::Waiting(now.mono + WAIT_LIMIT);
        });
    }

    /// The run is on the worker. It started between `made` and now.
    pub(super) fn confirm(&mut self, now: Now, id: &RunId, made: Duration, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let (stop, ordered) = (run.stop, run.ordered);
        self.metrics.started.inc();
        let fields = vec![
            ("run", id.to_string()),
            ("worker", self.worker.instance().to_string()),
            (
                "waited_ms",
                made.saturating_sub(ordered).as_millis().to_string(),
            ),
        ];
        log(out, 411, "run started", false, fields);
        self.runs.update(id, |run| {
            run.stage = Stage::Running(now.mono);
            run.started = Some(made);
            run.progress = 0;
            run.seen = (now.mono, now.mono);
        });
        if let Some(cause) = stop {
            self.runs.update(id, |run| run.stop = None);
            self.stop_run(now, id, cause);
        }
    }

    fn take_refusal(
        &mut self,
        now: Now,
        id: &RunId,
        refusal: &Refusal,
        fence: u64,
        out: &mut Vec<Action>,
    ) {
        if *refusal == Refusal::Fence {
            self.worker.pass_fence(fence);
        }
        if matches!(refusal, Refusal::Fence | Refusal::Late) {
            return self.start_again(now, id);
        }
        let outcome = match refusal {
            Refusal::OldAttempt => wire::RunOutcome::OldAttempt,
            Refusal::Invalid(_) => wire::RunOutcome::Invalid,
            Refusal::NoRoom => wire::RunOutcome::NoRoom,
            _ => wire::RunOutcome::Unusable,
        };
        if *refusal == Refusal::Unhealthy {
            self.worker.refusing_until = now.mono + REFUSAL_PAUSE;
        }
        let fields = vec![("run", id.to_string()), ("refusal", format!("{refusal:?}"))];
        log(out, 412, "worker refused a start", true, fields);
        self.close(now, id, outcome);
    }

    pub(super) fn take_stopped(
        &mut self,
        now: Now,
        key: CallKey,
        outcome: &StopOutcome,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.take(key, self.worker.life) else {
            return;
        };
        let Purpose::Stop(id) = call.purpose else {
            return;
        };
        match outcome {
            StopOutcome::Accepted => {
                self.worker.answered(now.mono, clock_ms);
                self.runs.update(&id, |run| {
                    run.stage = Stage::Stopping(Some(now.mono));
                });
            }
            StopOutcome::Fence => {
                self.worker.pass_fence(call.fence);
                self.stops.push(id);
            }
            StopOutcome::OtherLife => {}
            StopOutcome::NoAnswer(cause) => {
                let fields = vec![("run", id.to_string()), ("cause", cause.to_string())];
                log(out, 413, "stop without an answer", true, fields);
                self.stops.push(id);
            }
        }
    }

    /// Declines all tasks that wait for room.
    pub(super) fn decline_waiting(&mut self, now: Now) {
        let waiting = self.runs.iter().filter(|(_, run)| !run.takes_room());
        for id in waiting.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.close(now, &id, wire::RunOutcome::Unusable);
        }
    }

    /// Declines tasks that have waited too long.
    pub(super) fn expire_waiting(&mut self, now: Now) {
        if !self.runs.any_waiting() {
            return;
        }
        let expired = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.stage, Stage::Waiting(until) if until <= now.mono));
        for id in expired.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.close(now, &id, wire::RunOutcome::NoRoom);
        }
    }
}
