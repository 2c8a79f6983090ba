//! Keys of rows and objects in the platform's store.

use bytes::Bytes;
use smol_str::{SmolStr, format_smolstr};

use crate::ids::{Instance, Shard};

/// Key of the configuration row.
pub const CONFIG: &str = "config/current";

/// Key of the row with the number of shards.
pub const SHARD_COUNT: &str = "config/shards";

/// Key prefix of owner rows.
pub const OWNER_PREFIX: &str = "owner/";

/// Key prefix of audit records.
pub const AUDIT_PREFIX: &str = "audit/";

/// Key of a shard's owner row.
pub fn owner(shard: Shard) -> SmolStr {
    format_smolstr!("{OWNER_PREFIX}{:06}", shard.0)
}

/// Parses the shard out of the key of an owner row.
pub fn parse_owner(key: &str) -> Option<Shard> {
    key.strip_prefix(OWNER_PREFIX)?.parse().ok().map(Shard)
}

/// Key of a row of the journal written by instance `journal`. Keys sort by `seq`.
pub fn journal(journal: Instance, seq: u64) -> SmolStr {
    format_smolstr!("journal/{journal}/{seq:016x}")
}

/// Key prefix of a journal's rows.
pub fn journal_prefix(journal: Instance) -> SmolStr {
    format_smolstr!("journal/{journal}/")
}

/// Key of the checkpoint object `number` of a journal.
pub fn checkpoint(journal: Instance, number: u64) -> SmolStr {
    format_smolstr!("checkpoint/{journal}/{number:016x}")
}

/// Key of the row that refers to the latest checkpoint of a journal.
pub fn checkpoint_pointer(journal: Instance) -> SmolStr {
    format_smolstr!("log/{journal}")
}

/// Encodes a checkpoint pointer: the checkpoint number and the last journal row it covers.
pub fn checkpoint_pointer_value(number: u64, seq: u64) -> Bytes {
    format!("{number:016x} {seq:016x}").into()
}

/// Decodes a checkpoint pointer into the checkpoint number and the last journal row it covers.
pub fn parse_checkpoint_pointer(value: &[u8]) -> Option<(u64, u64)> {
    let (number, seq) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    Some((
        u64::from_str_radix(number, 16).ok()?,
        u64::from_str_radix(seq, 16).ok()?,
    ))
}

/// Key of the liveness counter of an entry process.
pub fn liveness(name: &str) -> SmolStr {
    format_smolstr!("live/{name}")
}

/// Key of an audit record. Keys sort by version.
pub fn audit(version: u64) -> SmolStr {
    format_smolstr!("{AUDIT_PREFIX}{version:016x}")
}
