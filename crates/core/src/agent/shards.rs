//! The highest known epoch of each shard and the link to its owner.

use crate::deterministic::DeterministicMap;
use crate::ids::{Epoch, Shard};
use crate::peer::LinkKey;

/// Epoch and owner of a shard.
#[derive(Debug, Clone, Copy, Default)]
struct ShardState {
    epoch: Epoch,
    owner: Option<LinkKey>,
}

/// Epochs and owners of all shards.
#[derive(Debug, Default)]
pub(super) struct ShardOwners {
    shards: DeterministicMap<Shard, ShardState>,
}

impl ShardOwners {
    /// Raises the epoch of a shard and makes `link` its owner.
    ///
    /// # Errors
    /// Returns the highest known epoch if `epoch` is lower.
    pub(super) fn raise_epoch(
        &mut self,
        shard: Shard,
        epoch: Epoch,
        link: LinkKey,
    ) -> Result<(), Epoch> {
        let state = self.shards.entry(shard).or_default();
        if epoch < state.epoch {
            return Err(state.epoch);
        }
        state.epoch = epoch;
        state.owner = Some(link);
        Ok(())
    }

    /// Link to the shard's owner, if it is up.
    pub(super) fn owner(&self, shard: Shard) -> Option<LinkKey> {
        self.shards.get(&shard)?.owner
    }

    /// Clears the owner of the shards that `link` owns.
    pub(super) fn clear_owner(&mut self, link: LinkKey) {
        for state in self.shards.values_mut() {
            if state.owner == Some(link) {
                state.owner = None;
            }
        }
    }
}
