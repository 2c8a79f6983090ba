//! The state machine of an entry process. `intake` has the transitions of callers, `place` those
//! of orders, `reports` those of runs that end, `links` those of other processes.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use super::forwarding::Forwarding;
use super::io::{Action, CallKey, Input, Settings};
use super::jobs::{JobKey, Jobs};
use super::learning::Learning;
use super::metrics::Metrics;
use super::peers::Peers;
use super::shards::Shards;
use super::workers::Workers;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::event::Event;
use crate::job::QueueCatalog;

/// A turn that comes this much later than the one before shows that the process stood still.
const STANDSTILL: Duration = Duration::from_millis(600);

/// Pause after a standstill in which nothing is placed: what arrived meanwhile is read first, such
/// as the end of a caller's connection.
const STANDSTILL_PAUSE: Duration = Duration::from_millis(150);

/// Pause between two rounds of periodic work.
const ROUND: Duration = Duration::from_millis(15);

/// Decisions of an entry process.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) catalog: Option<QueueCatalog>,
    pub(super) document: Bytes,
    pub(super) jobs: Jobs,
    pub(super) workers: Workers,
    pub(super) peers: Peers,
    pub(super) shards: Shards,
    pub(super) forwarding: Forwarding,
    /// Callers who wait for the end of a job: until when, the job, the caller.
    pub(super) queries: VecDeque<(Duration, JobKey, CallKey)>,
    /// When ended jobs were last looked through.
    pub(super) forgot: Duration,
    /// Entry processes that were found: address by name.
    pub(super) entries: DeterministicMap<SmolStr, SmolStr>,
    pub(super) learning: Learning,
    pub(super) metrics: Metrics,
    pub(super) stopping: Option<Duration>,
    /// Nothing is placed before this time.
    pub(super) place_after: Duration,
    /// Whether something changed that may let a task be placed.
    pub(super) changed: bool,
    ready: bool,
    exited: bool,
    turn: Duration,
    round: Duration,
}

impl Machine {
    /// Decisions of a process that has just started.
    #[must_use]
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        Self {
            settings,
            catalog: None,
            document: Bytes::new(),
            jobs: Jobs::default(),
            workers: Workers::default(),
            peers: Peers::default(),
            shards: Shards::default(),
            forwarding: Forwarding::default(),
            queries: VecDeque::new(),
            forgot: Duration::ZERO,
            entries: DeterministicMap::default(),
            learning: Learning::default(),
            metrics,
            stopping: None,
            place_after: Duration::ZERO,
            changed: false,
            ready: false,
            exited: false,
            turn: Duration::ZERO,
            round: Duration::ZERO,
        }
    }

    /// Takes one input and appends the actions that follow from it, in order.
    pub fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        self.notice_standstill(now, out);
        match input {
            Input::Submit { call, job } => self.submit(now, call, *job, out),
            Input::Query { call, id } => self.query(now, call, &id, out),
            Input::Cancel { call, id } => self.cancel(now, call, &id, out),
            Input::Count { call, queue } => self.count(now, call, &queue, out),
            Input::CallGone(call) => self.call_gone(now, call, out),
            Input::LinkUp { link, peer } => self.link_up(now, link, peer, out),
            Input::LinkDown(link) => self.link_down(now, link, out),
            Input::Frame(link, body) => self.take_frame(now, link, body, out),
            Input::Configure { catalog, document } => self.configure(catalog, document, out),
            Input::Found(entries) => self.found(entries, out),
            Input::Stored(key, outcome) => self.take_stored(now, key, outcome, out),
            Input::Stop => self.take_stop(now, out),
            Input::Tick => {}
        }
    }

    /// Ends a turn: called once after the inputs that were ready together.
    pub fn flush(&mut self, now: Now, out: &mut Vec<Action>) {
        self.notice_standstill(now, out);
        if now.since(self.round) >= ROUND {
            self.round = now.mono;
            self.lose_agents(now, out);
            self.expire_jobs(now, out);
            self.update_peers(now, out);
            self.update_forwarded(now, out);
            self.expire_queries(now, out);
            self.update_shards(now, out);
            self.forget_jobs(now);
            self.update_ready(out);
            self.changed = true;
        }
        if self.changed && now.mono >= self.place_after {
            self.changed = false;
            self.place(now);
        }
        self.flush_shards(now, out);
        self.send_orders(now, out);
        self.try_exit(now, out);
    }

    /// Whether a job is open, so that time matters more.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.jobs.len() > 0
    }

    /// Whether requests should be answered with the advice to use another connection.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    fn notice_standstill(&mut self, now: Now, out: &mut Vec<Action>) {
        let gap = now.since(self.turn);
        self.turn = now.mono;
        if gap < STANDSTILL {
            return;
        }
        self.place_after = now.mono + STANDSTILL_PAUSE;
        self.changed = true;
        if self.round > Duration::ZERO {
            let fields = vec![("ms", gap.as_millis().to_string())];
            log(out, 307, "the process stood still", true, fields);
        }
    }

    fn configure(&mut self, catalog: QueueCatalog, document: Bytes, out: &mut Vec<Action>) {
        let known = self.catalog.as_ref().map(|catalog| catalog.version);
        if known.is_some_and(|known| known >= catalog.version) {
            return;
        }
        let fields = vec![
            ("version", catalog.version.to_string()),
            ("before", known.unwrap_or_default().to_string()),
            ("queues", catalog.queues.len().to_string()),
        ];
        log(out, 306, "configuration in force", false, fields);
        let version = i64::try_from(catalog.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        self.adopt_rules(&catalog);
        self.catalog = Some(catalog);
        self.document = document;
        self.tell_configuration(out);
        self.update_ready(out);
    }

    /// Reports readiness when it changes. A process that was ready stays so without workers: others
    /// may not reach any either.
    fn update_ready(&mut self, out: &mut Vec<Action>) {
        let reached = self.ready || self.workers.iter().any(|(_, worker)| worker.listed);
        let ready = self.stopping.is_none() && self.catalog.is_some() && reached;
        if ready != self.ready {
            self.ready = ready;
            out.push(Action::Ready(ready));
        }
    }

    /// Durable jobs follow the rules of their queue.
    fn adopt_rules(&mut self, catalog: &QueueCatalog) {
        let open = self.jobs.iter().filter(|(_, job)| job.record.is_some());
        for key in open.map(|(key, _)| key).collect::<Vec<_>>() {
            if let Some(job) = self.jobs.get_mut(key)
                && let Some(rules) = catalog.queue(&job.request.queue)
            {
                job.rules = rules.clone();
            }
        }
    }

    fn take_stop(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.stopping.is_none() {
            self.stopping = Some(now.mono);
            let fields = vec![("open_jobs", self.jobs.len().to_string())];
            log(out, 308, "planned stop begins", false, fields);
            self.release_shards();
            self.update_ready(out);
        }
    }

    /// Whether the planned stop has gone on for so long that new jobs are refused.
    pub(super) fn is_closed(&self, now: Now) -> bool {
        let since = self.stopping;
        since.is_some_and(|since| now.since(since) >= self.settings.stop_accept)
    }

    fn try_exit(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(since) = self.stopping else {
            return;
        };
        let waits = self.jobs.any_caller() || self.forwarding.any();
        let idle = self.is_closed(now) && !waits && !self.holds_shards();
        if (idle || now.since(since) >= self.settings.stop_limit) && !self.exited {
            self.exited = true;
            let fields = vec![("open_jobs", self.jobs.len().to_string())];
            log(out, 309, "planned stop complete", false, fields);
            out.push(Action::Exit);
        }
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

/// Milliseconds as text.
pub(super) fn ms(time: Duration) -> String {
    time.as_millis().to_string()
}
