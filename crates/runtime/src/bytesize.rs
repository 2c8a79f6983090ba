//! Byte sizes with units, as written in settings.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, de};
use snafu::{OptionExt, Snafu};

/// Units with their factors, largest first.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Error of parsing a [`ByteSize`].
#[derive(Debug, Snafu)]
#[snafu(display("found {found:?}, expected a whole number with B, KiB, MiB or GiB"))]
pub struct Error {
    found: String,
}

/// A size in bytes, written as a whole number with a unit, such as `64MiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// Returns the size as a `usize`, capped at `usize::MAX`.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl FromStr for ByteSize {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let size = || {
            let (unit, factor) = UNITS.iter().find(|(unit, _)| text.ends_with(unit))?;
            let number = text.strip_suffix(unit)?.trim_end();
            number.parse::<u64>().ok()?.checked_mul(*factor).map(Self)
        };
        size().context(Snafu { found: text })
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |(_, factor): &&(&str, u64)| self.0 >= *factor && self.0.is_multiple_of(*factor);
        let (unit, factor) = UNITS.iter().find(fits).unwrap_or(&UNITS[3]);
        write!(f, "{}{unit}", self.0 / factor)
    }
}

impl<'de> Deserialize<'de> for ByteSize {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
