//! A log of what happens on the workers, beside the logs of the processes.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::SystemTime;

use serde_json::json;

/// The log; its lines have the form of those of the processes.
#[derive(Debug)]
pub(super) struct Record(Mutex<File>);

impl Record {
    /// Creates the log in a folder.
    pub(super) fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("workers.log"))?;
        Ok(Self(Mutex::new(file)))
    }

    /// Adds a line about a run, or about the worker as a whole.
    pub(super) fn add(&self, worker: usize, message: &str, run: &str) {
        let ts = humantime::format_rfc3339_micros(SystemTime::now()).to_string();
        let process = format!("worker-{}", worker + 1);
        let line = json!({"ts": ts, "process": process, "msg": message, "run": run});
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        // The log only helps to find causes; the checks do not need it.
        let _written = writeln!(file, "{line}");
    }
}
