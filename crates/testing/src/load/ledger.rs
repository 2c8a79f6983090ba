//! What the endpoints say they started.

use std::collections::HashMap;

use smol_str::SmolStr;

/// One start in the ledger of an endpoint stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Result text of the payload, `<job id>/<index>`.
    pub result: SmolStr,
}

/// Starts at all endpoints of a run.
#[derive(Debug, Default)]
pub struct Ledgers {
    tasks: HashMap<SmolStr, u32>,
    jobs: HashMap<SmolStr, u64>,
}

impl Ledgers {
    /// Adds one start.
    pub fn add(&mut self, start: Start) {
        let job = start
            .result
            .rsplit_once('/')
            .map_or(start.result.as_str(), |(job, _)| job);
        *self.jobs.entry(job.into()).or_default() += 1;
        *self.tasks.entry(start.result).or_default() += 1;
    }

    /// Number of starts of tasks of this job.
    #[must_use]
    pub fn started(&self, job: &str) -> u64 {
        self.jobs.get(job).copied().unwrap_or_default()
    }

    /// Number of all starts.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.jobs.values().sum()
    }

    /// Tasks that started more than once, in order.
    #[must_use]
    pub fn doubled(&self) -> Vec<SmolStr> {
        let twice = self.tasks.iter().filter(|(_, count)| **count > 1);
        let mut list: Vec<SmolStr> = twice.map(|(task, _)| task.clone()).collect();
        list.sort();
        list
    }
}
