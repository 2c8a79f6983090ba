//! Local copy of the shard ownership table.
//!
//! The rows in the store are authoritative; this copy may be stale.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedwall_wire::OwnerRow;
use prost::Message;

use super::store_keys;
use crate::ids::{Epoch, Instance, Shard};
use crate::store::Row;

/// State of a shard from the point of view of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardRole {
    /// Owned by another process or by none.
    Foreign,
    /// A claim is in flight.
    Claiming,
    /// Claimed; the records of former owners are being read.
    Loading,
    /// Owned and served by this process.
    Serving,
    /// A release conflicted or its outcome is unknown. The shard accepts no work; the release is
    /// retried unless the owner row shows that it took effect.
    ReleaseUnconfirmed,
    /// A release is in flight.
    Releasing,
}

#[derive(Debug, Clone)]
pub struct ShardInfo {
    /// Version of the owner row; 0 if there is none.
    pub version: u64,
    pub row: OwnerRow,
    pub role: ShardRole,
    /// Monotonic time since which the shard is claimable.
    pub claimable_since: Option<Duration>,
    /// Monotonic time of the last claim by this process.
    pub claimed_at: Duration,
}

/// Version and epoch of the owner row of a shard owned by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedRow {
    pub version: u64,
    pub epoch: Epoch,
}

impl ShardInfo {
    fn owned(&self) -> OwnedRow {
        OwnedRow {
            version: self.version,
            epoch: Epoch(self.row.epoch),
        }
    }
}

/// All shards, indexed by shard number.
#[derive(Debug, Default)]
pub struct Shards {
    list: Vec<ShardInfo>,
    owned: BTreeMap<Shard, OwnedRow>,
}

impl Shards {
    /// Sets the number of shards. Must be called once.
    pub fn set_count(&mut self, count: u32) {
        let info = ShardInfo {
            version: 0,
            row: OwnerRow::default(),
            role: ShardRole::Foreign,
            claimable_since: None,
            claimed_at: Duration::ZERO,
        };
        self.list = vec![info; count as usize];
    }

    /// Returns the number of shards; 0 before it is known.
    pub fn count(&self) -> u32 {
        u32::try_from(self.list.len()).unwrap_or(u32::MAX)
    }

    pub fn get(&self, shard: Shard) -> Option<&ShardInfo> {
        self.list.get(shard.0 as usize)
    }

    /// Returns a mutable reference to a shard. Its role and row must be changed only with
    /// [`Self::set_role`] and [`Self::update_row`], which also update the set of owned shards.
    pub fn get_mut(&mut self, shard: Shard) -> Option<&mut ShardInfo> {
        self.list.get_mut(shard.0 as usize)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Shard, &ShardInfo)> {
        self.list
            .iter()
            .enumerate()
            .map(|(i, info)| (Shard(u32::try_from(i).unwrap_or(0)), info))
    }

    /// Returns the owner rows of shards owned by this process.
    pub fn owned(&self) -> &BTreeMap<Shard, OwnedRow> {
        &self.owned
    }

    /// Returns the role of a shard; shards out of range are `Foreign`.
    pub fn role(&self, shard: Shard) -> ShardRole {
        self.get(shard).map_or(ShardRole::Foreign, |info| info.role)
    }

    /// Returns the epoch of a shard; 0 if there is no row.
    pub fn epoch(&self, shard: Shard) -> Epoch {
        Epoch(self.get(shard).map_or(0, |info| info.row.epoch))
    }

    /// Sets the role of a shard and updates the set of owned shards.
    pub fn set_role(&mut self, shard: Shard, role: ShardRole) {
        let Some(info) = self.list.get_mut(shard.0 as usize) else {
            return;
        };
        info.role = role;
        match role {
            ShardRole::Foreign | ShardRole::Claiming => {
                self.owned.remove(&shard);
            }
            ShardRole::Loading
            | ShardRole::Serving
            | ShardRole::ReleaseUnconfirmed
            | ShardRole::Releasing => {
                self.owned.insert(shard, info.owned());
            }
        }
    }

    /// Stores a row read from the store unless a newer version is known. Returns whether the copy
    /// changed.
    pub fn update_row(&mut self, shard: Shard, version: u64, row: OwnerRow) -> bool {
        let Some(info) = self.list.get_mut(shard.0 as usize) else {
            return false;
        };
        if version <= info.version {
            return false;
        }
        info.version = version;
        info.row = row;
        info.claimable_since = None;
        if let Some(owned) = self.owned.get_mut(&shard) {
            *owned = info.owned();
        }
        true
    }

    /// Returns whether the row names `instance` as the owner.
    pub fn is_owner(&self, shard: Shard, instance: Instance) -> bool {
        self.get(shard)
            .is_some_and(|info| info.row.owner == instance.0)
    }
}

/// Decodes an owner row. Returns `None` for any other or malformed row.
pub fn decode_owner(row: &Row) -> Option<(Shard, OwnerRow)> {
    let shard = store_keys::parse_owner(&row.key)?;
    Some((shard, OwnerRow::decode(row.value.as_ref()).ok()?))
}
