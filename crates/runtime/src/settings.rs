//! Settings files in YAML.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::time::Duration;

use garde::Validate;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Result of loading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why settings cannot be used.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file does not hold valid settings.
    #[snafu(display("{}: {source}", path.display()))]
    Content {
        /// The file.
        path: PathBuf,
        /// Each fault with its line, column and field.
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
}

/// Reads and checks the settings in the file `path`.
///
/// # Errors
/// [`Error`] with all faults that could be found. A fault of form (a wrong type, an unknown
/// field) is reported alone; faults of value are reported together.
pub fn load<T>(path: &Path) -> Result<T>
where
    T: DeserializeOwned + Validate,
    T::Context: Default,
{
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_saphyr::from_str_valid(&text).context(ContentSnafu { path })
}

/// Checks settings that are in memory.
///
/// # Errors
/// As for [`load`], with `-` as the name of the file.
pub fn parse<T>(text: &str) -> Result<T>
where
    T: DeserializeOwned + Validate,
    T::Context: Default,
{
    serde_saphyr::from_str_valid(text).context(ContentSnafu { path: "-" })
}

/// Check for `garde(custom(..))`: a duration from `shortest` to `longest`.
pub fn duration_within(
    shortest: Duration,
    longest: Duration,
) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |found, ()| {
        if (shortest..=longest).contains(found) {
            return Ok(());
        }
        Err(garde::Error::new(format!(
            "found {found:?}, allowed is {shortest:?} to {longest:?}"
        )))
    }
}

/// Check for `garde(custom(..))`: a number from `smallest` to `largest`.
pub fn number_within<N: PartialOrd + Display>(
    smallest: N,
    largest: N,
) -> impl FnOnce(&N, &()) -> garde::Result {
    move |found, ()| {
        if (&smallest..=&largest).contains(&found) {
            return Ok(());
        }
        Err(garde::Error::new(format!(
            "found {found}, allowed is {smallest} to {largest}"
        )))
    }
}

/// Check for `garde(custom(..))`: a size from `smallest` to `largest`, both in bytes.
pub fn size_within(
    smallest: u64,
    largest: u64,
) -> impl FnOnce(&crate::ByteSize, &()) -> garde::Result {
    move |found, ()| {
        if (smallest..=largest).contains(&found.0) {
            return Ok(());
        }
        let (smallest, largest) = (crate::ByteSize(smallest), crate::ByteSize(largest));
        Err(garde::Error::new(format!(
            "found {found}, allowed is {smallest} to {largest}"
        )))
    }
}

/// Check for `garde(custom(..))`: an IP address with a port.
///
/// # Errors
/// A message with the text found.
pub fn socket_address(found: &str, (): &()) -> garde::Result {
    match found.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(garde::Error::new(format!(
            "found {found:?}, allowed is an IP address with a port"
        ))),
    }
}

/// Check for `garde(custom(..))`: the name of a process or zone.
///
/// # Errors
/// A message with the text found.
pub fn process_name(found: &str, (): &()) -> garde::Result {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if (1..=64).contains(&found.len()) && found.chars().all(allowed) {
        return Ok(());
    }
    Err(garde::Error::new(format!(
        "found {found:?}, allowed are 1 to 64 characters of A-Z a-z 0-9 - _ ."
    )))
}
