//! The state machine of an agent: handles one input at a time.

use std::time::Duration;

use knapweedwall_wire::{ConfigUpdate, Heartbeat, Leaving, frame::Body};
use slotmap::SlotMap;
use smol_str::SmolStr;

use super::addresses::EntryAddresses;
use super::credits::{CreditAction, CreditAllocator};
use super::event::{WithField, info, warning};
use super::io::{Action, Input, RunKey, Settings};
use super::ledger::Ledger;
use super::links::Links;
use super::metrics::Metrics;
use super::run::Run;
use super::shards::ShardOwners;
use crate::clock::Now;
use crate::ids::{Epoch, Shard};
use crate::peer::{LinkKey, PeerInfo, Role};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A link that receives no frame for this long is closed.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// A longer time between two ticks means that this process was paused. Frames that arrived
/// meanwhile have not been read yet, so the timeouts of all links are restarted.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The state machine of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(super) settings: Settings,
    pub(super) ledger: Ledger,
    pub(super) runs: SlotMap<RunKey, Run>,
    pub(super) shards: ShardOwners,
    pub(super) links: Links,
    pub(super) credits: CreditAllocator,
    pub(super) metrics: Metrics,
    /// Whether the endpoint accepts connections; `None` until that is known.
    pub(super) reachable: Option<bool>,
    /// When the planned stop began; `None` before.
    pub(super) stopping_since: Option<Duration>,
    /// Whether [`Action::Exit`] was emitted.
    pub(super) exited: bool,
    /// Whether a start was refused as `ledger_full` and none has been accepted since.
    pub(super) ledger_full: bool,
    addresses: EntryAddresses,
    config: ConfigUpdate,
    ready: bool,
    /// Number of heartbeats sent.
    heartbeat_counter: u64,
    /// Time of the last heartbeat. If `None`, the next tick sends one.
    last_heartbeat: Option<Duration>,
    last_tick: Option<Duration>,
    credit_actions: Vec<CreditAction>,
}

impl Agent {
    /// Creates an agent without links. No starts are accepted until the endpoint is reported
    /// reachable.
    #[must_use]
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        Self {
            ledger: Ledger::new(settings.ledger),
            settings,
            runs: SlotMap::with_key(),
            shards: ShardOwners::default(),
            links: Links::default(),
            credits: CreditAllocator::new(0),
            metrics,
            reachable: None,
            stopping_since: None,
            exited: false,
            ledger_full: false,
            addresses: EntryAddresses::default(),
            config: ConfigUpdate::default(),
            ready: false,
            heartbeat_counter: 0,
            last_heartbeat: None,
            last_tick: None,
            credit_actions: Vec::new(),
        }
    }

    /// Version of the current configuration; 0 if there is none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Allocation of slots and credits.
    #[must_use]
    pub fn credits(&self) -> &CreditAllocator {
        &self.credits
    }

    /// Handles one input and appends the resulting actions in order. Reports and credits are queued
    /// until [`Agent::end_turn`].
    pub fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        let now = now.mono;
        match input {
            Input::LinkUp {
                link,
                peer,
                entry_processes,
            } => self.handle_link_up(now, link, &peer, &entry_processes, out),
            Input::LinkDown(link) => {
                self.remove_link(link);
            }
            Input::Frame(link, body) => self.handle_frame(now, link, body, out),
            Input::RunEnded(run, end) => self.handle_run_ended(now, run, end, out),
            Input::EndpointReachable(reachable) => self.set_endpoint_reachable(reachable, out),
            Input::Stop => self.begin_shutdown(now, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Ends a batch of one or more inputs: grants free slots as credits and sends the queued
    /// reports and credits, in one frame per link.
    pub fn end_turn(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut actions = std::mem::take(&mut self.credit_actions);
        self.credits.assign(&mut actions);
        for action in actions.drain(..) {
            self.apply_credit_action(action, out);
        }
        self.credit_actions = actions;
        self.links.flush_all(out);
        self.update_gauges();
        self.update_ready(out);
        self.exit_when_drained(now.mono, out);
    }

    fn apply_credit_action(&mut self, action: CreditAction, out: &mut Vec<Action>) {
        match action {
            CreditAction::Grant(link, credits) => self.links.grant(link, credits),
            CreditAction::Recall(link, credits) => {
                self.metrics.recalled.inc_by(u64::from(credits));
                let recall = knapweedwall_wire::Recall { credits };
                out.push(Action::Send(link, Body::Recall(recall)));
            }
        }
    }

    fn handle_link_up(
        &mut self,
        now: Duration,
        link: LinkKey,
        peer: &PeerInfo,
        entry_processes: &[(SmolStr, SmolStr)],
        out: &mut Vec<Action>,
    ) {
        if peer.role != Role::Entry {
            out.push(Action::Close(link, "not_an_entry_process"));
            return;
        }
        if let Some(old) = self.links.of_instance(peer.instance) {
            out.push(Action::Close(old, "replaced"));
            self.remove_link(old);
        }
        self.links.insert(now, link, peer);
        // `Hello` carries the configured slots, even if the endpoint is unreachable; the heartbeat
        // carries the current ones.
        out.push(Action::Send(link, self.heartbeat_frame()));
        if self.stopping_since.is_some() {
            out.push(Action::Send(link, Body::Leaving(Leaving {})));
        } else {
            self.credits.add_link(link);
        }
        for (_, address) in entry_processes {
            self.addresses.record(now, address, out);
        }
    }

    /// Removes a link. Its credits become free, and further frames of the link are ignored.
    fn remove_link(&mut self, link: LinkKey) -> Option<SmolStr> {
        let state = self.links.remove(link)?;
        self.credits.remove_link(link);
        self.shards.clear_owner(link);
        Some(state.name)
    }

    fn close_link(&mut self, link: LinkKey, code: &'static str, out: &mut Vec<Action>) {
        out.push(Action::Close(link, code));
        if let Some(name) = self.remove_link(link) {
            let event = warning(201, "link to entry process closed");
            out.push(Action::Log(event.with("entry", name).with("code", code)));
        }
    }

    fn handle_frame(&mut self, now: Duration, link: LinkKey, body: Body, out: &mut Vec<Action>) {
        let Some(state) = self.links.get_mut(link) else {
            return;
        };
        state.last_received = now;
        let valid = match body {
            Body::Start(start) => self.start_tasks(now, link, start, out),
            Body::Fence(fence) => self.handle_fence(link, fence, out),
            Body::Settled(settled) => self.settle_jobs(now, &settled.jobs),
            Body::Cancel(cancel) => self.cancel_jobs(now, link, &cancel.jobs, out),
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(now, link, heartbeat, out),
            Body::ConfigUpdate(update) => self.handle_config_update(update, out),
            Body::Demand(demand) => {
                let credits = &mut self.credits;
                credits.set_demand(now, link, demand.waiting, demand.slack_ms);
                true
            }
            Body::Return(returned) => {
                self.credits.return_credits(link, returned.credits);
                true
            }
            Body::Leaving(_) => {
                self.credits.remove_link(link);
                true
            }
            _ => false,
        };
        if !valid {
            self.close_link(link, "invalid_frame", out);
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Duration,
        link: LinkKey,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) -> bool {
        for owned in heartbeat.owned {
            // A lower epoch comes from an owner that does not know about its successor yet. It is
            // told in the answer to its next start or fence.
            let _superseded = self
                .shards
                .raise_epoch(Shard(owned.shard), Epoch(owned.epoch), link);
        }
        for entry in heartbeat.entries {
            self.addresses.record(now, &entry.address, out);
        }
        self.offer_config(link, heartbeat.config_version, out);
        true
    }

    /// Sends the configuration to an entry process with an older version, once per version.
    fn offer_config(&mut self, link: LinkKey, version: u64, out: &mut Vec<Action>) {
        let Some(state) = self.links.get_mut(link) else {
            return;
        };
        if version < self.config.version && state.sent_config_version < self.config.version {
            state.sent_config_version = self.config.version;
            let update = Body::ConfigUpdate(self.config.clone());
            out.push(Action::Send(link, update));
        }
    }

    fn handle_config_update(&mut self, update: ConfigUpdate, out: &mut Vec<Action>) -> bool {
        if update.version > self.config.version {
            let event = info(202, "configuration accepted");
            out.push(Action::Log(event.with("version", update.version)));
            self.config = update;
        }
        true
    }

    fn set_endpoint_reachable(&mut self, reachable: bool, out: &mut Vec<Action>) {
        if self.reachable.replace(reachable) == Some(reachable) {
            return;
        }
        let event = if reachable {
            info(203, "endpoint accepts connections")
        } else {
            warning(204, "endpoint refuses connections")
        };
        out.push(Action::Log(event));
        if self.stopping_since.is_none() {
            let slots = if reachable { self.settings.slots } else { 0 };
            self.credits.set_slots(slots);
            self.last_heartbeat = None;
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.abort_overdue(now, out);
        let was_paused = |last| now.saturating_sub(last) > PAUSE_THRESHOLD;
        if self.last_tick.is_some_and(was_paused) {
            self.links.reset_receive_times(now);
        }
        self.last_tick = Some(now);
        for link in self.links.timed_out(now, LINK_TIMEOUT) {
            self.close_link(link, "silent", out);
        }
        let is_recent = |last| now.saturating_sub(last) < HEARTBEAT_INTERVAL;
        if self.last_heartbeat.is_some_and(is_recent) {
            return;
        }
        self.last_heartbeat = Some(now);
        self.heartbeat_counter += 1;
        let heartbeat = self.heartbeat_frame();
        for link in self.links.keys() {
            out.push(Action::Send(link, heartbeat.clone()));
        }
        self.ledger.expire(now);
        self.addresses.expire(now);
        self.credits.rebalance(&mut self.credit_actions);
    }

    fn heartbeat_frame(&self) -> Body {
        Body::Heartbeat(Heartbeat {
            counter: self.heartbeat_counter,
            config_version: self.config.version,
            slots: self.credits.slots(),
            busy: self.credits.busy(),
            ..Heartbeat::default()
        })
    }

    fn update_gauges(&self) {
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.metrics.ledger_entries.set(gauge(self.ledger.len()));
        self.metrics.ledger_bytes.set(gauge(self.ledger.bytes()));
        self.metrics.busy.set(i64::from(self.credits.busy()));
        self.metrics.links.set(gauge(self.links.len()));
    }

    fn update_ready(&mut self, out: &mut Vec<Action>) {
        let ready =
            self.reachable == Some(true) && self.links.len() > 0 && self.stopping_since.is_none();
        if ready != self.ready {
            self.ready = ready;
            out.push(Action::Ready(ready));
        }
    }
}
