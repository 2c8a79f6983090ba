//! Metrics of the scheduler.

use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::io::Answer;

/// Upper bounds of the response time histogram, in seconds.
const RESPONSE_BOUNDS_S: [f64; 12] = [
    0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 4.0, 8.0,
];

/// Metrics of the scheduler of an entry process.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Jobs submitted.
    pub submitted: Counter,
    /// Submissions answered with [`Answer::NotRun`].
    pub refused: Counter,
    /// Jobs answered as completed.
    pub completed: Counter,
    /// Jobs answered as failed.
    pub failed: Counter,
    /// Jobs cancelled or abandoned, including those whose caller disconnected, but not those
    /// answered with [`Answer::NotRun`].
    pub given_up: Counter,
    /// `RunOrders` frames sent to agents, including those that only claim, stop or settle runs.
    pub orders: Counter,
    /// Number of times a worker was held back after failed or stalled runs.
    pub held_back: Counter,
    /// Jobs given up because a task crashes workers.
    pub crashing: Counter,
    /// Number of times a queue was confined to reserved workers.
    pub confined: Counter,
    /// Jobs that have had nothing running for long, though tasks of theirs could.
    pub stalled_jobs: Gauge,
    /// Version of the configuration in use.
    pub config_version: Gauge,
    /// Wall-clock time at which the store last confirmed the configuration, in seconds since 1970.
    pub config_confirmed: Gauge,
    /// Time from submission to answer of completed jobs.
    pub response: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            submitted: Counter::default(),
            refused: Counter::default(),
            completed: Counter::default(),
            failed: Counter::default(),
            given_up: Counter::default(),
            orders: Counter::default(),
            held_back: Counter::default(),
            crashing: Counter::default(),
            confined: Counter::default(),
            stalled_jobs: Gauge::default(),
            config_version: Gauge::default(),
            config_confirmed: Gauge::default(),
            response: Histogram::new(RESPONSE_BOUNDS_S),
        }
    }
}

impl Metrics {
    /// Registers all metrics with `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            ("jobs_submitted", "Jobs submitted", &self.submitted),
            ("jobs_refused", "Jobs refused as not run", &self.refused),
            (
                "jobs_completed",
                "Jobs answered as completed",
                &self.completed,
            ),
            ("jobs_failed", "Jobs answered as failed", &self.failed),
            (
                "jobs_given_up",
                "Jobs given up or cancelled",
                &self.given_up,
            ),
            ("orders_sent", "Frames with orders to agents", &self.orders),
            (
                "workers_held_back",
                "Times a worker was held back",
                &self.held_back,
            ),
            (
                "jobs_crashing",
                "Jobs given up because a task crashes workers",
                &self.crashing,
            ),
            (
                "queues_confined",
                "Times a queue was confined to reserved workers",
                &self.confined,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let help = "Jobs that have waited for long with nothing running";
        registry.register("jobs_stalled", help, self.stalled_jobs.clone());
        let help = "Version of the configuration in force";
        registry.register("config_version", help, self.config_version.clone());
        let help =
            "Time at which the store last confirmed the configuration, in seconds since 1970";
        registry.register("config_confirmed", help, self.config_confirmed.clone());
        let help = "Time from submission to answer of completed jobs";
        registry.register("job_response_seconds", help, self.response.clone());
    }

    /// Counts an ended job by its answer, and records the response time of a completed one.
    pub(super) fn observe_end(&self, answer: &Answer, took: Duration) {
        match answer {
            Answer::Completed => {
                self.completed.inc();
                self.response.observe(took.as_secs_f64());
            }
            Answer::Failed => {
                self.failed.inc();
            }
            Answer::NotRun { .. } => {
                self.refused.inc();
            }
            _ => {
                self.given_up.inc();
            }
        }
    }
}
