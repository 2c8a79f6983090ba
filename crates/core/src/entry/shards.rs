//! Who owns each shard, as far as this process knows.
//!
//! The rows in the store decide; this is a copy that may be older.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedwall_wire::OwnerRow;
use prost::Message;

use super::store_keys;
use crate::ids::{Epoch, Instance, Shard};
use crate::store::Row;

/// What this process does with a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardRole {
    /// Another process owns it, or nobody.
    Foreign,
    /// A claim is on its way to the store.
    Claiming,
    /// It is claimed; the records of former owners are being read.
    Loading,
    /// This process serves it.
    Serving,
    /// A release of it failed or its outcome is unknown; it takes no work until that is known.
    Draining,
    /// The release is on its way to the store.
    Releasing,
}

/// One shard.
#[derive(Debug, Clone)]
pub struct ShardInfo {
    /// Version of the row; 0 when there is none.
    pub version: u64,
    /// Content of the row.
    pub row: OwnerRow,
    /// What this process does with it.
    pub role: ShardRole,
    /// Monotonic time since which it can be claimed.
    pub claimable_since: Option<Duration>,
    /// Monotonic time at which this process claimed it last.
    pub claimed_at: Duration,
}

/// Row of a shard that this process owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedRow {
    /// Version of the row.
    pub version: u64,
    /// Epoch of the shard.
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

/// All shards.
#[derive(Debug, Default)]
pub struct Shards {
    list: Vec<ShardInfo>,
    owned: BTreeMap<Shard, OwnedRow>,
}

impl Shards {
    /// Sets the number of shards, once.
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

    /// Number of shards; 0 before it is known.
    pub fn count(&self) -> u32 {
        u32::try_from(self.list.len()).unwrap_or(u32::MAX)
    }

    /// A shard.
    pub fn get(&self, shard: Shard) -> Option<&ShardInfo> {
        self.list.get(shard.0 as usize)
    }

    /// A shard, for changes other than of its role or row.
    pub fn get_mut(&mut self, shard: Shard) -> Option<&mut ShardInfo> {
        self.list.get_mut(shard.0 as usize)
    }

    /// All shards.
    pub fn iter(&self) -> impl Iterator<Item = (Shard, &ShardInfo)> {
        self.list
            .iter()
            .enumerate()
            .map(|(i, info)| (Shard(u32::try_from(i).unwrap_or(0)), info))
    }

    /// Rows of shards that this process owns.
    pub fn owned(&self) -> &BTreeMap<Shard, OwnedRow> {
        &self.owned
    }

    /// Role of a shard.
    pub fn role(&self, shard: Shard) -> ShardRole {
        self.get(shard).map_or(ShardRole::Foreign, |info| info.role)
    }

    /// Epoch of a shard.
    pub fn epoch(&self, shard: Shard) -> Epoch {
        Epoch(self.get(shard).map_or(0, |info| info.row.epoch))
    }

    /// Sets the role of a shard.
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
            | ShardRole::Draining
            | ShardRole::Releasing => {
                self.owned.insert(shard, info.owned());
            }
        }
    }

    /// Takes a row as it is in the store, unless a newer one is known. Returns whether it is news.
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

    /// Whether the row names `instance` as the owner.
    pub fn is_owner(&self, shard: Shard, instance: Instance) -> bool {
        self.get(shard)
            .is_some_and(|info| info.row.owner == instance.0)
    }
}

/// Reads the row of an owner. `None` when the row is not one.
pub fn decode_owner(row: &Row) -> Option<(Shard, OwnerRow)> {
    let shard = store_keys::parse_owner(&row.key)?;
    Some((shard, OwnerRow::decode(row.value.as_ref()).ok()?))
}
