//! Orders of entry processes, and the resulting starts and stops of runs.

use std::time::Duration;

use knapweedwall_wire as wire;
use smol_str::SmolStr;

use super::io::{Action, CallKey, Refusal, StartOutcome, StartRequest, StopOutcome};
use super::machine::{Machine, log};
use super::owners::ORPHAN_LEASE_LIMIT;
use super::pending_calls::Purpose;
use super::runs::{Run, RunState, StopCause, run_report};
use crate::clock::Now;
use crate::ids::Instance;
use crate::job::{Resources, RunId, TaskId};

/// Maximum time that a task waits at the agent for free resources. Afterwards it is returned to its
/// entry process, which places it again.
const MAX_RESOURCE_WAIT: Duration = Duration::from_millis(60);

/// Time without further start requests after the worker rejected one with [`Refusal::Unhealthy`].
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(500);

impl Machine {
    pub(super) fn handle_orders(
        &mut self,
        now: Now,
        owner: Instance,
        orders: wire::RunOrders,
        out: &mut Vec<Action>,
    ) {
        self.owners.record_orders_number(owner, orders.number);
        self.owners
            .record_acknowledgement(owner, orders.reports_seen);
        for claim in orders.claims {
            let Some(run) = claim.run else {
                continue;
            };
            // An earlier owner of the shard that still knows the job claims the run when it reconnects.
            // The end of the run would then not be reported to the present owner.
            if claim.durable && self.shard_claims.is_owned_by_other(owner, &run.job) {
                continue;
            }
            let resources = claim.room.map(Resources::from);
            let held_until = self.hold_end(owner, claim.hold_ms);
            self.runs.update(&run.into(), |run| {
                run.owner = Some(owner);
                run.resources = run.resources.or(resources);
                run.durable = claim.durable;
                run.unclaimed = false;
                run.held_until = held_until;
            });
        }
        for stop in orders.stops {
            let id = RunId::from(stop);
            let known = self.runs.get(&id);
            // The owner of a durable run may have changed since the stop was sent. A run that was found
            // on the worker has none until it is claimed, and may belong to a job that nobody keeps.
            let owned_by_other = known.is_some_and(|run| match run.owner {
                Some(other) => other != owner,
                None => self.shard_claims.is_owned_by_other(owner, &id.task.job),
            });
            if !owned_by_other {
                self.stop_run(now, &id, StopCause::Owner);
            }
        }
        self.handle_settled(owner, &orders.settled, &orders.voided, out);
        for phase in orders.phases {
            self.handle_phase_order(now, owner, phase, out);
        }
    }

    fn handle_phase_order(
        &mut self,
        now: Now,
        owner: Instance,
        order: wire::PhaseOrder,
        out: &mut Vec<Action>,
    ) {
        let spec = SmolStr::from(order.spec);
        let named = order.room.map(Resources::from);
        let resources = named.unwrap_or_default();
        let slack_us = i64::from(order.slack_ms) * 1_000;
        let latest_start_us =
            i64::try_from(now.mono.as_micros()).unwrap_or(i64::MAX / 2) + slack_us;
        let latest_start =
            Duration::from_micros(u64::try_from(latest_start_us).unwrap_or_default());
        let job = SmolStr::from(order.job);
        let group = SmolStr::from(order.group);
        // The sender may not know yet that the worker is of another kind since it has restarted.
        let suitable = self.worker.has_label(&order.label);
        let durable = order.epoch > 0;
        let current_owner = !durable || self.shard_claims.accepts_order(&job, order.epoch, owner);
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
            let may_wait_for_resources = order.waits;
            let fits = named.is_some_and(|named| self.free_resources().can_fit(named));
            let admissible = may_wait_for_resources || fits;
            // The owner may have given up on an order that was delayed in transit.
            let owner_in_contact = self.owners.is_in_contact(now.mono, owner);
            let in_time = durable || self.ends_before_resubmission(owner);
            let usable =
                self.is_usable(now) && suitable && owner_in_contact && in_time && current_owner;
            if !usable || !admissible {
                self.metrics.declined.inc();
                let outcome = if usable {
                    wire::RunOutcome::NoRoom
                } else {
                    wire::RunOutcome::Unusable
                };
                self.owners
                    .queue_run_report(owner, run_report(&id, outcome, Duration::ZERO));
                continue;
            }
            let run = Run {
                owner: Some(owner),
                durable,
                unclaimed: false,
                resources: Some(resources),
                spec: spec.clone(),
                state: RunState::Waiting(now.mono + MAX_RESOURCE_WAIT),
                ordered_at: now.mono,
                started_at: None,
                latest_start,
                progress_percent: 0,
                progress_times: (now.mono, now.mono),
                stop_cause: None,
                stop_requested_at: None,
                abandoned_at: None,
                held_until: self.hold_end(owner, order.hold_ms),
                unanswered_stop: None,
                start_failed_at: None,
                listed: false,
                crash: None,
                group: group.clone(),
            };
            self.insert_run(id.clone(), run);
            if self.free_resources().can_fit(resources) && self.group_allows(&id) {
                self.start_run(now, &id, out);
            }
        }
    }

    /// Returns when a run ends that its owner limits to `hold_ms` after the last contact, where 0 means that
    /// there is no limit.
    fn hold_end(&self, owner: Instance, hold_ms: u32) -> Option<Duration> {
        let last_contact = self.owners.last_contact(owner).unwrap_or_default();
        (hold_ms > 0).then(|| last_contact + Duration::from_millis(hold_ms.into()))
    }

    /// Returns whether a run of a non-durable job that starts now would end in time if its owner had been
    /// lost after its last contact and the agent were lost now. The lease may already last longer, because
    /// of runs of other owners. The owner places a task that is declined for this again, and the order
    /// then acknowledges the report on it.
    fn ends_before_resubmission(&self, owner: Instance) -> bool {
        let last_contact = self.owners.last_contact(owner);
        last_contact.is_some_and(|at| self.worker.lease_ends_by(at + ORPHAN_LEASE_LIMIT))
    }

    /// Starts waiting tasks in order of urgency, as long as free resources suffice.
    pub(super) fn start_waiting(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.runs.has_waiting() || !self.is_usable(now) {
            return;
        }
        let waiting = self.runs.iter().filter(|(_, run)| !run.may_be_on_worker());
        let mut waiting: Vec<(Duration, RunId)> = waiting
            .map(|(id, run)| (run.latest_start, id.clone()))
            .collect();
        waiting.sort_unstable();
        for (_, id) in waiting {
            let resources = self.runs.get(&id).and_then(|run| run.resources);
            let fits = self.free_resources().can_fit(resources.unwrap_or_default());
            if !fits || !self.group_allows(&id) {
                // Smaller tasks do not overtake a larger one, or one of another group. It blocks them for at most
                // `MAX_RESOURCE_WAIT`, after which it is declined.
                return;
            }
            self.start_run(now, &id, out);
        }
    }

    fn start_run(&mut self, now: Now, id: &RunId, out: &mut Vec<Action>) {
        // The lease may have been extended since the order was accepted.
        let late = self.runs.get(id).is_some_and(|run| {
            let owner = run.owner.filter(|_| !run.durable);
            owner.is_some_and(|owner| !self.ends_before_resubmission(owner))
        });
        if late {
            return;
        }
        let lease_end = self.lease_end(now);
        let lease = self.worker.lease_deadline_ms(now.mono, lease_end);
        let (Some(lease_deadline_ms), Some(run)) = (lease, self.runs.get(id)) else {
            return;
        };
        let request = StartRequest {
            run: id.clone(),
            spec: run.spec.clone(),
        };
        let fence = self.worker.fence;
        self.runs.update(id, |run| {
            run.state = RunState::Starting(fence, now.mono);
            run.start_failed_at = None;
        });
        let call = self.record_call(now, Purpose::Start(id.clone()), Duration::ZERO);
        out.push(Action::StartRun {
            call,
            request,
            lease_deadline_ms,
            fence,
        });
    }

    pub(super) fn handle_start_completed(
        &mut self,
        now: Now,
        key: CallKey,
        outcome: StartOutcome,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let completed = self
            .pending_calls
            .complete_start(key, self.worker.generation);
        let Some((call, current)) = completed else {
            return;
        };
        let Purpose::Start(id) = call.purpose else {
            return;
        };
        if !current && matches!(outcome, StartOutcome::Started | StartOutcome::Refused(_)) {
            return;
        }
        if matches!(outcome, StartOutcome::Started | StartOutcome::Refused(_)) {
            self.worker
                .record_response(now.mono, call.made_at, clock_ms);
            self.worker.record_start_response(now.since(call.made_at));
        }
        let refused = matches!(outcome, StartOutcome::NotSent { refused: true, .. });
        if current && refused && call.made_at >= self.worker.responded_at {
            self.worker.unreachable = true;
        }
        match self.runs.get(&id).map(|run| run.state) {
            Some(RunState::Starting(fence, _) | RunState::Unconfirmed(fence))
                if fence == call.fence => {}
            _ => return,
        }
        match outcome {
            StartOutcome::Started => self.confirm_start(now, &id, call.made_at, out),
            StartOutcome::NoAnswer(cause) => {
                if current {
                    self.mark_unconfirmed(&id, &cause, out);
                }
                self.runs
                    .update(&id, |run| run.start_failed_at = Some(now.mono));
            }
            StartOutcome::Refused(refusal) => {
                self.handle_refusal(now, &id, &refusal, call.fence, out);
            }
            StartOutcome::NotSent { refused, cause } => {
                let fields = vec![
                    ("run", id.to_string()),
                    ("refused", refused.to_string()),
                    ("cause", cause.to_string()),
                ];
                log(out, 414, "start request not sent", true, fields);
                if !refused {
                    self.worker.starts_paused_until = now.mono + UNHEALTHY_PAUSE;
                }
                self.close_run(now, &id, wire::RunOutcome::Unusable);
            }
        }
    }

    /// Marks a start request as unconfirmed: the worker may have executed it, or may still do so. A
    /// higher fence prevents a later execution, and the run lists in the response to a call with that
    /// fence show whether the run was started.
    pub(super) fn mark_unconfirmed(&mut self, id: &RunId, cause: &str, out: &mut Vec<Action>) {
        let Some(RunState::Starting(fence, _)) = self.runs.get(id).map(|run| run.state) else {
            return;
        };
        self.metrics.unconfirmed.inc();
        let fields = vec![("run", id.to_string()), ("cause", cause.to_owned())];
        log(out, 410, "no response to a start request", true, fields);
        self.runs
            .update(id, |run| run.state = RunState::Unconfirmed(fence));
        if fence == self.worker.fence {
            self.worker.raise_fence();
        }
        self.probe_needed = true;
    }

    /// Resets a run to state `Waiting` when it is certain that the worker did not start it and will not
    /// do so later. Closes the run instead if it is to be stopped.
    pub(super) fn requeue(&mut self, now: Now, id: &RunId) {
        if self
            .runs
            .get(id)
            .is_some_and(|run| run.stop_cause.is_some())
        {
            return self.close_run(now, id, wire::RunOutcome::Unusable);
        }
        self.runs.update(id, |run| {
            run.state = RunState::Waiting(now.mono + MAX_RESOURCE_WAIT);
        });
    }

    /// Records that the worker started the run. `assumed_start` is an estimate of the start time, not
    /// before the order; a run that was found in the worker's list may have started earlier.
    pub(super) fn confirm_start(
        &mut self,
        now: Now,
        id: &RunId,
        assumed_start: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let (stop_cause, ordered_at) = (run.stop_cause, run.ordered_at);
        let order = run.log_fields(now.mono);
        self.metrics.started.inc();
        let mut fields = vec![
            ("run", id.to_string()),
            ("worker", self.worker.instance().to_string()),
            (
                "waited_ms",
                assumed_start
                    .saturating_sub(ordered_at)
                    .as_millis()
                    .to_string(),
            ),
        ];
        fields.extend(order);
        log(out, 411, "run started", false, fields);
        self.runs.update(id, |run| {
            run.state = RunState::Running(now.mono);
            run.started_at = Some(assumed_start);
            run.progress_percent = 0;
            run.progress_times = (now.mono, now.mono);
        });
        if let Some(cause) = stop_cause {
            self.stop_run(now, id, cause);
        }
    }

    fn handle_refusal(
        &mut self,
        now: Now,
        id: &RunId,
        refusal: &Refusal,
        fence: u64,
        out: &mut Vec<Action>,
    ) {
        if *refusal == Refusal::Fence {
            self.worker.raise_fence_above(fence);
        }
        if matches!(refusal, Refusal::Fence | Refusal::Late) {
            return self.requeue(now, id);
        }
        let outcome = match refusal {
            Refusal::OldAttempt => wire::RunOutcome::OldAttempt,
            Refusal::Invalid(_) => wire::RunOutcome::Invalid,
            Refusal::NoRoom => wire::RunOutcome::NoRoom,
            _ => wire::RunOutcome::Unusable,
        };
        if *refusal == Refusal::Unhealthy {
            self.worker.starts_paused_until = now.mono + UNHEALTHY_PAUSE;
        }
        let fields = vec![("run", id.to_string()), ("refusal", refusal.to_string())];
        log(out, 412, "worker rejected a start request", true, fields);
        self.close_run(now, id, outcome);
    }

    pub(super) fn handle_stop_completed(
        &mut self,
        now: Now,
        key: CallKey,
        outcome: &StopOutcome,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.pending_calls.complete(key, self.worker.generation) else {
            return;
        };
        let Purpose::Stop(id) = call.purpose else {
            return;
        };
        match outcome {
            StopOutcome::Accepted => {
                self.worker
                    .record_response(now.mono, call.made_at, clock_ms);
                self.runs.update(&id, |run| {
                    run.unanswered_stop = None;
                    run.state = RunState::Stopping(Some(now.mono));
                });
            }
            StopOutcome::Fence => {
                self.worker.raise_fence_above(call.fence);
                // The response to an earlier request changes nothing: a later one is on its way.
                let run = self.runs.get(&id);
                let last = run.and_then(|run| run.unanswered_stop);
                if last.is_some_and(|stop| stop.sent_at == call.made_at) {
                    self.pending_stops.push(id);
                }
            }
            StopOutcome::WrongInstance => {
                self.runs.update(&id, |run| run.unanswered_stop = None);
            }
            // `repeat_stops` repeats the request.
            StopOutcome::NoAnswer(cause) => {
                let fields = vec![("run", id.to_string()), ("cause", cause.to_string())];
                log(out, 413, "no response to a stop request", true, fields);
            }
        }
    }

    /// Declines all tasks that wait for resources.
    pub(super) fn decline_waiting(&mut self, now: Now) {
        let waiting = self.runs.iter().filter(|(_, run)| !run.may_be_on_worker());
        for id in waiting.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.close_run(now, &id, wire::RunOutcome::Unusable);
        }
    }

    /// Declines tasks that have waited longer than [`MAX_RESOURCE_WAIT`].
    pub(super) fn expire_waiting(&mut self, now: Now) {
        if !self.runs.has_waiting() {
            return;
        }
        let expired = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.state, RunState::Waiting(until) if until <= now.mono));
        for id in expired.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.close_run(now, &id, wire::RunOutcome::NoRoom);
        }
    }
}
