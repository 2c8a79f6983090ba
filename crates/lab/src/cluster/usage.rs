//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::time::Duration;

use super::error::{Error, Result};

/// Kilobytes of `/proc/PID/status` in bytes.
const KILO: u64 = 1024;

/// What a process has used so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Processor time of all threads, in user and system mode.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Reads the usage of the process `pid`.
///
/// # Errors
/// When the process does not exist.
pub fn usage(pid: u32) -> Result<Usage> {
    let read = |file: &str| {
        let path = format!("/proc/{pid}/{file}");
        fs::read_to_string(&path).map_err(|e| Error::Request {
            text: format!("{path}: {e}"),
        })
    };
    let stat = read("stat")?;
    // Fields after the name in parentheses: state is the first, utime and stime 12th and 13th.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse::<u64>().ok());
    let rate = rustix::param::clock_ticks_per_second();
    let micros = ticks.sum::<u64>() * 1_000_000 / rate.max(1);
    let status = read("status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    Ok(Usage {
        cpu: Duration::from_micros(micros),
        resident: kilobytes.unwrap_or_default() * KILO,
    })
}
