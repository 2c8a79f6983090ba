//! Connections between entry processes and agents.

use knapweedwall_core::executor;
use knapweedwall_core::scheduler;
use knapweedwall_core::{Instance, LinkKey, PeerInfo, Role};

use crate::fleet::{Fleet, Link};

/// Pause before a lost connection is made anew.
const RELINK_MS: u64 = 60;

impl Fleet {
    /// Cuts or heals the way between an entry process and an agent; nothing is reset.
    pub fn cut(&mut self, entry: usize, host: usize, cut: bool) {
        let link = self.links.get_mut(&(entry, host)).unwrap();
        link.cut = cut;
    }

    /// Holds up what is sent to the agent, to the entry process, or neither; nothing is reset.
    pub fn cut_way(&mut self, entry: usize, host: usize, held: (bool, bool)) {
        let link = self.links.get_mut(&(entry, host)).unwrap();
        link.held = held;
    }

    /// Delays what is on its way from an entry process to an agent.
    pub fn delay_orders(&mut self, entry: usize, host: usize, ms: u64) {
        let link = self.links.get_mut(&(entry, host)).unwrap();
        for (due_ms, _) in &mut link.down {
            *due_ms += ms;
        }
    }

    /// Whether an entry process and an agent are connected.
    pub fn is_linked(&self, entry: usize, host: usize) -> bool {
        self.links[&(entry, host)].key.is_some()
    }

    pub fn reset_links(&mut self, which: impl Fn(usize, usize) -> bool) {
        let keys: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (entry, host) in keys {
            if which(entry, host) {
                self.reset_link(entry, host);
            }
        }
    }

    pub fn reset_link(&mut self, entry: usize, host: usize) {
        let relink_ms = self.now_ms + RELINK_MS;
        let link = self.links.get_mut(&(entry, host)).unwrap();
        let Some(key) = link.key.take() else {
            return;
        };
        link.up.clear();
        link.down.clear();
        link.relink_ms = relink_ms;
        self.entry_input(entry, scheduler::Input::LinkDown(key));
        self.agent_input(host, executor::Input::LinkDown(key));
    }

    pub fn relink(&mut self) {
        let keys: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (entry, host) in keys {
            let link = &self.links[&(entry, host)];
            let open = !link.cut && link.held == (false, false);
            let ready = link.key.is_none() && open && self.now_ms >= link.relink_ms;
            let (process, agent) = (&self.entries[entry], &self.hosts[host]);
            let alive = process.machine.is_some() && agent.agent.is_some();
            if !ready || !alive || process.frozen || agent.frozen {
                continue;
            }
            self.connect(entry, host);
        }
    }

    /// Connects an entry process and an agent. An agent that stands still reads of it later.
    pub fn connect(&mut self, entry: usize, host: usize) {
        let key = LinkKey(self.key());
        let peer = |role, name: String, zone, instance| PeerInfo {
            role,
            name: name.into(),
            zone,
            instance: Instance(instance),
            address: "127.0.0.1:1".into(),
            slots: 0,
        };
        let to_agent = peer(
            Role::Entry,
            format!("entry-{entry}"),
            self.zone(entry),
            self.entries[entry].instance,
        );
        let to_entry = peer(
            Role::Agent,
            format!("agent-{host}"),
            self.zone(host),
            self.hosts[host].instance,
        );
        self.links.get_mut(&(entry, host)).unwrap().key = Some(key);
        let input = executor::Input::LinkUp {
            link: key,
            peer: to_agent,
            entries: Vec::new(),
        };
        self.agent_input(host, input);
        let input = scheduler::Input::LinkUp {
            link: key,
            peer: to_entry,
        };
        self.entry_input(entry, input);
    }

    pub fn link_of(&mut self, key: LinkKey) -> Option<((usize, usize), &mut Link)> {
        let mut links = self.links.iter_mut();
        links
            .find(|(_, link)| link.key == Some(key))
            .map(|(at, link)| (*at, link))
    }

    pub fn deliver(&mut self) {
        let keys: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (entry, host) in keys {
            loop {
                let now_ms = self.now_ms;
                let link = self.links.get_mut(&(entry, host)).unwrap();
                let open = !link.cut && !link.held.0;
                let ready = open && link.down.front().is_some_and(|(due, _)| *due <= now_ms);
                let Some(key) = link.key.filter(|_| ready) else {
                    break;
                };
                let (_, body) = link.down.pop_front().unwrap();
                self.agent_input(host, executor::Input::Frame(key, body));
            }
            loop {
                let now_ms = self.now_ms;
                let link = self.links.get_mut(&(entry, host)).unwrap();
                let open = !link.cut && !link.held.1;
                let ready = open && link.up.front().is_some_and(|(due, _)| *due <= now_ms);
                let Some(key) = link.key.filter(|_| ready) else {
                    break;
                };
                let (_, body) = link.up.pop_front().unwrap();
                self.entry_input(entry, scheduler::Input::Frame(key, body));
            }
        }
    }
}
