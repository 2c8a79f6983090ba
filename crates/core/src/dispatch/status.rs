//! Dispatcher state that is shown to operators.

use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;

use super::dispatcher::Dispatcher;
use super::queues::ClassKey;
use crate::clock::Now;

/// State of the dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Status {
    /// Waiting tasks.
    pub waiting: u32,
    /// Running tasks.
    pub running: u32,
    /// Classes, sorted by name.
    pub classes: Vec<ClassStatus>,
    /// Workers, sorted by name.
    pub workers: Vec<WorkerStatus>,
}

/// State of a class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassStatus {
    /// Name.
    pub name: SmolStr,
    /// Target response time.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Whether the class is in the configuration.
    pub configured: bool,
    /// Waiting tasks.
    pub waiting: u32,
    /// Running tasks.
    pub running: u32,
    /// Age of the oldest job at the head of a queue of the class, in milliseconds; 0 if no tasks
    /// wait. A large job can be older and is not counted while smaller, newer jobs are ahead of it.
    pub oldest_ms: u64,
    /// Estimated typical run time on a worker of speed 1, in milliseconds; 0 if unknown.
    pub typical_ms: f64,
    /// Estimated 0.95 quantile of the run time on a worker of speed 1, in milliseconds; 0 if
    /// unknown.
    #[serde(rename = "high_ms")]
    pub p95_ms: f64,
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
    /// Unused credits held by this process.
    pub credits: u32,
    /// Tasks of this process that run on the worker.
    pub running: u32,
    /// Estimated relative speed.
    pub speed: f64,
    /// Whether the worker gets trial tasks only, because it fails too many tasks.
    pub held_back: bool,
}

impl Dispatcher {
    /// Current state for operators.
    #[must_use]
    pub fn status(&self, now: Now) -> Status {
        let mut classes: Vec<_> = self
            .queues
            .classes
            .iter()
            .map(|(key, class)| {
                let oldest_age = self
                    .oldest_arrival(key)
                    .map_or(Duration::ZERO, |arrived| now.since(arrived));
                ClassStatus {
                    name: class.name.clone(),
                    target: class.target,
                    configured: class.configured,
                    waiting: class.waiting,
                    running: class.running,
                    oldest_ms: u64::try_from(oldest_age.as_millis()).unwrap_or(u64::MAX),
                    typical_ms: class.run_time.typical_s() * 1e3,
                    p95_ms: class.run_time.p95_s() * 1e3,
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

    /// Earliest arrival among the first jobs in the queues of a class.
    fn oldest_arrival(&self, class: ClassKey) -> Option<Duration> {
        let first_jobs = self.queues.first_jobs(class);
        first_jobs
            .filter_map(|(_, job)| self.jobs.get(job))
            .map(|j| j.arrived)
            .min()
    }
}
