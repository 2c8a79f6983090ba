//! Connections between entry processes, and their calls to the store.

use std::collections::VecDeque;

use knapweedwall_core::scheduler::Input;
use knapweedwall_core::{Instance, LinkKey, PeerInfo, Role};
use knapweedwall_wire::frame::Body;

use crate::fleet::Fleet;

/// Way between two processes.
const WAY_MS: u64 = 1;

/// Pause before a lost connection is made anew.
const RELINK_MS: u64 = 60;

/// A connection between two entry processes; the first has the lower position.
#[derive(Debug, Default)]
pub struct PeerLink {
    ends: (usize, usize),
    pub key: Option<LinkKey>,
    /// Frames to the second and to the first process, with the time of arrival.
    down: VecDeque<(u64, Body)>,
    up: VecDeque<(u64, Body)>,
    pub cut: bool,
    relink_ms: u64,
}

impl PeerLink {
    pub fn new(first: usize, second: usize) -> Self {
        Self {
            ends: (first, second),
            ..Self::default()
        }
    }
}

impl Fleet {
    /// Cuts or heals the way between two entry processes; nothing is reset.
    pub fn cut_peers(&mut self, one: usize, other: usize, cut: bool) {
        let ends = (one.min(other), one.max(other));
        let links = self.peers.iter_mut();
        for link in links.filter(|link| link.ends == ends) {
            link.cut = cut;
        }
    }

    pub fn reset_peers(&mut self, which: impl Fn(usize, usize) -> bool) {
        for at in 0..self.peers.len() {
            let (first, second) = self.peers[at].ends;
            if which(first, second) {
                self.reset_peer(at);
            }
        }
    }

    fn reset_peer(&mut self, at: usize) {
        let link = &mut self.peers[at];
        let Some(key) = link.key.take() else {
            return;
        };
        link.up.clear();
        link.down.clear();
        link.relink_ms = self.now_ms + RELINK_MS;
        let (first, second) = link.ends;
        self.entry_input(first, Input::LinkDown(key));
        self.entry_input(second, Input::LinkDown(key));
    }

    /// Delivers the frames that an entry process has sent to others.
    pub fn flush_peer_links(&mut self, from: usize) {
        for at in 0..self.peers.len() {
            let link = &mut self.peers[at];
            let Some(key) = link.key.filter(|_| !link.cut) else {
                continue;
            };
            let (to, frames) = match link.ends {
                (first, second) if first == from => (second, std::mem::take(&mut link.down)),
                (first, second) if second == from => (first, std::mem::take(&mut link.up)),
                _ => continue,
            };
            for (_, body) in frames {
                self.entry_input(to, Input::Frame(key, body));
            }
        }
    }

    /// Closes the connection between entry processes with this key; false when there is none.
    pub fn close_peer(&mut self, key: LinkKey) -> bool {
        let found = self.peers.iter().position(|link| link.key == Some(key));
        if let Some(at) = found {
            self.reset_peer(at);
        }
        found.is_some()
    }

    /// Sends a frame on the connection between entry processes with this key.
    pub fn send_peer(&mut self, from: usize, key: LinkKey, body: Body) {
        let due = self.now_ms + WAY_MS;
        let links = self.peers.iter_mut();
        for link in links.filter(|link| link.key == Some(key)) {
            if from == link.ends.0 {
                link.down.push_back((due, body.clone()));
            } else {
                link.up.push_back((due, body.clone()));
            }
        }
    }

    pub fn relink_peers(&mut self) {
        for at in 0..self.peers.len() {
            let link = &self.peers[at];
            let (first, second) = link.ends;
            let ready = link.key.is_none() && !link.cut && self.now_ms >= link.relink_ms;
            if ready && self.refuses_connections(at) {
                continue;
            }
            if !ready || !self.is_awake(first) || !self.is_awake(second) {
                continue;
            }
            let key = LinkKey(self.key());
            self.peers[at].key = Some(key);
            for (to, other) in [(first, second), (second, first)] {
                let peer = PeerInfo {
                    role: Role::Entry,
                    name: format!("entry-{other}").into(),
                    zone: "a".into(),
                    instance: Instance(self.instance_of(other)),
                    address: format!("127.0.0.1:{other}").into(),
                    slots: 0,
                };
                self.entry_input(to, Input::LinkUp { link: key, peer });
            }
        }
    }

    /// Lets the host of a process that has ended refuse the connection of the other one.
    fn refuses_connections(&mut self, at: usize) -> bool {
        let (first, second) = self.peers[at].ends;
        for (from, to) in [(first, second), (second, first)] {
            if !self.has_entry(to) && self.is_awake(from) {
                self.peers[at].relink_ms = self.now_ms + RELINK_MS;
                let address = format!("127.0.0.1:{to}").into();
                self.entry_input(from, Input::EntryRefused(address));
                return true;
            }
        }
        false
    }

    pub fn deliver_peers(&mut self) {
        for at in 0..self.peers.len() {
            loop {
                let now_ms = self.now_ms;
                let link = &mut self.peers[at];
                let Some(key) = link.key.filter(|_| !link.cut) else {
                    break;
                };
                let (first, second) = link.ends;
                let is_due = |frames: &VecDeque<(u64, Body)>| {
                    frames.front().is_some_and(|(due, _)| *due <= now_ms)
                };
                let (to, frame) = if is_due(&link.down) {
                    (second, link.down.pop_front())
                } else if is_due(&link.up) {
                    (first, link.up.pop_front())
                } else {
                    break;
                };
                if let Some((_, body)) = frame {
                    self.entry_input(to, Input::Frame(key, body));
                }
            }
        }
    }

    pub fn deliver_store(&mut self) {
        for (entry, instance, key, outcome) in self.store.pass(self.now_ms) {
            if self.instance_of(entry) == instance {
                let clock_ms = self.store.clock(self.now_ms, &outcome);
                let input = Input::StoreResult {
                    call: key,
                    outcome,
                    clock_ms,
                };
                self.entry_input(entry, input);
            }
        }
    }
}
