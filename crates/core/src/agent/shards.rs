//! The highest epoch seen of each shard, and the link of its owner.

use crate::deterministic::DeterministicMap;
use crate::ids::{Epoch, Shard};
use crate::peer::LinkKey;

/// What is known of one shard.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    epoch: Epoch,
    owner: Option<LinkKey>,
}

/// Epochs and owners.
#[derive(Debug, Default)]
pub(super) struct Shards {
    known: DeterministicMap<Shard, Known>,
}

impl Shards {
    /// Takes over `epoch` with `link` as the shard's owner.
    ///
    /// # Errors
    /// The highest epoch seen, when `epoch` is lower.
    pub(super) fn raise(&mut self, shard: Shard, epoch: Epoch, link: LinkKey) -> Result<(), Epoch> {
        let known = self.known.entry(shard).or_default();
        if epoch < known.epoch {
            return Err(known.epoch);
        }
        known.epoch = epoch;
        known.owner = Some(link);
        Ok(())
    }

    /// Link of the shard's owner, when it is up.
    pub(super) fn owner(&self, shard: Shard) -> Option<LinkKey> {
        self.known.get(&shard)?.owner
    }

    /// The link has ended.
    pub(super) fn drop_link(&mut self, link: LinkKey) {
        for known in self.known.values_mut() {
            if known.owner == Some(link) {
                known.owner = None;
            }
        }
    }
}
