//! Metrics of an agent.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of an agent.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    /// Runs ordered by entry processes.
    pub ordered: Counter,
    /// Runs whose start the worker confirmed.
    pub started: Counter,
    /// Runs that ended with a result.
    pub done: Counter,
    /// Runs that failed.
    pub failed: Counter,
    /// Runs lost because their lease expired or their worker ended.
    pub lost: Counter,
    /// Runs that were stopped.
    pub stopped: Counter,
    /// Orders that were declined.
    pub declined: Counter,
    /// Start requests without a response from the worker.
    pub unclear: Counter,
    /// CPU in use, in thousandths of a core.
    pub used_cpu: Gauge,
}

impl Metrics {
    /// Registers all metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            ("runs_ordered", "Runs ordered", &self.ordered),
            (
                "runs_started",
                "Runs confirmed by the worker",
                &self.started,
            ),
            ("runs_done", "Runs that ended with a result", &self.done),
            ("runs_failed", "Runs that failed", &self.failed),
            (
                "runs_lost",
                "Runs lost with their lease or worker",
                &self.lost,
            ),
            ("runs_stopped", "Runs that were stopped", &self.stopped),
            ("runs_declined", "Orders that were declined", &self.declined),
            ("starts_unclear", "Starts without an answer", &self.unclear),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "used_cpu",
            "Processor in use, millicores",
            self.used_cpu.clone(),
        );
    }
}
