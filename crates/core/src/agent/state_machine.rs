//! The decisions of an agent: takes one input at a time and passes it to the part it concerns.

use std::time::Duration;

use knapweedwall_wire::{ConfigUpdate, Heartbeat, Leaving, frame::Body};
use slotmap::SlotMap;
use smol_str::SmolStr;

use super::addresses::Addresses;
use super::credits::{Credits, Move};
use super::event::{WithField, info, warning};
use super::io::{Action, Input, RunKey, Settings};
use super::ledger::Ledger;
use super::links::Links;
use super::metrics::Metrics;
use super::run::Run;
use super::shards::Shards;
use crate::clock::Now;
use crate::ids::{Epoch, Shard};
use crate::peer::{LinkKey, PeerInfo, Role};

/// Time between heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// A link without any frame for this long is closed.
const SILENCE: Duration = Duration::from_secs(3);

/// Time between two ticks after which this process is taken to have been paused. What the links
/// received meanwhile has not been read yet, so their silence starts anew.
const PAUSE: Duration = Duration::from_secs(1);

/// The decisions of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(super) settings: Settings,
    pub(super) ledger: Ledger,
    pub(super) runs: SlotMap<RunKey, Run>,
    pub(super) shards: Shards,
    pub(super) links: Links,
    pub(super) credits: Credits,
    pub(super) metrics: Metrics,
    /// Whether the endpoint accepts connections, once that is known.
    pub(super) reachable: Option<bool>,
    /// Time of the stop, once there was one.
    pub(super) stopped: Option<Duration>,
    pub(super) exited: bool,
    /// A start was refused as `ledger_full` and none was accepted since.
    pub(super) full: bool,
    addresses: Addresses,
    config: ConfigUpdate,
    ready: bool,
    counter: u64,
    /// Time of the last heartbeat; `None` sends the next one with the next tick.
    last_beat: Option<Duration>,
    last_tick: Option<Duration>,
    moves: Vec<Move>,
}

impl Agent {
    /// An agent without links, whose endpoint is not known to accept connections yet.
    #[must_use]
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        Self {
            ledger: Ledger::new(settings.ledger),
            settings,
            runs: SlotMap::with_key(),
            shards: Shards::default(),
            links: Links::default(),
            credits: Credits::new(0),
            metrics,
            reachable: None,
            stopped: None,
            exited: false,
            full: false,
            addresses: Addresses::default(),
            config: ConfigUpdate::default(),
            ready: false,
            counter: 0,
            last_beat: None,
            last_tick: None,
            moves: Vec::new(),
        }
    }

    /// Version of the configuration held; 0 when there is none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Slots and credits.
    #[must_use]
    pub fn credits(&self) -> &Credits {
        &self.credits
    }

    /// Takes one input and appends the actions that follow from it, in order. Reports and credits
    /// wait for [`Agent::end_turn`].
    pub fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        let now = now.mono;
        match input {
            Input::LinkUp {
                link,
                peer,
                entries,
            } => self.link_up(now, link, &peer, &entries, out),
            Input::LinkDown(link) => {
                self.drop_link(link);
            }
            Input::Frame(link, body) => self.frame(now, link, body, out),
            Input::Ended(run, end) => self.ended(now, run, end, out),
            Input::Endpoint(reachable) => self.endpoint(reachable, out),
            Input::Stop => self.stop(now, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Ends a turn of one or more inputs: assigns free slots and sends one frame to each link that
    /// has reports or credits.
    pub fn end_turn(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut moves = std::mem::take(&mut self.moves);
        self.credits.assign(&mut moves);
        for step in moves.drain(..) {
            self.carry_out(step, out);
        }
        self.moves = moves;
        self.links.flush_all(out);
        self.set_gauges();
        self.update_ready(out);
        self.leave_when_done(now.mono, out);
    }

    fn carry_out(&mut self, step: Move, out: &mut Vec<Action>) {
        match step {
            Move::Grant(link, credits) => self.links.grant(link, credits),
            Move::Recall(link, credits) => {
                self.metrics.recalled.inc_by(u64::from(credits));
                let recall = knapweedwall_wire::Recall { credits };
                out.push(Action::Send(link, Body::Recall(recall)));
            }
        }
    }

    fn link_up(
        &mut self,
        now: Duration,
        link: LinkKey,
        peer: &PeerInfo,
        entries: &[(SmolStr, SmolStr)],
        out: &mut Vec<Action>,
    ) {
        if peer.role != Role::Entry {
            out.push(Action::Close(link, "not_an_entry_process"));
            return;
        }
        if let Some(old) = self.links.of_instance(peer.instance) {
            out.push(Action::Close(old, "replaced"));
            self.drop_link(old);
        }
        self.links.insert(now, link, peer);
        // `Hello` carries the slots of the settings, whether or not the endpoint is reachable.
        out.push(Action::Send(link, self.beat()));
        if self.stopped.is_some() {
            out.push(Action::Send(link, Body::Leaving(Leaving {})));
        } else {
            self.credits.join(link);
        }
        for (_, address) in entries {
            self.addresses.learn(now, address, out);
        }
    }

    /// Forgets a link. Its credits are free again and its frames are no longer read.
    fn drop_link(&mut self, link: LinkKey) -> Option<SmolStr> {
        let state = self.links.remove(link)?;
        self.credits.leave(link);
        self.shards.drop_link(link);
        Some(state.name)
    }

    fn close(&mut self, link: LinkKey, code: &'static str, out: &mut Vec<Action>) {
        out.push(Action::Close(link, code));
        if let Some(name) = self.drop_link(link) {
            let event = warning(201, "link to entry process closed");
            out.push(Action::Log(event.with("entry", name).with("code", code)));
        }
    }

    fn frame(&mut self, now: Duration, link: LinkKey, body: Body, out: &mut Vec<Action>) {
        let Some(state) = self.links.get_mut(link) else {
            return;
        };
        state.heard = now;
        let fits = match body {
            Body::Start(start) => self.start(now, link, start, out),
            Body::Fence(fence) => self.fence(link, fence, out),
            Body::Settled(settled) => self.settled(now, &settled.jobs),
            Body::Cancel(cancel) => self.cancel(now, link, &cancel.jobs, out),
            Body::Heartbeat(beat) => self.heartbeat(now, link, beat, out),
            Body::ConfigUpdate(update) => self.config_update(update, out),
            Body::Demand(demand) => {
                let credits = &mut self.credits;
                credits.demand(now, link, demand.waiting, demand.slack_ms);
                true
            }
            Body::Return(returned) => {
                self.credits.give_back(link, returned.credits);
                true
            }
            Body::Leaving(_) => {
                self.credits.leave(link);
                true
            }
            _ => false,
        };
        if !fits {
            self.close(link, "invalid_frame", out);
        }
    }

    fn heartbeat(
        &mut self,
        now: Duration,
        link: LinkKey,
        beat: Heartbeat,
        out: &mut Vec<Action>,
    ) -> bool {
        for owned in beat.owned {
            // A lower epoch comes from an owner that does not know its successor yet; the answer
            // to its next start or fence tells it.
            let _superseded = self
                .shards
                .raise(Shard(owned.shard), Epoch(owned.epoch), link);
        }
        for entry in beat.entries {
            self.addresses.learn(now, &entry.address, out);
        }
        self.offer_config(link, beat.config_version, out);
        true
    }

    /// Sends the configuration to an entry process that has an older one.
    fn offer_config(&mut self, link: LinkKey, version: u64, out: &mut Vec<Action>) {
        let Some(state) = self.links.get_mut(link) else {
            return;
        };
        if version < self.config.version && state.offered < self.config.version {
            state.offered = self.config.version;
            let update = Body::ConfigUpdate(self.config.clone());
            out.push(Action::Send(link, update));
        }
    }

    fn config_update(&mut self, update: ConfigUpdate, out: &mut Vec<Action>) -> bool {
        if update.version > self.config.version {
            let event = info(202, "configuration accepted");
            out.push(Action::Log(event.with("version", update.version)));
            self.config = update;
        }
        true
    }

    fn endpoint(&mut self, reachable: bool, out: &mut Vec<Action>) {
        if self.reachable.replace(reachable) == Some(reachable) {
            return;
        }
        let event = if reachable {
            info(203, "endpoint accepts connections")
        } else {
            warning(204, "endpoint refuses connections")
        };
        out.push(Action::Log(event));
        if self.stopped.is_none() {
            let slots = if reachable { self.settings.slots } else { 0 };
            self.credits.set_slots(slots);
            self.last_beat = None;
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.stop_overdue(now, out);
        let paused = |last| now.saturating_sub(last) > PAUSE;
        if self.last_tick.is_some_and(paused) {
            self.links.restart_silence(now);
        }
        self.last_tick = Some(now);
        for link in self.links.silent(now, SILENCE) {
            self.close(link, "silent", out);
        }
        let recent = |beat| now.saturating_sub(beat) < HEARTBEAT;
        if self.last_beat.is_some_and(recent) {
            return;
        }
        self.last_beat = Some(now);
        self.counter += 1;
        let beat = self.beat();
        for link in self.links.keys() {
            out.push(Action::Send(link, beat.clone()));
        }
        self.ledger.expire(now);
        self.addresses.expire(now);
        self.credits.rebalance(&mut self.moves);
    }

    fn beat(&self) -> Body {
        Body::Heartbeat(Heartbeat {
            counter: self.counter,
            config_version: self.config.version,
            slots: self.credits.slots(),
            busy: self.credits.busy(),
            ..Heartbeat::default()
        })
    }

    fn set_gauges(&self) {
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.metrics.ledger_entries.set(gauge(self.ledger.len()));
        self.metrics.ledger_bytes.set(gauge(self.ledger.bytes()));
        self.metrics.busy.set(i64::from(self.credits.busy()));
        self.metrics.links.set(gauge(self.links.len()));
    }

    fn update_ready(&mut self, out: &mut Vec<Action>) {
        let ready = self.reachable == Some(true) && self.links.len() > 0 && self.stopped.is_none();
        if ready != self.ready {
            self.ready = ready;
            out.push(Action::Ready(ready));
        }
    }
}
