//! Counts and latencies of the store.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Longest latency that is told apart: one hour, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;

/// Significant digits of the latencies.
const DIGITS: u8 = 3;

/// Distribution of a latency, in microseconds.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Recorded values.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Least value.
    pub min: u64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Greatest value.
    pub max: u64,
}

/// Counts since the start or the last reset.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Writes and reads that were accepted, including those not yet carried out.
    pub accepted: u64,
    /// Transactions, object writes and deletions that were carried out, conflicts included.
    pub writes: u64,
    /// Transactions whose conditions failed; part of `writes`.
    pub conflicts: u64,
    /// Reads of rows, scans and objects that were carried out.
    pub reads: u64,
    /// Requests above the rate limits.
    pub rejected: u64,
    /// Requests declined as unavailable or left without an answer in an outage.
    pub refused: u64,
    /// Malformed or oversized requests.
    pub invalid: u64,
    /// Writes that took effect and whose reply was withheld.
    pub lost: u64,
    /// Bytes of values in rows and objects written.
    pub bytes: u64,
    /// Time from the arrival of a write to its effect, microseconds.
    pub latency: Latency,
}

/// Collects [`Stats`].
#[derive(Debug)]
pub(super) struct Recorder {
    pub(super) counts: Stats,
    latency: Histogram<u64>,
}

impl Recorder {
    /// Nothing recorded.
    pub(super) fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            counts: Stats::default(),
            latency: Histogram::new_with_max(MAX_MICROS, DIGITS)?,
        })
    }

    /// Records the latency of a write.
    pub(super) fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
    }

    /// Forgets everything.
    pub(super) fn reset(&mut self) {
        self.counts = Stats::default();
        self.latency.reset();
    }

    /// The present numbers.
    pub(super) fn stats(&self) -> Stats {
        let at = |quantile| self.latency.value_at_quantile(quantile);
        let latency = Latency {
            count: self.latency.len(),
            mean: self.latency.mean(),
            min: self.latency.min(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: self.latency.max(),
        };
        Stats {
            latency,
            ..self.counts.clone()
        }
    }
}
