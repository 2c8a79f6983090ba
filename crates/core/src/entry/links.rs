//! Connections to agents and other entry processes: connects, disconnects, heartbeats and timeouts.

use std::time::Duration;

use knapweedwall_wire::{ConfigUpdate, EntryAddress, Heartbeat, Leaving, ShardEpoch, frame::Body};
use smol_str::SmolStr;

use super::agents::{AgentKey, RosterState};
use super::io::Action;
use super::machine::Machine;
use super::shards::ShardRole;
use crate::clock::Now;
use crate::deterministic::DeterministicMap;
use crate::ids::{Instance, Shard};
use crate::peer::{LinkKey, PeerInfo, Role};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Agents are sent only every n-th heartbeat, where n is this number.
const AGENT_HEARTBEAT_EVERY: u64 = 4;

/// After the list of entry processes has changed or an agent has connected, this many consecutive
/// heartbeats to agents contain the list.
const ENTRY_LIST_REPEATS: u32 = 4;

/// Otherwise, every n-th heartbeat to agents contains the list, where n is this number. An agent
/// forgets an entry process 30 s after it was last listed.
const ENTRY_LIST_EVERY: u64 = 10;

/// Interval between attempts to connect to known addresses.
const DIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between `Settled` frames to an agent.
const SETTLED_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which an agent's connection is closed.
const AGENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence after which the connection to an entry process is closed, so that requests forwarded
/// over it are sent to the next owner.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Timers and state of periodic work on connections.
#[derive(Debug, Default)]
pub struct LinkTimers {
    heartbeat_count: u64,
    next_heartbeat: Duration,
    next_dial: Duration,
    next_settled: Duration,
    addresses: Vec<SmolStr>,
    listed_entries: Vec<EntryAddress>,
    list_repeats: u32,
    last_heard: DeterministicMap<LinkKey, Duration>,
}

impl LinkTimers {
    /// Returns whether the next heartbeat to agents lists the entry processes.
    ///
    /// The list is sent only after a change and at a low rate otherwise, since it would make up
    /// most of a heartbeat in a large system.
    fn should_list_entries(&mut self, entries: &[EntryAddress]) -> bool {
        if self.listed_entries != entries {
            self.listed_entries = entries.to_vec();
            self.list_repeats = ENTRY_LIST_REPEATS;
        }
        let due = self.list_repeats > 0
            || (self.heartbeat_count / AGENT_HEARTBEAT_EVERY).is_multiple_of(ENTRY_LIST_EVERY);
        self.list_repeats = self.list_repeats.saturating_sub(1);
        due
    }
}

impl Machine {
    pub(super) fn link_up(
        &mut self,
        now: Now,
        link: LinkKey,
        peer: PeerInfo,
        entries: &[(SmolStr, SmolStr)],
        out: &mut Vec<Action>,
    ) {
        self.link_timers.last_heard.insert(link, now.mono);
        match peer.role {
            Role::Entry => self.entry_up(now, link, peer, entries, out),
            Role::Agent => self.agent_up(now, link, peer, out),
        }
    }

    fn entry_up(
        &mut self,
        now: Now,
        link: LinkKey,
        peer: PeerInfo,
        entries: &[(SmolStr, SmolStr)],
        out: &mut Vec<Action>,
    ) {
        // The process has connected to its own address, for example because it is a seed.
        if peer.instance == self.settings.instance {
            out.push(Action::Close(link, "own_connection"));
            return;
        }
        for (_, address) in entries {
            self.add_address(address);
        }
        self.add_address(&peer.address);
        let fields = vec![("peer", peer.name.to_string())];
        self.log(out, 140, "entry process connected", false, fields);
        if let Some(old) = self.peers.connect(now.mono, link, peer) {
            self.reroute_forwarded(now, old, out);
            out.push(Action::Close(old, "replaced"));
        }
        self.send_config(link, out);
        self.update_write_rate(now);
    }

    fn agent_up(&mut self, now: Now, link: LinkKey, peer: PeerInfo, out: &mut Vec<Action>) {
        self.link_timers.list_repeats = ENTRY_LIST_REPEATS;
        self.remove_former_instances(now, &peer, out);
        let instance = peer.instance;
        let fields = vec![
            ("agent", peer.name.to_string()),
            ("slots", peer.slots.to_string()),
        ];
        let (key, known) = self.agents.connect(link, peer);
        if known {
            self.unregister_worker(key);
        }
        self.log(out, 141, "agent connected", false, fields);
        let mut shards = self.shards_with_tasks_at(key);
        shards.extend(self.reconciliations_awaiting(instance));
        let shards: Vec<Shard> = shards.into_iter().collect();
        self.fence_connected_agent(key, &shards, out);
        let roster = self.agents.get(key).map(|agent| agent.roster);
        if roster == Some(RosterState::Unrecorded) {
            self.add_to_roster(now, key);
        }
        self.try_register_worker(key);
    }

    /// Removes former instances of an agent. A new instance proves that they have ended.
    fn remove_former_instances(&mut self, now: Now, peer: &PeerInfo, out: &mut Vec<Action>) {
        let mut former = Vec::new();
        for (key, agent) in self.agents.iter() {
            if agent.info.name == peer.name && agent.info.instance != peer.instance {
                former.push(key);
            }
        }
        for key in former {
            self.remove_agent(now, key, out);
        }
    }

    /// Makes an agent eligible for work once its roster record is durable, its fences are answered
    /// and it is not leaving.
    pub(super) fn try_register_worker(&mut self, key: AgentKey) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        let Some(link) = agent.link else { return };
        let ready = agent.roster == RosterState::Durable
            && agent.pending_fences.is_empty()
            && !agent.leaving;
        if !ready || agent.worker.is_some() {
            return;
        }
        let (name, zone) = (agent.info.name.clone(), agent.info.zone.clone());
        let worker = self
            .dispatcher
            .add_worker(link, name, zone, agent.info.slots);
        agent.worker = Some(worker);
        let credits = std::mem::take(&mut agent.credits);
        self.ownership.agents_by_worker.insert(worker, key);
        if credits > 0 {
            self.dispatcher.add_credits(worker, credits);
        }
    }

    /// Makes an agent ineligible for work.
    fn unregister_worker(&mut self, key: AgentKey) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        if let Some(worker) = agent.worker.take() {
            self.dispatcher.remove_worker(worker);
            self.ownership.agents_by_worker.remove(&worker);
        }
    }

    pub(super) fn link_down(&mut self, now: Now, link: LinkKey, out: &mut Vec<Action>) {
        self.link_timers.last_heard.remove(&link);
        if self.peers.disconnect(link) {
            self.log(out, 142, "entry process disconnected", true, Vec::new());
        }
        self.reroute_forwarded(now, link, out);
        self.update_write_rate(now);
        let Some(key) = self.agents.disconnect(now.mono, link) else {
            return;
        };
        self.unregister_worker(key);
        let name = self
            .agents
            .get(key)
            .map(|agent| agent.info.name.to_string());
        let fields = vec![("agent", name.unwrap_or_default())];
        self.log(out, 143, "agent disconnected", true, fields);
    }

    fn reroute_forwarded(&mut self, now: Now, link: LinkKey, out: &mut Vec<Action>) {
        for routed in self.routing.disconnect(link) {
            self.route(now, routed, out);
        }
    }

    /// Removes agents that have been disconnected for longer than `doubt_timeout`.
    pub(super) fn remove_expired_agents(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut expired = Vec::new();
        for (key, agent) in self.agents.iter() {
            if agent
                .disconnected_at
                .is_some_and(|at| now.since(at) >= self.settings.doubt_timeout)
            {
                expired.push(key);
            }
        }
        for key in expired {
            self.remove_agent(now, key, out);
        }
    }

    fn remove_agent(&mut self, now: Now, key: AgentKey, out: &mut Vec<Action>) {
        self.unregister_worker(key);
        self.fail_in_doubt_jobs(now, key, out);
        let Some(agent) = self.agents.remove(key) else {
            return;
        };
        self.mark_agent_lost(agent.info.instance);
        // A successor would wait for this agent until a checkpoint omits it.
        self.ownership.roster_shrunk = true;
        if let Some(link) = agent.link {
            out.push(Action::Close(link, "replaced"));
        }
        let fields = vec![("agent", agent.info.name.to_string())];
        self.log(
            out,
            144,
            "agent lost; its unfinished tasks are in doubt",
            true,
            fields,
        );
    }

    /// Records the time of a received frame.
    pub(super) fn record_activity(&mut self, now: Now, link: LinkKey) {
        if let Some(last_heard) = self.link_timers.last_heard.get_mut(&link) {
            *last_heard = now.mono;
        }
        if self.agents.by_link(link).is_some() {
            return;
        }
        if let Some(peer) = self.peers.by_link(link) {
            peer.last_heard = now.mono;
        }
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        link: LinkKey,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        if let Some(key) = self.agents.by_link(link) {
            let worker = self.agents.get(key).and_then(|agent| agent.worker);
            if let Some(worker) = worker {
                self.dispatcher
                    .update_worker_slots(worker, heartbeat.slots, heartbeat.busy);
            }
            return;
        }
        for entry in &heartbeat.entries {
            self.add_address(&entry.address);
        }
        if heartbeat.config_version < self.config.version {
            self.send_config(link, out);
        }
        let Some(peer) = self.peers.by_link(link) else {
            return;
        };
        let instance = peer.info.instance;
        for owned in &heartbeat.owned {
            self.check_owned(instance, owned);
        }
        self.check_released(instance, &heartbeat.owned);
    }

    /// Requests a scan of the owner rows if a peer no longer reports a shard that it owned.
    fn check_released(&mut self, instance: Instance, owned: &[ShardEpoch]) {
        let released = self.shards.iter().any(|(shard, info)| {
            info.row.owner == instance.0 && !owned.iter().any(|owned| owned.shard == shard.0)
        });
        if released {
            self.ownership.request_scan();
        }
    }

    /// Requests a scan of the owner rows if a peer reports a shard that this process attributes to
    /// another owner.
    fn check_owned(&mut self, instance: Instance, owned: &ShardEpoch) {
        let shard = Shard(owned.shard);
        let epoch = self.shards.epoch(shard).0;
        if owned.epoch > epoch || (owned.epoch == epoch && !self.shards.is_owner(shard, instance)) {
            self.ownership.request_scan();
        }
    }

    pub(super) fn handle_leaving(&mut self, link: LinkKey) {
        if let Some(peer) = self.peers.by_link(link) {
            peer.leaving = true;
        }
        let Some(key) = self.agents.by_link(link) else {
            return;
        };
        if let Some(agent) = self.agents.get_mut(key) {
            agent.leaving = true;
            if let Some(worker) = agent.worker {
                // Running tasks still report their results; only the credits are revoked.
                self.dispatcher.return_unused_credits(worker, u32::MAX);
            }
        }
    }

    /// Tells the other entry processes that this one is leaving.
    pub(super) fn announce_leaving(&self, out: &mut Vec<Action>) {
        for peer in self.peers.iter() {
            if let Some(link) = peer.link {
                out.push(Action::Send(link, Body::Leaving(Leaving {})));
            }
        }
    }

    fn send_config(&self, link: LinkKey, out: &mut Vec<Action>) {
        if self.config.version == 0 {
            return;
        }
        let document = serde_json::to_vec(&self.config).unwrap_or_default().into();
        let update = ConfigUpdate {
            version: self.config.version,
            document,
        };
        out.push(Action::Send(link, Body::ConfigUpdate(update)));
    }

    fn add_address(&mut self, address: &str) {
        let known = self
            .link_timers
            .addresses
            .iter()
            .any(|known| known == address);
        if !known && !address.is_empty() && address != self.settings.address {
            self.link_timers.addresses.push(address.into());
        }
    }

    /// Divides the store's write rate among the live entry processes.
    fn update_write_rate(&mut self, now: Now) {
        let live_count = 1 + self.peers.available(now.mono).count();
        let share =
            f64::from(self.settings.write_rate) / f64::from(u32::try_from(live_count).unwrap_or(1));
        self.journal.set_rate(share);
    }

    /// Sends heartbeats and settled jobs, connects to known addresses and closes silent
    /// connections.
    pub(super) fn run_link_timers(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.mono >= self.link_timers.next_settled {
            self.link_timers.next_settled = now.mono + SETTLED_INTERVAL;
            self.agents.flush_settled(out);
        }
        if now.mono >= self.link_timers.next_dial {
            self.link_timers.next_dial = now.mono + DIAL_INTERVAL;
            self.dial(now, out);
        }
        if now.mono >= self.link_timers.next_heartbeat {
            self.link_timers.next_heartbeat = now.mono + HEARTBEAT_INTERVAL;
            self.link_timers.heartbeat_count += 1;
            self.send_heartbeats(out);
            self.close_silent_links(now, out);
            self.update_write_rate(now);
        }
    }

    fn dial(&mut self, now: Now, out: &mut Vec<Action>) {
        for seed in self.settings.seeds.clone() {
            self.add_address(&seed);
        }
        for address in &self.link_timers.addresses {
            let connected = self
                .peers
                .iter()
                .any(|peer| peer.info.address == *address && peer.is_alive(now.mono));
            if !connected {
                out.push(Action::Connect(address.clone()));
            }
        }
    }

    fn send_heartbeats(&mut self, out: &mut Vec<Action>) {
        let mut heartbeat = Heartbeat {
            counter: self.link_timers.heartbeat_count,
            config_version: self.config.version,
            ..Heartbeat::default()
        };
        for (shard, info) in self.shards.iter() {
            if matches!(info.role, ShardRole::Loading | ShardRole::Serving) {
                heartbeat.owned.push(ShardEpoch {
                    shard: shard.0,
                    epoch: info.row.epoch,
                });
            }
        }
        heartbeat.entries = self.known_entries();
        for peer in self.peers.iter() {
            if let Some(link) = peer.link {
                out.push(Action::Send(link, Body::Heartbeat(heartbeat.clone())));
            }
        }
        if !self
            .link_timers
            .heartbeat_count
            .is_multiple_of(AGENT_HEARTBEAT_EVERY)
        {
            return;
        }
        if !self.link_timers.should_list_entries(&heartbeat.entries) {
            heartbeat.entries.clear();
        }
        for (_, agent) in self.agents.iter() {
            if let Some(link) = agent.link {
                out.push(Action::Send(link, Body::Heartbeat(heartbeat.clone())));
            }
        }
    }

    fn known_entries(&self) -> Vec<EntryAddress> {
        let name = self.settings.name.to_string();
        let mut entries = vec![EntryAddress {
            name,
            address: self.settings.address.to_string(),
        }];
        for peer in self.peers.iter() {
            if peer.link.is_some() {
                let name = peer.info.name.to_string();
                entries.push(EntryAddress {
                    name,
                    address: peer.info.address.to_string(),
                });
            }
        }
        entries
    }

    fn close_silent_links(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut silent = Vec::new();
        for (_, agent) in self.agents.iter() {
            let Some(link) = agent.link else { continue };
            let last_heard = self
                .link_timers
                .last_heard
                .get(&link)
                .copied()
                .unwrap_or_default();
            if now.since(last_heard) >= AGENT_TIMEOUT {
                silent.push(link);
            }
        }
        for peer in self.peers.iter() {
            let Some(link) = peer.link else { continue };
            if now.since(peer.last_heard) >= ENTRY_TIMEOUT {
                silent.push(link);
            }
        }
        for link in silent {
            out.push(Action::Close(link, "silent"));
            self.link_down(now, link, out);
        }
    }
}
