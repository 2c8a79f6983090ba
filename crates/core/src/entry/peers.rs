//! Other entry processes: connections, liveness, and ranking of processes per shard.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Instance, Shard};
use crate::peer::{LinkKey, PeerInfo};

/// Silence after which a peer no longer counts as alive.
pub const ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a change of its liveness counter after which a silent process counts as dead.
const DEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between reads of a liveness counter.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Another entry process.
#[derive(Debug)]
pub struct Peer {
    /// Identity sent in the handshake.
    pub info: PeerInfo,
    /// Current connection, if any.
    pub link: Option<LinkKey>,
    /// Monotonic time at which the connection was opened.
    pub connected_at: Duration,
    /// Monotonic time of the last received frame.
    pub last_heard: Duration,
    /// Whether the peer has announced that it is leaving.
    pub leaving: bool,
}

impl Peer {
    /// Returns whether the peer is connected and has sent a frame recently.
    pub fn is_alive(&self, now: Duration) -> bool {
        self.link.is_some() && now.saturating_sub(self.last_heard) < ALIVE_TIMEOUT
    }
}

/// Other entry processes by name.
#[derive(Debug, Default)]
pub struct Peers {
    by_name: BTreeMap<SmolStr, Peer>,
}

impl Peers {
    /// Adds or replaces a peer. Returns the connection that was replaced.
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

    /// Removes a connection. Returns whether it was the current connection of a peer.
    pub fn disconnect(&mut self, link: LinkKey) -> bool {
        for peer in self.by_name.values_mut() {
            if peer.link == Some(link) {
                peer.link = None;
                return true;
            }
        }
        false
    }

    /// Returns the peer on a connection.
    pub fn by_link(&mut self, link: LinkKey) -> Option<&mut Peer> {
        self.by_name
            .values_mut()
            .find(|peer| peer.link == Some(link))
    }

    /// Returns the connection to an instance if it is alive.
    pub fn link_of(&self, now: Duration, instance: Instance) -> Option<LinkKey> {
        let of_instance = |peer: &&Peer| peer.info.instance == instance && peer.is_alive(now);
        self.by_name.values().find(of_instance)?.link
    }

    /// Returns the connection to an available peer other than `from`, to forward a request over.
    pub fn relay_link(&self, now: Duration, from: Option<LinkKey>) -> Option<LinkKey> {
        let other = |peer: &&Peer| peer.link != from;
        self.available(now).find(other)?.link
    }

    /// Returns whether a different instance is connected under this name.
    pub fn has_other_instance(&self, name: &str, instance: Instance) -> bool {
        self.by_name
            .get(name)
            .is_some_and(|peer| peer.link.is_some() && peer.info.instance != instance)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_name.values()
    }

    /// Returns whether any peer is connected and not leaving. Unlike [`Self::available`], counts
    /// peers that have been silent for [`ALIVE_TIMEOUT`] while their connection is open.
    pub fn has_successor(&self) -> bool {
        self.by_name
            .values()
            .any(|peer| peer.link.is_some() && !peer.leaving)
    }

    /// Iterates over peers that are alive and not leaving.
    pub fn available(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.by_name
            .values()
            .filter(move |peer| peer.is_alive(now) && !peer.leaving)
    }

    /// Returns the rank of `own` among the available processes for a shard. Rank 0 is the preferred
    /// owner.
    pub fn owner_rank(&self, now: Duration, own: &str, shard: Shard) -> u32 {
        let own_weight = weight(own, shard);
        let mut rank = 0;
        for peer in self.available(now) {
            if weight(&peer.info.name, shard) > own_weight {
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

/// Liveness check of a silent process through its counter in the store.
#[derive(Debug, Default)]
pub struct LivenessProbe {
    last_change: Option<(Instance, u64, Duration)>,
    next_read: Duration,
    dead: bool,
}

impl LivenessProbe {
    /// Returns whether the counter should be read now, and schedules the next read.
    pub fn is_due(&mut self, now: Duration) -> bool {
        if self.dead || now < self.next_read {
            return false;
        }
        self.next_read = now + PROBE_INTERVAL;
        true
    }

    /// Records a reading of the counter of `instance`. `None` means that the row does not exist.
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

    /// Returns whether the process is considered dead: its row is missing, names another instance,
    /// or holds a counter that has stopped changing.
    pub fn is_dead(&self) -> bool {
        self.dead
    }
}
