//! Blame of queues for crashes of workers.

use std::time::Duration;

use knapweedwall_wire as wire;

/// Time in which the blame of a queue falls to 1/e.
const BLAME_DECAY: Duration = Duration::from_secs(5);

/// Blame, in crashes, from which on a queue is confined. A single job causes at most 1.
const CONFINEMENT_BLAME: f64 = 1.3;

/// Proved blame from which on a queue is confined: that of one job some seconds ago.
const CONFINEMENT_PROOF: f64 = 0.4;

/// Blame, in crashes, below which a confined queue is released.
const RELEASE_BLAME: f64 = 0.6;

/// Blame, in crashes, below which a queue is no longer reported to peers.
const FORGOTTEN_BLAME: f64 = 0.001;

/// Upper bound of the blame of a queue, in crashes. Bounds the time until its release.
const MAX_BLAME: f64 = 4.0;

/// Decaying blame of a queue: expected number of its jobs that crash workers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Blame {
    pub(super) total: f64,
    /// The part that is proved, because an isolated job was alone on the worker.
    pub(super) proved: f64,
    /// Time for which the blame is given.
    pub(super) since: Duration,
}

impl Blame {
    /// Decodes the blame that a peer reports.
    pub(super) fn from_report(report: &wire::QueueBlame) -> Self {
        Self {
            total: f64::from(report.blame) / 1_000.0,
            proved: f64::from(report.proved) / 1_000.0,
            since: Duration::ZERO,
        }
    }

    /// Returns the blame that is left at `now`.
    pub(super) fn at(self, now: Duration) -> Self {
        let age = now.saturating_sub(self.since).as_secs_f64();
        let left = (-age / BLAME_DECAY.as_secs_f64()).exp();
        Self {
            total: self.total * left,
            proved: self.proved * left,
            since: now,
        }
    }

    /// Returns the sum of both.
    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            total: (self.total + other.total).min(MAX_BLAME),
            proved: (self.proved + other.proved).min(MAX_BLAME),
            since: self.since,
        }
    }

    /// Returns whether the queue is to be confined. Without proof it is not: workers may crash by
    /// themselves.
    pub(super) fn confines(self) -> bool {
        self.total >= CONFINEMENT_BLAME && self.proved >= CONFINEMENT_PROOF
    }

    /// Returns whether a queue that is confined stays so.
    pub(super) fn keeps_confined(self) -> bool {
        self.total >= RELEASE_BLAME
    }

    /// Returns whether the blame has decayed to nothing.
    pub(super) fn is_forgotten(self) -> bool {
        self.total < FORGOTTEN_BLAME
    }
}
