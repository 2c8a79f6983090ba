//! Metrics of the state machine of an entry process.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use smol_str::SmolStr;

use crate::deterministic::DeterministicMap;
use crate::dispatch::Status;

/// Names and values of labels.
type Labels = Vec<(&'static str, String)>;

/// Gauge of a floating-point value.
type FloatGauge = Gauge<f64, AtomicU64>;

/// Label value of jobs that completed.
const COMPLETE: &str = "complete";

/// Histogram with buckets from 1 ms to 65 s, each twice the previous one.
fn response_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

/// Metrics of an entry process. Clones share their values.
#[derive(Clone)]
pub struct Metrics {
    /// Ended jobs, by class and code.
    ended: Family<Labels, Counter>,
    /// Refused submissions, by class and code.
    refused: Family<Labels, Counter>,
    /// Response times of ended jobs in seconds, by class.
    response: Family<Labels, Histogram, fn() -> Histogram>,
    /// Target response times in seconds, by class.
    target: Family<Labels, FloatGauge>,
    /// Waiting tasks, by class.
    waiting: Family<Labels, Gauge>,
    /// Running tasks, by class.
    running: Family<Labels, Gauge>,
    /// Age in seconds of the oldest job with waiting tasks, by class.
    oldest: Family<Labels, FloatGauge>,
    /// Task starts sent to agents.
    pub starts: Counter,
    /// Requests forwarded to another entry process.
    pub forwarded: Counter,
    /// Shards claimed.
    pub claims: Counter,
    /// Durable journal rows.
    pub writes: Counter,
    /// Records in durable journal rows.
    pub records: Counter,
    /// Open jobs.
    pub open_jobs: Gauge,
    /// Known job ids, including those of open jobs.
    pub known_jobs: Gauge,
    /// Journal records that are not durable yet.
    pub journal_depth: Gauge,
    /// Shards owned by this process.
    pub shards: Gauge,
    /// 1 while the store is slow, 0 otherwise.
    pub store_slow: Gauge,
    /// Version of the current configuration.
    pub config_version: Gauge,
    /// Workers held back because tasks fail on them.
    pub held_back: Gauge,
    handles_by_class: DeterministicMap<SmolStr, ClassHandles>,
}

/// Metric handles of a class, which avoid a lookup by labels for each ended job.
#[derive(Clone)]
struct ClassHandles {
    complete: Counter,
    response: Histogram,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            ended: Family::default(),
            refused: Family::default(),
            response: Family::new_with_constructor(response_histogram),
            target: Family::default(),
            waiting: Family::default(),
            running: Family::default(),
            oldest: Family::default(),
            starts: Counter::default(),
            forwarded: Counter::default(),
            claims: Counter::default(),
            writes: Counter::default(),
            records: Counter::default(),
            open_jobs: Gauge::default(),
            known_jobs: Gauge::default(),
            journal_depth: Gauge::default(),
            shards: Gauge::default(),
            store_slow: Gauge::default(),
            config_version: Gauge::default(),
            held_back: Gauge::default(),
            handles_by_class: DeterministicMap::default(),
        }
    }
}

fn labels(class: &str) -> Labels {
    vec![("class", class.to_owned())]
}

fn labels_with(class: &str, code: &str) -> Labels {
    vec![("class", class.to_owned()), ("code", code.to_owned())]
}

impl Metrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        self.register_classes(registry);
        let counters = [
            ("entry_starts", "Task starts sent to agents", &self.starts),
            (
                "entry_forwarded",
                "Requests passed on to another entry process",
                &self.forwarded,
            ),
            ("entry_claims", "Shards claimed", &self.claims),
            (
                "entry_journal_writes",
                "Journal rows that are durable",
                &self.writes,
            ),
            (
                "entry_journal_records",
                "Records in durable journal rows",
                &self.records,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            ("entry_open_jobs", "Open jobs", &self.open_jobs),
            (
                "entry_known_jobs",
                "Job ids that are remembered",
                &self.known_jobs,
            ),
            (
                "entry_journal_depth",
                "Records that wait for the store",
                &self.journal_depth,
            ),
            ("entry_shards", "Shards served here", &self.shards),
            (
                "entry_store_slow",
                "1 while the store takes no writes in time",
                &self.store_slow,
            ),
            (
                "entry_config_version",
                "Configuration in force",
                &self.config_version,
            ),
            (
                "entry_held_back_workers",
                "Workers that are held back",
                &self.held_back,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    fn register_classes(&self, registry: &mut Registry) {
        registry.register("entry_jobs_ended", "Jobs that ended", self.ended.clone());
        registry.register(
            "entry_jobs_refused",
            "Submissions refused",
            self.refused.clone(),
        );
        let help = "Time from a job's arrival at its owner to its end";
        registry.register("entry_response_seconds", help, self.response.clone());
        registry.register("entry_target_seconds", "Targets", self.target.clone());
        registry.register("entry_waiting_tasks", "Waiting tasks", self.waiting.clone());
        registry.register("entry_running_tasks", "Running tasks", self.running.clone());
        let help = "Age of the oldest job with waiting tasks";
        registry.register("entry_oldest_seconds", help, self.oldest.clone());
    }

    /// Counts an ended job; `code` is empty if it completed.
    pub fn record_end(&mut self, class: &str, code: &str, response: Duration) {
        if !self.handles_by_class.contains_key(class) {
            let handles = ClassHandles {
                complete: self
                    .ended
                    .get_or_create(&labels_with(class, COMPLETE))
                    .clone(),
                response: self.response.get_or_create(&labels(class)).clone(),
            };
            self.handles_by_class.insert(class.into(), handles);
        }
        let Some(handles) = self.handles_by_class.get(class) else {
            return;
        };
        handles.response.observe(response.as_secs_f64());
        if code.is_empty() {
            handles.complete.inc();
        } else {
            self.ended.get_or_create(&labels_with(class, code)).inc();
        }
    }

    /// Counts a refused submission.
    ///
    /// Unknown classes share one label value, since callers choose the names.
    pub fn record_refusal(&self, class: &str, known: bool, code: &str) {
        let class = if known { class } else { "" };
        self.refused.get_or_create(&labels_with(class, code)).inc();
    }

    /// Updates the gauges of classes and workers.
    pub fn set_status(&self, status: &Status) {
        for class in &status.classes {
            let labels = labels(&class.name);
            self.target
                .get_or_create(&labels)
                .set(class.target.as_secs_f64());
            self.waiting
                .get_or_create(&labels)
                .set(i64::from(class.waiting));
            self.running
                .get_or_create(&labels)
                .set(i64::from(class.running));
            let oldest = Duration::from_millis(class.oldest_ms);
            self.oldest.get_or_create(&labels).set(oldest.as_secs_f64());
        }
        let held_back = status
            .workers
            .iter()
            .filter(|worker| worker.held_back)
            .count();
        self.held_back
            .set(i64::try_from(held_back).unwrap_or(i64::MAX));
    }
}
