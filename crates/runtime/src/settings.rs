//! Loading and validation of settings files in YAML.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::time::Duration;

use garde::Validate;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Result of loading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why settings cannot be loaded.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file does not hold valid settings.
    #[snafu(display("{}: {source}", path.display()))]
    Content {
        /// The file.
        path: PathBuf,
        /// Each error with its line, column and field.
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
}

/// Reads and validates the settings in the file `path`.
///
/// # Errors
/// [`Error`] if the file cannot be read or its content is invalid. A syntax or type error, such as
/// an unknown field, is reported alone; invalid values are all reported together.
pub fn load<T>(path: &Path) -> Result<T>
where
    T: DeserializeOwned + Validate,
    T::Context: Default,
{
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_saphyr::from_str_valid(&text).context(ContentSnafu { path })
}

/// Parses and validates settings from a string.
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

/// Validator for `garde(custom(..))`: a duration from `min` to `max`, inclusive.
pub fn duration_within(
    min: Duration,
    max: Duration,
) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |found, ()| {
        if (min..=max).contains(found) {
            return Ok(());
        }
        Err(garde::Error::new(format!(
            "found {found:?}, expected {min:?} to {max:?}"
        )))
    }
}

/// Validator for `garde(custom(..))`: a number from `min` to `max`, inclusive.
pub fn number_within<N: PartialOrd + Display>(
    min: N,
    max: N,
) -> impl FnOnce(&N, &()) -> garde::Result {
    move |found, ()| {
        if (&min..=&max).contains(&found) {
            return Ok(());
        }
        Err(garde::Error::new(format!(
            "found {found}, expected {min} to {max}"
        )))
    }
}

/// Validator for `garde(custom(..))`: a size from `min` to `max` bytes, inclusive.
pub fn size_within(min: u64, max: u64) -> impl FnOnce(&crate::ByteSize, &()) -> garde::Result {
    move |found, ()| {
        if (min..=max).contains(&found.0) {
            return Ok(());
        }
        let (min, max) = (crate::ByteSize(min), crate::ByteSize(max));
        Err(garde::Error::new(format!(
            "found {found}, expected {min} to {max}"
        )))
    }
}

/// Validator for `garde(custom(..))`: an IP address with a port.
///
/// # Errors
/// A message that quotes the invalid value.
pub fn socket_address(found: &str, (): &()) -> garde::Result {
    match found.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(garde::Error::new(format!(
            "found {found:?}, expected an IP address with a port"
        ))),
    }
}

/// Validator for `garde(custom(..))`: the name of a process or zone.
///
/// # Errors
/// A message that quotes the invalid value.
pub fn process_name(found: &str, (): &()) -> garde::Result {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if (1..=64).contains(&found.len()) && found.chars().all(allowed) {
        return Ok(());
    }
    Err(garde::Error::new(format!(
        "found {found:?}, expected 1 to 64 characters of A-Z a-z 0-9 - _ ."
    )))
}
