//! The state machine of an entry process.
//!
//! It owns all state of the process. Each area has a file of its own with the transitions of that
//! area: `submit` (callers), `commit` (journal), `tasks` (agents' reports), `links`, `ownership`,
//! `takeover`, `operate`.

use std::time::Duration;

use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::agents::Agents;
use super::checkpoint::Checkpoints;
use super::io::{Action, Decisions, Input, StoreKey};
use super::jobs::{Jobs, Retention};
use super::journal::Journal;
use super::links::LinkTimes;
use super::metrics::Metrics;
use super::operate::Operations;
use super::ownership::Ownership;
use super::peers::{Peers, Watch};
use super::recovery::{Inquiry, Recovery};
use super::replies::{ExecutedTasks, error_reply};
use super::routing::{Ask, Routing};
use super::settings::Settings;
use super::shards::Shards;
use super::waiters::Deadlines;
use crate::clock::Now;
use crate::config::Document;
use crate::dispatch::{Dispatcher, SpeedMatch};
use crate::event::Event;
use crate::ids::{Instance, JobId, Shard};
use crate::maps::KeyMap;
use crate::peer::LinkKey;
use crate::store::{Outcome, Request};

/// Pause between two rounds of periodic work.
const ROUND: Duration = Duration::from_millis(10);

/// Why a store operation was started.
#[derive(Debug, Clone)]
pub(super) enum Purpose {
    /// A journal write.
    Journal,
    /// Reading or writing the number of shards.
    ShardCount,
    /// Reading the rows of owners.
    Owners,
    /// Claiming these shards.
    Claim(Vec<Shard>),
    /// Releasing a shard.
    Release(Shard),
    /// Reading the liveness counter of an instance.
    Watch(Instance),
    /// Writing the own liveness counter.
    Live,
    /// Reading former owners' journals.
    Recovery,
    /// A step of a checkpoint.
    Checkpoint,
    /// Reading the configuration.
    Config,
    /// A step of an operator's request.
    Operate(u64),
}

/// Decisions of an entry process.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) jobs: Jobs,
    pub(super) journal: Journal,
    pub(super) agents: Agents,
    pub(super) peers: Peers,
    pub(super) shards: Shards,
    pub(super) routing: Routing,
    pub(super) dispatcher: Dispatcher,
    pub(super) deadlines: Deadlines,
    pub(super) ownership: Ownership,
    pub(super) recoveries: Vec<Recovery>,
    pub(super) inquiries: KeyMap<Shard, Inquiry>,
    pub(super) watches: KeyMap<Instance, Watch>,
    pub(super) checkpoints: Checkpoints,
    pub(super) operations: Operations,
    pub(super) times: LinkTimes,
    pub(super) metrics: Metrics,
    pub(super) document: Document,
    pub(super) stopping: Option<Duration>,
    pub(super) ops: KeyMap<StoreKey, Purpose>,
    op: u64,
    ready: bool,
    exited: bool,
    round: Duration,
    sweep: Duration,
}

impl Machine {
    /// Decisions of a process that has just started.
    #[must_use]
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let retention = Retention {
            ids: settings.id_retention,
            answers: settings.answer_hold,
            delivered: settings.delivered_hold,
        };
        let instance = settings.instance;
        let policy = Box::new(SpeedMatch);
        Self {
            jobs: Jobs::new(retention),
            journal: Journal::new(instance, f64::from(settings.write_rate)),
            agents: Agents::default(),
            peers: Peers::default(),
            shards: Shards::default(),
            routing: Routing::default(),
            dispatcher: Dispatcher::new(instance.0, policy, settings.limits.clone()),
            deadlines: Deadlines::default(),
            ownership: Ownership::default(),
            recoveries: Vec::new(),
            inquiries: KeyMap::default(),
            watches: KeyMap::default(),
            checkpoints: Checkpoints::new(instance),
            operations: Operations::default(),
            times: LinkTimes::default(),
            metrics,
            document: Document::default(),
            stopping: None,
            ops: KeyMap::default(),
            op: 0,
            ready: false,
            exited: false,
            round: Duration::ZERO,
            sweep: Duration::ZERO,
            settings,
        }
    }

    /// Key of the next store operation.
    pub(super) fn next_op(&mut self) -> StoreKey {
        self.op += 1;
        StoreKey(self.op)
    }

    /// Starts a store operation.
    pub(super) fn start_op(&mut self, purpose: Purpose, request: Request, out: &mut Vec<Action>) {
        let op = self.next_op();
        self.ops.insert(op, purpose);
        out.push(Action::Store(op, request));
    }

    fn take_store(&mut self, now: Now, op: StoreKey, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(purpose) = self.ops.remove(&op) else {
            return;
        };
        self.ownership.observe_store(now.mono, &outcome);
        match purpose {
            Purpose::Journal => self.take_journal(now, op, outcome, out),
            Purpose::ShardCount => self.take_shard_count(outcome, out),
            Purpose::Owners => self.take_owners(now, outcome, out),
            Purpose::Claim(shards) => self.take_claim(now, &shards, outcome, out),
            Purpose::Release(shard) => self.take_release(now, shard, outcome, out),
            Purpose::Watch(instance) => self.take_watch(now, instance, &outcome),
            Purpose::Live => {}
            Purpose::Recovery => self.take_recovery(now, op, &outcome, out),
            Purpose::Checkpoint => self.take_checkpoint(now, op, &outcome, out),
            Purpose::Config => self.take_config(outcome, out),
            Purpose::Operate(number) => self.take_operation(now, number, outcome, out),
        }
    }

    fn take_frame(&mut self, now: Now, link: LinkKey, body: Body, out: &mut Vec<Action>) {
        self.hear(now, link);
        match body {
            Body::Report(report) => self.take_report(now, link, report, out),
            Body::Grant(grant) => self.take_credits(link, grant.credits),
            Body::Recall(recall) => self.take_recall(link, recall.credits, out),
            Body::Heartbeat(heartbeat) => self.take_heartbeat(link, heartbeat, out),
            Body::FenceReport(report) => self.take_fence_report(now, link, report, out),
            Body::Leaving(_) => self.take_leaving(link),
            Body::ConfigUpdate(update) => self.take_update(&update, out),
            Body::Submit(submit) => {
                let admit = Box::new(submit.admit.unwrap_or_default());
                let (id, limits) = (admit.id.clone(), (submit.wait_ms, submit.hops));
                let asked = (id.as_str(), Ask::Submit(admit));
                self.take_passed(now, (link, submit.number), asked, limits, out);
            }
            Body::Query(query) => {
                let (asked, limits) =
                    ((query.id.as_str(), Ask::Query), (query.wait_ms, query.hops));
                self.take_passed(now, (link, query.number), asked, limits, out);
            }
            Body::CancelJob(cancel) => {
                let asked = (cancel.id.as_str(), Ask::Cancel);
                let limits = (cancel.wait_ms, cancel.hops);
                self.take_passed(now, (link, cancel.number), asked, limits, out);
            }
            Body::Reply(reply) => self.take_reply(link, reply, out),
            _ => out.push(Action::Close(link, "unexpected_frame")),
        }
    }

    fn take_stop(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(now.mono);
        self.log(out, 103, "planned stop begins", false, Vec::new());
        self.announce_leaving(out);
    }

    /// Reports readiness when it changes.
    fn update_ready(&mut self, out: &mut Vec<Action>) {
        let ready = self.stopping.is_none() && self.ownership.is_booted();
        if ready != self.ready {
            self.ready = ready;
            out.push(Action::Ready(ready));
        }
    }

    fn try_exit(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.exited || !self.is_finished(now) {
            return;
        }
        self.exited = true;
        self.log(out, 104, "planned stop complete", false, Vec::new());
        out.push(Action::Exit);
    }

    fn periodic(&mut self, now: Now, out: &mut Vec<Action>) {
        self.expire_waiters(now, out);
        self.expire_submissions(now, out);
        self.retry_routes(now, out);
        self.retry_cancels(now, out);
        self.fail_unstartable(now, out);
        self.lose_agents(now, out);
        self.run_links(now, out);
        self.run_ownership(now, out);
        self.run_takeover(now, out);
        self.run_checkpoints(now, out);
        self.run_operations(now, out);
        if now.mono >= self.sweep {
            self.sweep = now.mono + Duration::from_secs(1);
            self.jobs.sweep(now);
            self.set_gauges(now);
        }
        self.update_ready(out);
        self.try_exit(now, out);
    }

    fn set_gauges(&self, now: Now) {
        let whole = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let metrics = &self.metrics;
        metrics.open_jobs.set(whole(self.jobs.open_count()));
        metrics.known_jobs.set(whole(self.jobs.known_count()));
        metrics.journal_depth.set(whole(self.journal.depth()));
        metrics.shards.set(whole(self.shards.owned().len()));
        let slow = self.ownership.is_store_slow(now.mono);
        metrics.store_slow.set(i64::from(slow));
        let version = i64::try_from(self.document.version).unwrap_or(i64::MAX);
        metrics.config_version.set(version);
        metrics.set_status(&self.dispatcher.status(now));
    }

    /// Adds an event for the log.
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

    /// Name of this process.
    pub(super) fn name(&self) -> SmolStr {
        self.settings.name.clone()
    }
}

impl Decisions for Machine {
    fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Submit { call, admit, wait } => {
                let id = JobId::parse(&admit.id);
                let ask = Ask::Submit(Box::new(admit));
                match id {
                    Ok(id) => self.take_call(now, call, (id, ask), wait, out),
                    Err(error) => {
                        let reply =
                            error_reply(400, "bad_id", &error.to_string(), ExecutedTasks::None);
                        out.push(Action::Reply(call, reply.status, reply.body));
                    }
                }
            }
            Input::Query { call, id, wait } => {
                self.take_call(now, call, (id, Ask::Query), wait, out);
            }
            Input::Cancel { call, id, wait } => {
                self.take_call(now, call, (id, Ask::Cancel), wait, out);
            }
            Input::Operate { call, operation } => self.operate(now, call, operation, out),
            // Replies to calls that are gone are dropped by the listener.
            Input::CallGone(_) | Input::Tick => {}
            Input::LinkUp {
                link,
                peer,
                entries,
            } => self.link_up(now, link, peer, &entries, out),
            Input::LinkDown(link) => self.link_down(now, link, out),
            Input::Frame(link, body) => self.take_frame(now, link, body, out),
            Input::Store(op, outcome) => self.take_store(now, op, outcome, out),
            Input::Stop => self.take_stop(now, out),
        }
    }

    fn flush(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.mono >= self.round {
            self.round = now.mono + ROUND;
            self.periodic(now, out);
        }
        self.write_journal(now, out);
        self.dispatch(now, out);
        self.agents.flush(out);
    }
}
