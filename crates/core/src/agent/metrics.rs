//! Metrics of the agent's state machine.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counters and gauges. Clones share their values.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    /// Tasks started on the endpoint.
    pub started: Counter,
    /// Tasks that ended with a result.
    pub done: Counter,
    /// Tasks that ended with a failure.
    pub failed: Counter,
    /// Tasks stopped by a cancellation.
    pub cancelled: Counter,
    /// Starts refused, for any reason.
    pub refused: Counter,
    /// Starts refused because the task is in the ledger or its job was settled recently.
    pub duplicates: Counter,
    /// Starts refused because of a superseded epoch.
    pub superseded: Counter,
    /// Fences answered.
    pub fences: Counter,
    /// Run ends that were dropped, because the run had already been aborted or is unknown.
    pub late: Counter,
    /// Credits recalled from entry processes.
    pub recalled: Counter,
    /// Entries in the ledger.
    pub ledger_entries: Gauge,
    /// Memory of the ledger in bytes.
    pub ledger_bytes: Gauge,
    /// Busy slots.
    pub busy: Gauge,
    /// Links to entry processes.
    pub links: Gauge,
}

impl Metrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "agent_started",
                "Tasks started on the endpoint",
                &self.started,
            ),
            ("agent_done", "Tasks that ended with a result", &self.done),
            (
                "agent_failed",
                "Tasks that ended with a failure",
                &self.failed,
            ),
            (
                "agent_cancelled",
                "Tasks stopped by a cancel",
                &self.cancelled,
            ),
            ("agent_refused", "Starts refused", &self.refused),
            (
                "agent_duplicates",
                "Starts refused as duplicate",
                &self.duplicates,
            ),
            (
                "agent_superseded",
                "Starts refused as superseded",
                &self.superseded,
            ),
            ("agent_fences", "Fences answered", &self.fences),
            ("agent_late", "Results of tasks stopped before", &self.late),
            ("agent_recalled", "Credits recalled", &self.recalled),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            (
                "agent_ledger_entries",
                "Entries in the ledger",
                &self.ledger_entries,
            ),
            (
                "agent_ledger_bytes",
                "Memory of the ledger",
                &self.ledger_bytes,
            ),
            ("agent_busy", "Busy slots", &self.busy),
            ("agent_links", "Links to entry processes", &self.links),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}
