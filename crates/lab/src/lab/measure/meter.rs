//! Sums over the processes of a role.

use std::time::Duration;

use super::super::error::Result;
use crate::cluster::{Cluster, Role, usage};

/// Usage of all processes of a role together.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Total {
    /// Processes.
    pub(super) count: u32,
    /// Processor time so far.
    pub(super) cpu: Duration,
    /// Resident memory in bytes.
    pub(super) resident: u64,
    /// Frames sent so far.
    pub(super) frames_out: f64,
    /// Bytes of frames sent and received so far.
    pub(super) bytes: f64,
}

impl Total {
    /// What was used between `before` and this.
    pub(super) fn since(self, before: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(before.cpu),
            frames_out: self.frames_out - before.frames_out,
            bytes: self.bytes - before.bytes,
            ..self
        }
    }

    /// Microseconds of processor time per process and second.
    pub(super) fn cpu_rate(self, window: Duration) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / window.as_secs_f64() / f64::from(self.count.max(1))
    }

    /// Bytes of frames per process and second.
    pub(super) fn byte_rate(self, window: Duration) -> f64 {
        self.bytes / window.as_secs_f64() / f64::from(self.count.max(1))
    }

    /// Resident kilobytes per process.
    pub(super) fn resident_kb(self) -> u64 {
        self.resident / 1024 / u64::from(self.count.max(1))
    }
}

/// Reads usage and frame counters of all processes of a role.
///
/// # Errors
/// When one has ended or does not answer.
pub(super) async fn read(cluster: &Cluster, role: Role) -> Result<Total> {
    let mut total = Total::default();
    for name in cluster.names(role) {
        // The request for metrics costs processor time too: the usage is read first at the end
        // of a window as at its start, so one request per process lies within the window.
        let usage = usage(cluster.node(name)?.pid())?;
        total.count += 1;
        total.cpu += usage.cpu;
        total.resident += usage.resident;
        for sample in cluster.metrics(name).await? {
            if sample.name.ends_with("link_bytes_total") {
                total.bytes += sample.value;
            }
            if sample.name.ends_with("link_frames_total") && sample.labels.contains("\"out\"") {
                total.frames_out += sample.value;
            }
        }
    }
    Ok(total)
}
