//! One launched process.

use std::ffi::OsString;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;

use super::binaries;
use super::error::{Error, Result, SystemSnafu};

/// Time between two looks at a process that is to end.
const POLL: Duration = Duration::from_millis(5);

/// Lines of the log that an error shows.
const LOG_LINES: usize = 20;

/// How to start a process.
#[derive(Debug, Clone)]
pub struct Launch {
    /// Name of the process.
    pub name: String,
    /// Name of the binary.
    pub binary: &'static str,
    /// Arguments.
    pub args: Vec<OsString>,
    /// File that takes standard output and standard error.
    pub log: PathBuf,
}

/// A started process; it is ended when dropped.
#[derive(Debug)]
pub struct Process {
    launch: Launch,
    child: Child,
    ended: Option<ExitStatus>,
}

impl Process {
    /// Starts the process; its log is appended to.
    ///
    /// # Errors
    /// When the binary is missing or the system refuses.
    pub fn spawn(launch: Launch) -> Result<Self> {
        let path = binaries::find(launch.binary)?;
        let name = &launch.name;
        let log = File::options().create(true).append(true).open(&launch.log);
        let log = log.context(SystemSnafu { step: "log", name })?;
        let errors = log.try_clone().context(SystemSnafu { step: "log", name })?;
        let child = Command::new(path)
            .args(&launch.args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .context(SystemSnafu {
                step: "start",
                name,
            })?;
        Ok(Self {
            launch,
            child,
            ended: None,
        })
    }

    /// Process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// How it was started.
    #[must_use]
    pub fn launch(&self) -> &Launch {
        &self.launch
    }

    /// Sends a signal; does nothing after the end of the process.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        if self.status().is_some() {
            return Ok(());
        }
        // The child has not been waited for, so its id cannot belong to another process.
        let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) else {
            return Ok(());
        };
        let sent = kill_process(pid, signal).map_err(std::io::Error::from);
        sent.context(SystemSnafu {
            step: "signal",
            name: &self.launch.name,
        })
    }

    /// Exit status, if the process has ended.
    pub fn status(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten();
        }
        self.ended
    }

    /// Waits for the end of the process, blocking the thread for at most `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while self.status().is_none() && Instant::now() < end {
            thread::sleep(POLL);
        }
        self.ended
    }

    /// An error with the end of the log if the process has ended.
    ///
    /// # Errors
    /// [`Error::Ended`].
    pub fn check(&mut self) -> Result<()> {
        let Some(status) = self.status() else {
            return Ok(());
        };
        Err(Error::Ended {
            name: self.launch.name.clone(),
            status: status.to_string(),
            log: tail(&self.launch.log),
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.status().is_none() {
            // The process may have ended since; there is nobody left to report to.
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

fn tail(path: &Path) -> String {
    let text = fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
}
