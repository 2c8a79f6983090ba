//! Identifiers.

use derive_more::{Display, From, Into};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};
use xxhash_rust::xxh3::xxh3_128;

/// Longest job id, in characters.
const MAX_ID_CHARS: usize = 128;

/// Bytes of an encoded job key.
const KEY_BYTES: usize = 16;

/// Result of parsing an identifier.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why text is not an identifier.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The job id has a wrong length or character.
    #[snafu(display("a job id has 1 to {MAX_ID_CHARS} characters of A-Z a-z 0-9 . _ : -"))]
    JobId,
    /// A job key does not have 16 bytes.
    #[snafu(display("a job key has {KEY_BYTES} bytes, found {found}"))]
    JobKey {
        /// Bytes found.
        found: usize,
    },
}

/// Id of a job, chosen by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Into)]
pub struct JobId(SmolStr);

impl JobId {
    /// Checks length and characters of `text`.
    ///
    /// # Errors
    /// [`Error::JobId`] when `text` is not a job id.
    pub fn parse(text: &str) -> Result<Self> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
        let fits = (1..=MAX_ID_CHARS).contains(&text.len()) && text.chars().all(allowed);
        ensure!(fits, JobIdSnafu);
        Ok(Self(text.into()))
    }

    /// Key of the job.
    #[must_use]
    pub fn key(&self) -> JobKey {
        JobKey(xxh3_128(self.0.as_bytes()))
    }

    /// The id as text.
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
    /// Shard of the job among `shards`.
    #[must_use]
    pub fn shard(self, shards: u32) -> Shard {
        let index = self.0 % u128::from(shards.max(1));
        Shard(u32::try_from(index).unwrap_or_default())
    }

    /// Encoded form for messages.
    #[must_use]
    pub fn to_bytes(self) -> bytes::Bytes {
        bytes::Bytes::copy_from_slice(&self.0.to_be_bytes())
    }

    /// Reads the encoded form.
    ///
    /// # Errors
    /// [`Error::JobKey`] when `bytes` has another length.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let array = <[u8; KEY_BYTES]>::try_from(bytes);
        array
            .map(|b| Self(u128::from_be_bytes(b)))
            .or(JobKeySnafu { found: bytes.len() }.fail())
    }
}

/// Part of the job space that one entry process owns at a time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Into, Default,
)]
pub struct Shard(pub u32);

/// Fencing token of a shard; grows with each change of owner.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Into, Default,
)]
pub struct Epoch(pub u64);

/// Random number of one run of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Into)]
#[display("{_0:016x}")]
pub struct Instance(pub u64);

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    /// Job of the task.
    pub job: JobKey,
    /// Position in the job, from 0.
    pub index: u32,
}
