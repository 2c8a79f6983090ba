//! What operators see of the dispatcher.

use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;

use super::dispatcher::Dispatcher;
use super::queues::ClassKey;
use crate::clock::Now;

/// State of the dispatcher for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Status {
    /// Waiting tasks.
    pub waiting: u32,
    /// Running tasks.
    pub running: u32,
    /// Classes by name.
    pub classes: Vec<ClassStatus>,
    /// Workers by name.
    pub workers: Vec<WorkerStatus>,
}

/// State of a class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassStatus {
    /// Name.
    pub name: SmolStr,
    /// Target.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Whether the class is in the configuration.
    pub configured: bool,
    /// Waiting tasks.
    pub waiting: u32,
    /// Running tasks.
    pub running: u32,
    /// Age of the oldest job with waiting tasks, in milliseconds.
    pub oldest_ms: u64,
    /// Learned run time on a worker of speed 1, in milliseconds; 0 when unknown.
    pub typical_ms: f64,
    /// High quantile of the learned run time, in milliseconds; 0 when unknown.
    pub high_ms: f64,
}

/// State of a worker.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Name.
    pub name: SmolStr,
    /// Zone.
    pub zone: SmolStr,
    /// Slots.
    pub slots: u32,
    /// Unused credits held here.
    pub credits: u32,
    /// Tasks of this process running there.
    pub running: u32,
    /// Learned relative speed.
    pub speed: f64,
    /// Whether it is held back because it fails what it starts.
    pub held_back: bool,
}

impl Dispatcher {
    /// State for operators.
    #[must_use]
    pub fn status(&self, now: Now) -> Status {
        let mut classes: Vec<_> = self
            .queues
            .classes
            .iter()
            .map(|(key, class)| {
                let oldest = self
                    .oldest_arrival(key)
                    .map_or(Duration::ZERO, |o| now.since(o));
                ClassStatus {
                    name: class.name.clone(),
                    target: class.target,
                    configured: class.configured,
                    waiting: class.waiting,
                    running: class.running,
                    oldest_ms: u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX),
                    typical_ms: class.run_time.typical_s() * 1e3,
                    high_ms: class.run_time.high_s() * 1e3,
                }
            })
            .collect();
        classes.sort_by(|a, b| a.name.cmp(&b.name));
        let mut workers: Vec<_> = self
            .workers
            .values()
            .map(|worker| WorkerStatus {
                name: worker.name.clone(),
                zone: worker.zone.clone(),
                slots: worker.slots,
                credits: worker.credits,
                running: worker.running,
                speed: worker.speed.factor(),
                held_back: worker.health.is_held_back(),
            })
            .collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        Status {
            waiting: self.queues.waiting,
            running: self.queues.running,
            classes,
            workers,
        }
    }

    /// Arrival of the first jobs in the queues of a class.
    fn oldest_arrival(&self, class: ClassKey) -> Option<Duration> {
        let fronts = self.queues.first_jobs(class);
        fronts
            .filter_map(|f| self.jobs.get(f.1))
            .map(|j| j.arrived)
            .min()
    }
}
