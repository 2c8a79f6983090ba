//! Settings files.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Reasons why settings cannot be loaded.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("read {}: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Reason.
        source: std::io::Error,
    },
    /// The file is malformed.
    #[snafu(display("parse {}: {source}", path.display()))]
    Parse {
        /// File.
        path: PathBuf,
        /// Reason.
        source: Box<serde_saphyr::Error>,
    },
}

/// Reads a YAML file; without one, the settings have their defaults.
///
/// # Errors
/// [`SettingsError`] when the file cannot be read or is malformed.
pub fn load<T: DeserializeOwned + Default>(path: Option<&Path>) -> Result<T, SettingsError> {
    let Some(path) = path else {
        return Ok(T::default());
    };
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_saphyr::from_str(&text)
        .map_err(Box::new)
        .context(ParseSnafu { path })
}

/// Replaces a setting by an option of the command line.
pub fn replace<T>(setting: &mut T, option: Option<T>) {
    if let Some(value) = option {
        *setting = value;
    }
}
