//! Temporary folder of a cluster.

use std::path::{Path, PathBuf};

use snafu::ResultExt;
use tempfile::TempDir;

use super::error::{Result, SystemSnafu};

/// A folder for settings and logs, deleted when dropped unless the environment variable
/// `KNAPWEEDWALL_KEEP` is set or the thread panics (so that the logs of a failed test remain).
#[derive(Debug)]
pub struct Dir {
    temp: TempDir,
}

impl Dir {
    /// Makes the folder.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn open() -> Result<Self> {
        let temp = tempfile::Builder::new().prefix("knapweedwall-").tempdir();
        let temp = temp.context(SystemSnafu {
            step: "create",
            name: "temporary folder",
        })?;
        Ok(Self { temp })
    }

    /// Path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        self.temp.path()
    }

    /// Leaves the folder in place when this value is dropped. Returns its path.
    pub fn keep(&mut self) -> PathBuf {
        self.temp.disable_cleanup(true);
        self.temp.path().to_owned()
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        if std::env::var_os("KNAPWEEDWALL_KEEP").is_some() || std::thread::panicking() {
            self.temp.disable_cleanup(true);
        }
    }
}
