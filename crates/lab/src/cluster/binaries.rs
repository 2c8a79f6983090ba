//! Where the built binaries are.

use std::env;
use std::path::PathBuf;

use super::error::{NoBinarySnafu, Result};

/// Path of a binary of this workspace, beside the current executable or one folder above
/// (tests run in `target/<profile>/deps`).
///
/// # Errors
/// When the binary has not been built.
pub fn find(name: &str) -> Result<PathBuf> {
    let current = env::current_exe().unwrap_or_default();
    for folder in current.ancestors().skip(1).take(2) {
        let path = folder.join(name);
        if path.is_file() {
            return Ok(path);
        }
    }
    NoBinarySnafu { name }.fail()
}
