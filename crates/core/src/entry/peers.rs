//! Other entry processes: connections, signs of life, and the rank of each process for a shard.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Instance, Shard};
use crate::peer::{LinkKey, PeerInfo};

/// Silence after which a peer does not count as alive.
pub const ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the counter in the store must stand still before its process counts as dead.
const DEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two reads of a counter.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Another entry process.
#[derive(Debug)]
pub struct Peer {
    /// How it introduced itself.
    pub info: PeerInfo,
    /// The connection, while there is one.
    pub link: Option<LinkKey>,
    /// Monotonic time since which there is a connection.
    pub connected_at: Duration,
    /// Monotonic time of the last frame.
    pub last_heard: Duration,
    /// Whether it said that it leaves.
    pub leaving: bool,
}

impl Peer {
    /// Whether frames came lately.
    pub fn is_alive(&self, now: Duration) -> bool {
        self.link.is_some() && now.saturating_sub(self.last_heard) < ALIVE_TIMEOUT
    }
}

/// All other entry processes, by name.
#[derive(Debug, Default)]
pub struct Peers {
    by_name: BTreeMap<SmolStr, Peer>,
}

impl Peers {
    /// Adds or replaces the connection of a peer. Returns the connection that it replaces.
    pub fn connect(&mut self, now: Duration, link: LinkKey, info: PeerInfo) -> Option<LinkKey> {
        let name = info.name.clone();
        let peer = Peer {
            info,
            link: Some(link),
            connected_at: now,
            last_heard: now,
            leaving: false,
        };
        self.by_name.insert(name, peer).and_then(|old| old.link)
    }

    /// Notes that a connection is gone. Returns whether it was a peer's present one.
    pub fn disconnect(&mut self, link: LinkKey) -> bool {
        for peer in self.by_name.values_mut() {
            if peer.link == Some(link) {
                peer.link = None;
                return true;
            }
        }
        false
    }

    /// The peer of a connection.
    pub fn by_link(&mut self, link: LinkKey) -> Option<&mut Peer> {
        self.by_name
            .values_mut()
            .find(|peer| peer.link == Some(link))
    }

    /// The connection to an instance, if it is alive.
    pub fn link_of(&self, now: Duration, instance: Instance) -> Option<LinkKey> {
        let of_instance = |peer: &&Peer| peer.info.instance == instance && peer.is_alive(now);
        self.by_name.values().find(of_instance)?.link
    }

    /// A peer that can pass a request on, other than the one that it came from.
    pub fn relay_link(&self, now: Duration, from: Option<LinkKey>) -> Option<LinkKey> {
        let other = |peer: &&Peer| peer.link != from;
        self.available(now).find(other)?.link
    }

    /// Whether an instance of this name other than `instance` is connected.
    pub fn has_other_instance(&self, name: &str, instance: Instance) -> bool {
        self.by_name
            .get(name)
            .is_some_and(|peer| peer.link.is_some() && peer.info.instance != instance)
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_name.values()
    }

    /// Whether a peer is connected and not leaving, even if it has been silent for a moment.
    pub fn has_successor(&self) -> bool {
        self.by_name
            .values()
            .any(|peer| peer.link.is_some() && !peer.leaving)
    }

    /// Peers that are alive and not leaving.
    pub fn available(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.by_name
            .values()
            .filter(move |peer| peer.is_alive(now) && !peer.leaving)
    }

    /// Rank of `own` among the living for a shard: 0 is the process that should own it.
    pub fn owner_rank(&self, now: Duration, own: &str, shard: Shard) -> u32 {
        let weight = weight(own, shard);
        let mut rank = 0;
        for peer in self.available(now) {
            if self::weight(&peer.info.name, shard) > weight {
                rank += 1;
            }
        }
        rank
    }
}

/// Weight of a process for a shard (rendezvous hashing).
fn weight(name: &str, shard: Shard) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(shard.0))
}

/// Reads of the counter of a process that is silent.
#[derive(Debug, Default)]
pub struct LivenessProbe {
    last_change: Option<(Instance, u64, Duration)>,
    next_read: Duration,
    dead: bool,
}

impl LivenessProbe {
    /// Whether the counter should be read now.
    pub fn is_due(&mut self, now: Duration) -> bool {
        if self.dead || now < self.next_read {
            return false;
        }
        self.next_read = now + PROBE_INTERVAL;
        true
    }

    /// Takes a reading for `instance`. `None` means that the row does not exist.
    pub fn observe(&mut self, now: Duration, instance: Instance, row: Option<(Instance, u64)>) {
        match (row, self.last_change) {
            (None, _) => self.dead = true,
            (Some((found, _)), _) if found != instance => self.dead = true,
            (Some((found, counter)), Some((seen, last, since)))
                if found == seen && counter == last =>
            {
                self.dead = now.saturating_sub(since) >= DEAD_TIMEOUT;
            }
            (Some((found, counter)), _) => self.last_change = Some((found, counter, now)),
        }
    }

    /// Whether the process is dead: silent here, and its counter stands still in the store.
    pub fn is_dead(&self) -> bool {
        self.dead
    }
}
