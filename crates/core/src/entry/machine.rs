//! The state machine of an entry process.
//!
//! [`Machine`] owns all state of the process. Its transitions are grouped into modules: `submit`
//! (requests of callers), `commit` (journal and checkpoint outcomes), `tasks` (agent reports),
//! `links` (connections), `ownership`, `claims`, `release` and `takeover` (shards), and `operate`
//! (requests of operators).

use std::time::Duration;

use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::agents::Agents;
use super::checkpoint::Checkpoints;
use super::io::{Action, Input, StateMachine, StoreOpId};
use super::jobs::{Jobs, Retention};
use super::journal::Journal;
use super::links::LinkTimers;
use super::metrics::Metrics;
use super::operate::OperatorRequests;
use super::ownership::Ownership;
use super::peers::{LivenessProbe, Peers};
use super::recovery::{Reconciliation, Recovery};
use super::replies::{StartedTasks, error_reply};
use super::routing::{JobRequest, RequestRouter};
use super::settings::Settings;
use super::shards::Shards;
use super::waiters::WaiterDeadlines;
use crate::clock::Now;
use crate::config::Document;
use crate::deterministic::DeterministicMap;
use crate::dispatch::{Dispatcher, FastestFirst};
use crate::event::Event;
use crate::ids::{Instance, JobId, Shard};
use crate::peer::LinkKey;
use crate::store::{Outcome, Request};

/// Interval between runs of periodic work.
const PERIODIC_INTERVAL: Duration = Duration::from_millis(10);

/// The purpose of a store operation, used to dispatch its outcome.
#[derive(Debug, Clone)]
pub(super) enum StorePurpose {
    /// Writes a journal row.
    Journal,
    /// Reads or creates the row with the number of shards.
    ShardCount,
    /// Scans the owner rows.
    Owners,
    /// Claims these shards.
    Claim(Vec<Shard>),
    /// Releases a shard.
    Release(Shard),
    /// Reads the liveness counter of an instance.
    ReadLiveness(Instance),
    /// Writes this process's liveness counter.
    WriteLiveness,
    /// Reads the journals of former owners.
    Recovery,
    /// Performs a step of a checkpoint.
    Checkpoint,
    /// Reads the configuration row.
    Config,
    /// Performs a step of the operator request with this number.
    Operate(u64),
}

/// State machine of an entry process.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) jobs: Jobs,
    pub(super) journal: Journal,
    pub(super) agents: Agents,
    pub(super) peers: Peers,
    pub(super) shards: Shards,
    pub(super) routing: RequestRouter,
    pub(super) dispatcher: Dispatcher,
    pub(super) deadlines: WaiterDeadlines,
    pub(super) ownership: Ownership,
    pub(super) recoveries: Vec<Recovery>,
    pub(super) reconciliations: DeterministicMap<Shard, Reconciliation>,
    pub(super) liveness_probes: DeterministicMap<Instance, LivenessProbe>,
    pub(super) checkpoints: Checkpoints,
    pub(super) operator_requests: OperatorRequests,
    pub(super) link_timers: LinkTimers,
    pub(super) metrics: Metrics,
    pub(super) config: Document,
    pub(super) stop_started: Option<Duration>,
    pub(super) store_ops: DeterministicMap<StoreOpId, StorePurpose>,
    last_store_op: u64,
    ready: bool,
    exit_requested: bool,
    next_periodic: Duration,
    next_sweep: Duration,
}

impl Machine {
    /// Creates the state machine of a process that has just started.
    #[must_use]
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let retention = Retention {
            ids: settings.id_retention,
            undelivered: settings.answer_hold,
            delivered: settings.delivered_hold,
        };
        let instance = settings.instance;
        let policy = Box::new(FastestFirst);
        Self {
            jobs: Jobs::new(retention),
            journal: Journal::new(instance, f64::from(settings.write_rate)),
            agents: Agents::default(),
            peers: Peers::default(),
            shards: Shards::default(),
            routing: RequestRouter::default(),
            dispatcher: Dispatcher::new(instance.0, policy, settings.limits.clone()),
            deadlines: WaiterDeadlines::default(),
            ownership: Ownership::default(),
            recoveries: Vec::new(),
            reconciliations: DeterministicMap::default(),
            liveness_probes: DeterministicMap::default(),
            checkpoints: Checkpoints::new(instance),
            operator_requests: OperatorRequests::default(),
            link_timers: LinkTimers::default(),
            metrics,
            config: Document::default(),
            stop_started: None,
            store_ops: DeterministicMap::default(),
            last_store_op: 0,
            ready: false,
            exit_requested: false,
            next_periodic: Duration::ZERO,
            next_sweep: Duration::ZERO,
            settings,
        }
    }

    /// Returns the id of the next store operation.
    pub(super) fn next_store_op(&mut self) -> StoreOpId {
        self.last_store_op += 1;
        StoreOpId(self.last_store_op)
    }

    pub(super) fn start_store_op(
        &mut self,
        purpose: StorePurpose,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let op = self.next_store_op();
        self.store_ops.insert(op, purpose);
        out.push(Action::Store(op, request));
    }

    fn handle_store_outcome(
        &mut self,
        now: Now,
        op: StoreOpId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.store_ops.remove(&op) else {
            return;
        };
        self.ownership.record_store_outcome(now.mono, &outcome);
        match purpose {
            StorePurpose::Journal => self.handle_journal_outcome(now, op, outcome, out),
            StorePurpose::ShardCount => self.handle_shard_count(outcome, out),
            StorePurpose::Owners => self.handle_owner_rows(now, outcome, out),
            StorePurpose::Claim(shards) => self.handle_claim_outcome(now, &shards, outcome, out),
            StorePurpose::Release(shard) => self.handle_release_outcome(now, shard, outcome, out),
            StorePurpose::ReadLiveness(instance) => {
                self.handle_liveness_row(now, instance, &outcome)
            }
            StorePurpose::WriteLiveness => {}
            StorePurpose::Recovery => self.handle_recovery_outcome(now, op, &outcome, out),
            StorePurpose::Checkpoint => self.handle_checkpoint_outcome(now, op, &outcome, out),
            StorePurpose::Config => self.handle_config_row(outcome, out),
            StorePurpose::Operate(number) => {
                self.handle_operator_outcome(now, number, outcome, out)
            }
        }
    }

    fn handle_frame(&mut self, now: Now, link: LinkKey, body: Body, out: &mut Vec<Action>) {
        self.record_activity(now, link);
        match body {
            Body::Report(report) => self.handle_report(now, link, report, out),
            Body::Grant(grant) => self.add_credits(link, grant.credits),
            Body::Recall(recall) => self.handle_recall(link, recall.credits, out),
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(link, heartbeat, out),
            Body::FenceReport(report) => self.handle_fence_report(now, link, report, out),
            Body::Leaving(_) => self.handle_leaving(link),
            Body::ConfigUpdate(update) => self.handle_config_update(&update, out),
            Body::Submit(submit) => {
                let admit = Box::new(submit.admit.unwrap_or_default());
                let (id, limits) = (admit.id.clone(), (submit.wait_ms, submit.hops));
                let request = (id.as_str(), JobRequest::Submit(admit));
                self.handle_forwarded(now, (link, submit.number), request, limits, out);
            }
            Body::Query(query) => {
                let (request, limits) = (
                    (query.id.as_str(), JobRequest::Query),
                    (query.wait_ms, query.hops),
                );
                self.handle_forwarded(now, (link, query.number), request, limits, out);
            }
            Body::CancelJob(cancel) => {
                let request = (cancel.id.as_str(), JobRequest::Cancel);
                let limits = (cancel.wait_ms, cancel.hops);
                self.handle_forwarded(now, (link, cancel.number), request, limits, out);
            }
            Body::Reply(reply) => self.handle_reply(link, reply, out),
            _ => out.push(Action::Close(link, "unexpected_frame")),
        }
    }

    fn handle_stop(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.stop_started.is_some() {
            return;
        }
        self.stop_started = Some(now.mono);
        self.log(out, 103, "planned stop begins", false, Vec::new());
        self.announce_leaving(out);
    }

    /// Emits [`Action::Ready`] when readiness changes.
    fn update_readiness(&mut self, out: &mut Vec<Action>) {
        let ready = self.stop_started.is_none() && self.ownership.is_initialized();
        if ready != self.ready {
            self.ready = ready;
            out.push(Action::Ready(ready));
        }
    }

    fn exit_if_stopped(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.exit_requested || !self.should_exit(now) {
            return;
        }
        self.exit_requested = true;
        self.log(out, 104, "planned stop complete", false, Vec::new());
        out.push(Action::Exit);
    }

    fn run_periodic_work(&mut self, now: Now, out: &mut Vec<Action>) {
        self.expire_waiters(now, out);
        self.expire_submissions(now, out);
        self.retry_routes(now, out);
        self.retry_cancels(now, out);
        self.fail_expired_jobs(now, out);
        self.remove_expired_agents(now, out);
        self.run_link_timers(now, out);
        self.run_ownership(now, out);
        self.run_takeover(now, out);
        self.run_checkpoints(now, out);
        self.run_operator_requests(now, out);
        if now.mono >= self.next_sweep {
            self.next_sweep = now.mono + Duration::from_secs(1);
            self.jobs.sweep(now);
            self.set_gauges(now);
        }
        self.update_readiness(out);
        self.exit_if_stopped(now, out);
    }

    fn set_gauges(&self, now: Now) {
        let gauge_value = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let metrics = &self.metrics;
        metrics.open_jobs.set(gauge_value(self.jobs.open_count()));
        metrics.known_jobs.set(gauge_value(self.jobs.known_count()));
        metrics.journal_depth.set(gauge_value(self.journal.depth()));
        metrics.shards.set(gauge_value(self.shards.owned().len()));
        let slow = self.ownership.is_store_slow(now.mono);
        metrics.store_slow.set(i64::from(slow));
        let version = i64::try_from(self.config.version).unwrap_or(i64::MAX);
        metrics.config_version.set(version);
        metrics.set_status(&self.dispatcher.status(now));
    }

    /// Emits a log event.
    #[expect(clippy::unused_self, reason = "keeps call sites uniform")]
    pub(super) fn log(
        &self,
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

    pub(super) fn name(&self) -> SmolStr {
        self.settings.name.clone()
    }
}

impl StateMachine for Machine {
    fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Submit { call, admit, wait } => {
                let id = JobId::parse(&admit.id);
                let request = JobRequest::Submit(Box::new(admit));
                match id {
                    Ok(id) => self.handle_call(now, call, (id, request), wait, out),
                    Err(error) => {
                        let reply =
                            error_reply(400, "bad_id", &error.to_string(), StartedTasks::None);
                        out.push(Action::Reply(call, reply.status, reply.body));
                    }
                }
            }
            Input::Query { call, id, wait } => {
                self.handle_call(now, call, (id, JobRequest::Query), wait, out);
            }
            Input::Cancel { call, id, wait } => {
                self.handle_call(now, call, (id, JobRequest::Cancel), wait, out);
            }
            Input::Operate { call, operation } => self.operate(now, call, operation, out),
            // The HTTP listener discards replies to closed calls.
            Input::CallGone(_) | Input::Tick => {}
            Input::LinkUp {
                link,
                peer,
                entries,
            } => self.link_up(now, link, peer, &entries, out),
            Input::LinkDown(link) => self.link_down(now, link, out),
            Input::Frame(link, body) => self.handle_frame(now, link, body, out),
            Input::Store(op, outcome) => self.handle_store_outcome(now, op, outcome, out),
            Input::Stop => self.handle_stop(now, out),
        }
    }

    fn flush(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.mono >= self.next_periodic {
            self.next_periodic = now.mono + PERIODIC_INTERVAL;
            self.run_periodic_work(now, out);
        }
        self.write_journal(now, out);
        self.dispatch(now, out);
        self.agents.flush(out);
    }
}
