//! Keys of the rows and objects in the platform's store.

use bytes::Bytes;
use smol_str::{SmolStr, format_smolstr};

use crate::ids::{Instance, Shard};

/// Row of the configuration.
pub const CONFIG: &str = "config/current";

/// Row of the number of shards.
pub const SHARD_COUNT: &str = "config/shards";

/// Start of the rows of owners.
pub const OWNER_PREFIX: &str = "owner/";

/// Start of the rows of audit records.
pub const AUDIT_PREFIX: &str = "audit/";

/// Row of the owner of a shard.
pub fn owner(shard: Shard) -> SmolStr {
    format_smolstr!("{OWNER_PREFIX}{:06}", shard.0)
}

/// Shard of an owner's row.
pub fn parse_owner(key: &str) -> Option<Shard> {
    key.strip_prefix(OWNER_PREFIX)?.parse().ok().map(Shard)
}

/// Row of a journal batch. Keys are in the order of `seq`.
pub fn journal(log: Instance, seq: u64) -> SmolStr {
    format_smolstr!("journal/{log}/{seq:016x}")
}

/// Start of the rows of a journal.
pub fn journal_prefix(log: Instance) -> SmolStr {
    format_smolstr!("journal/{log}/")
}

/// Object of a journal's checkpoint with this number.
pub fn checkpoint(log: Instance, number: u64) -> SmolStr {
    format_smolstr!("checkpoint/{log}/{number:016x}")
}

/// Row that names the newest checkpoint of a journal.
pub fn checkpoint_pointer(log: Instance) -> SmolStr {
    format_smolstr!("log/{log}")
}

/// Value of a pointer's row: the number of the checkpoint and the last journal row in it.
pub fn checkpoint_pointer_value(number: u64, seq: u64) -> Bytes {
    format!("{number:016x} {seq:016x}").into()
}

/// Reads the value of a pointer's row.
pub fn parse_checkpoint_pointer(value: &[u8]) -> Option<(u64, u64)> {
    let (number, seq) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    Some((
        u64::from_str_radix(number, 16).ok()?,
        u64::from_str_radix(seq, 16).ok()?,
    ))
}

/// Row of the liveness counter of an entry process.
pub fn liveness(name: &str) -> SmolStr {
    format_smolstr!("live/{name}")
}

/// Row of an audit record. Keys are in the order of versions.
pub fn audit(version: u64) -> SmolStr {
    format_smolstr!("{AUDIT_PREFIX}{version:016x}")
}
