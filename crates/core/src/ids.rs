//! Identifiers of jobs, tasks, shards and processes.

use derive_more::{Display, From, Into};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};
use xxhash_rust::xxh3::xxh3_128;

/// Maximum length of a job id, in characters.
const MAX_ID_CHARS: usize = 128;

/// Length of an encoded job key, in bytes.
const KEY_BYTES: usize = 16;

/// Result of parsing an identifier.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors of parsing an identifier.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The job id is empty, too long, or contains an invalid character.
    #[snafu(display("a job id has 1 to {MAX_ID_CHARS} characters of A-Z a-z 0-9 . _ : -"))]
    JobId,
    /// The encoded job key is not 16 bytes long.
    #[snafu(display("a job key has {KEY_BYTES} bytes, found {found}"))]
    JobKey {
        /// Length found, in bytes.
        found: usize,
    },
}

/// Id of a job, chosen by the client.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Into)]
pub struct JobId(SmolStr);

impl JobId {
    /// Parses a job id, checking its length and characters.
    ///
    /// # Errors
    /// Returns [`Error::JobId`] if `text` is not a valid job id.
    pub fn parse(text: &str) -> Result<Self> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
        let valid = (1..=MAX_ID_CHARS).contains(&text.len()) && text.chars().all(allowed);
        ensure!(valid, JobIdSnafu);
        Ok(Self(text.into()))
    }

    /// Returns the key of the job.
    #[must_use]
    pub fn key(&self) -> JobKey {
        JobKey(xxh3_128(self.0.as_bytes()))
    }

    /// Returns the id as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// 128-bit hash of a [`JobId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Into)]
#[display("{_0:032x}")]
pub struct JobKey(u128);

impl JobKey {
    /// Returns the shard of the job, given the number of shards.
    #[must_use]
    pub fn shard(self, shards: u32) -> Shard {
        let index = self.0 % u128::from(shards.max(1));
        Shard(u32::try_from(index).unwrap_or_default())
    }

    /// Encodes the key for messages, in big-endian order.
    #[must_use]
    pub fn to_bytes(self) -> bytes::Bytes {
        bytes::Bytes::copy_from_slice(&self.0.to_be_bytes())
    }

    /// Decodes a key from its big-endian form.
    ///
    /// # Errors
    /// Returns [`Error::JobKey`] if `bytes` is not 16 bytes long.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let array = <[u8; KEY_BYTES]>::try_from(bytes);
        array
            .map(|b| Self(u128::from_be_bytes(b)))
            .or(JobKeySnafu { found: bytes.len() }.fail())
    }
}

/// Partition of the job key space. At most one entry process owns it at a time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Into, Default,
)]
pub struct Shard(pub u32);

/// Fencing token of a shard, incremented by each change of ownership.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Into, Default,
)]
pub struct Epoch(pub u64);

/// Random id of a process incarnation; a restarted process has a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Into)]
#[display("{_0:016x}")]
pub struct Instance(pub u64);

/// Reference to a task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    /// Key of the job.
    pub job: JobKey,
    /// Zero-based index of the task in the job.
    pub index: u32,
}
