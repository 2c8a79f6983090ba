//! What the endpoints say they started.

use std::collections::HashMap;

use knapweedwall_core::JobId;
use smol_str::SmolStr;

use crate::standin_endpoint::Start;

/// Starts at all endpoints of a run.
#[derive(Debug, Default)]
pub struct Ledgers {
    /// Starts by job key (32 hexadecimal digits) and position of the task.
    jobs: HashMap<SmolStr, HashMap<u32, u32>>,
}

impl Ledgers {
    /// Adds one start.
    pub fn add(&mut self, start: &Start) {
        let tasks = self.jobs.entry(start.job.clone()).or_default();
        *tasks.entry(start.index).or_default() += 1;
    }

    /// Number of tasks of the job `id` that started.
    #[must_use]
    pub fn started(&self, id: &str) -> u64 {
        let key = JobId::parse(id).map(|id| id.key().to_string());
        let tasks = key.ok().and_then(|key| self.jobs.get(key.as_str()));
        tasks.map_or(0, |tasks| u64::try_from(tasks.len()).unwrap_or(u64::MAX))
    }

    /// Number of all starts.
    #[must_use]
    pub fn total(&self) -> u64 {
        let counts = self.jobs.values().flat_map(HashMap::values);
        counts.map(|count| u64::from(*count)).sum()
    }

    /// Tasks that started more than once as `job key/position`, in order.
    #[must_use]
    pub fn doubled(&self) -> Vec<SmolStr> {
        let mut list = Vec::new();
        for (job, tasks) in &self.jobs {
            let twice = tasks.iter().filter(|(_, count)| **count > 1);
            list.extend(twice.map(|(index, _)| SmolStr::from(format!("{job}/{index}"))));
        }
        list.sort();
        list
    }
}
