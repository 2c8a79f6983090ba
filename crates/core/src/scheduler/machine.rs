//! The state machine of an entry process.
//!
//! `requests` implements the transitions for caller requests, `placement` those that assign tasks
//! to workers, `orders` their messages to agents, `run_reports` those for ended runs, `links` those
//! for connections to agents and other entry processes, `shard_turns` those for shards of durable
//! jobs, `configuration` those for changes of the configuration, and `graceful_stop` those for the end
//! of the process.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use super::admission::{CallerLimits, RetrySchedule};
use super::configuration::Configuration;
use super::crashes::Crashes;
use super::durable_jobs::HeldQuery;
use super::forwarding::Forwarding;
use super::held_jobs::ReadDelay;
use super::io::{Action, Input, Settings};
use super::jobs::Jobs;
use super::metrics::Metrics;
use super::peers::Peers;
use super::run_time_model::RunTimeModel;
use super::shards::Shards;
use super::stalled_jobs::StalledJobs;
use super::store_clock::StoreClock;
use super::workers::Workers;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::event::Event;

/// Time without any call of the state machine after which the process is assumed to have been frozen
/// or suspended.
const STALL_THRESHOLD: Duration = Duration::from_millis(600);

/// Time after a stall in which no task is placed, so that inputs that arrived meanwhile, such as
/// closed caller connections, are processed first.
pub(super) const PLACEMENT_DELAY_AFTER_STALL: Duration = Duration::from_millis(150);

/// Longest time between two calls while a job is open, unless the process is delayed.
pub const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(15);

/// Longest time between two calls while no job is open, unless the process is delayed.
pub const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of the periodic work in [`Machine::flush`].
const ROUND_INTERVAL: Duration = Duration::from_millis(15);

/// The state of an entry process and the transitions on it.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) configuration: Configuration,
    pub(super) jobs: Jobs,
    pub(super) crashes: Crashes,
    pub(super) stalled_jobs: StalledJobs,
    pub(super) workers: Workers,
    pub(super) peers: Peers,
    pub(super) shards: Shards,
    pub(super) store_clock: StoreClock,
    pub(super) forwarding: Forwarding,
    /// State queries held for jobs that are about to end, in the order of their deadlines.
    pub(super) held_queries: VecDeque<HeldQuery>,
    /// Time of the last search for ended jobs past their retention.
    pub(super) last_purge: Duration,
    /// Addresses of the known entry processes, by name.
    pub(super) entry_addresses: DeterministicMap<SmolStr, SmolStr>,
    pub(super) run_times: RunTimeModel,
    pub(super) caller_limits: CallerLimits,
    pub(super) retry_schedule: RetrySchedule,
    pub(super) metrics: Metrics,
    /// Start of the graceful shutdown, if one is in progress.
    pub(super) stop_requested_at: Option<Duration>,
    /// No task is placed before this time.
    pub(super) placement_allowed_at: Duration,
    /// Whether the state changed in a way that may allow a task to be placed.
    pub(super) placement_pending: bool,
    ready: bool,
    pub(super) exited: bool,
    /// Time of the last call of `step` or `flush`.
    last_activity: Duration,
    pub(super) read_delay: ReadDelay,
    /// Time of the last periodic work.
    last_round: Duration,
}

impl Machine {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        Self {
            settings,
            configuration: Configuration::default(),
            jobs: Jobs::default(),
            crashes: Crashes::default(),
            stalled_jobs: StalledJobs::default(),
            workers: Workers::default(),
            peers: Peers::default(),
            shards: Shards::default(),
            store_clock: StoreClock::default(),
            forwarding: Forwarding::default(),
            held_queries: VecDeque::new(),
            last_purge: Duration::ZERO,
            entry_addresses: DeterministicMap::default(),
            run_times: RunTimeModel::default(),
            caller_limits: CallerLimits::default(),
            retry_schedule: RetrySchedule::default(),
            metrics,
            stop_requested_at: None,
            placement_allowed_at: Duration::ZERO,
            placement_pending: false,
            ready: false,
            exited: false,
            last_activity: Duration::ZERO,
            read_delay: ReadDelay::default(),
            last_round: Duration::ZERO,
        }
    }

    /// Processes one input and appends the resulting actions, in order.
    pub fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        self.detect_stall(now, out);
        match input {
            Input::Submit { call, job } => self.submit(now, call, *job, out),
            Input::Query { call, id } => self.query(now, call, &id, out),
            Input::Cancel { call, id } => self.cancel(now, call, &id, out),
            Input::CountPending { call, queue } => self.count_pending(now, call, &queue, out),
            Input::CallGone(call) => self.caller_disconnected(now, call, out),
            Input::EntryRefused(address) => self.record_refused_entry(&address, out),
            Input::LinkUp { link, peer } => self.link_up(now, link, peer, out),
            Input::LinkDown(link) => self.link_down(now, link, out),
            Input::Frame(link, body) => self.handle_frame(now, link, body, out),
            Input::UnknownQueue(call) => self.reject_unknown_queue(now, call, out),
            Input::Configure {
                catalog,
                document,
                source,
            } => self.configure(now, catalog, document, source, out),
            Input::ConfigConfirmed {
                version,
                requested_at,
            } => self.confirm_configuration(now, version, requested_at, out),
            Input::EntriesFound(entries) => self.add_entries(entries, out),
            Input::CallerLimitsFound(limits) => self.caller_limits.load(limits),
            Input::StoreResult {
                call,
                outcome,
                clock_ms,
            } => self.handle_store_outcome(now, call, (outcome, clock_ms), out),
            Input::Stop => self.begin_stop(now, out),
            Input::Tick => {}
        }
    }

    /// Ends a turn: places tasks, sends orders to agents and sends writes to the store, as the
    /// inputs of the turn require. Must be called once after each group of inputs that were ready
    /// together.
    pub fn flush(&mut self, now: Now, out: &mut Vec<Action>) {
        self.detect_stall(now, out);
        if now.since(self.last_round) >= ROUND_INTERVAL {
            self.last_round = now.mono;
            self.expire_silent_agents(now, out);
            self.expire_jobs(now, out);
            self.update_peers(now, out);
            self.update_held_jobs(now, out);
            self.update_forwarded_calls(now, out);
            self.expire_queries(now, out);
            self.update_shards(now, out);
            self.purge_ended_jobs(now);
            self.update_ready(out);
            self.check_configuration_age(now, out);
            self.update_crashes(now, out);
            self.update_stalled_jobs(now, out);
            if let Some(limits) = self.caller_limits.take_changed(now.mono) {
                out.push(Action::StoreCallerLimits(limits));
            }
            self.placement_pending = true;
        }
        if self.placement_pending && now.mono >= self.placement_allowed_at {
            self.placement_pending = false;
            self.place_tasks(now);
        }
        self.flush_shard_writes(now, out);
        self.send_orders(now, out);
        self.try_exit(now, out);
    }

    /// Returns whether a job is open. The event loop then ticks more often.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.jobs.open_len() > 0
    }

    /// Returns whether a graceful shutdown is in progress, so that callers should be told to
    /// reconnect elsewhere.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_requested_at.is_some()
    }

    /// Delays placement if this call comes so late that the process was probably frozen.
    fn detect_stall(&mut self, now: Now, out: &mut Vec<Action>) {
        let gap = now.since(self.last_activity);
        let started = self.last_activity > Duration::ZERO;
        self.last_activity = now.mono;
        if started {
            let expected = if self.is_busy() {
                BUSY_TICK_INTERVAL
            } else {
                IDLE_TICK_INTERVAL
            };
            self.read_delay.observe(now.mono, gap, expected);
        }
        if gap < STALL_THRESHOLD {
            return;
        }
        self.placement_allowed_at = now.mono + PLACEMENT_DELAY_AFTER_STALL;
        self.placement_pending = true;
        if self.last_round > Duration::ZERO {
            let fields = vec![("ms", gap.as_millis().to_string())];
            log(out, 307, "event loop stalled", true, fields);
        }
    }

    /// Reports a change of readiness. A process that has been ready stays so when it loses all
    /// workers, since other entry processes may not reach any either.
    pub(super) fn update_ready(&mut self, out: &mut Vec<Action>) {
        let had_workers = self.ready || self.workers.iter().any(|(_, worker)| worker.listed);
        let ready =
            self.stop_requested_at.is_none() && self.configuration.catalog.is_some() && had_workers;
        if ready != self.ready {
            self.ready = ready;
            out.push(Action::Ready(ready));
        }
    }
}

/// Appends an action that logs an event.
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

/// Formats a duration as whole milliseconds.
pub(super) fn ms(time: Duration) -> String {
    time.as_millis().to_string()
}
