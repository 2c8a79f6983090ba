//! What runs on a worker, without network. Times are of the worker's clock, in milliseconds.

use std::collections::{BTreeMap, VecDeque};

/// Ends that one answer lists.
const LISTED_ENDS: usize = 500;

/// A run: the task's name and the number of its start.
pub type RunKey = (String, u64);

/// A start as it is ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The run.
    pub run: RunKey,
    /// What it runs.
    pub spec: String,
    /// End of the lease.
    pub lease_ms: u64,
    /// Fence of the call.
    pub fence: u64,
}

/// A run that has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Number of its start.
    pub attempt: u64,
    /// What it runs.
    pub spec: String,
    /// Time of the start.
    pub started_ms: u64,
    /// Time that it takes; none when it never ends.
    pub length_ms: Option<u64>,
    /// Whether it was told to stop.
    pub stopping: bool,
}

impl Run {
    /// Progress in percent at `now_ms`.
    #[must_use]
    pub fn percent(&self, now_ms: u64) -> u64 {
        let Some(length) = self.length_ms else {
            return 0;
        };
        let passed = now_ms.saturating_sub(self.started_ms);
        (passed * 100 / length.max(1)).min(100)
    }
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fence.
    Fence,
    /// The attempt is not higher than one that was stopped or has ended.
    Old,
    /// The lease has passed.
    Late,
}

impl Refusal {
    /// Its name on the wire.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::Old => "old",
            Self::Late => "late",
        }
    }
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Number of the end, from 1.
    pub number: u64,
    /// The run.
    pub run: RunKey,
    /// How it ended: `done`, `failed`, `stopped` or `lapsed`.
    pub cause: &'static str,
}

/// The worker's lists.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Holding {
    /// What runs: task, attempt, percent.
    pub running: Vec<(String, u64, u64)>,
    /// What ended and was not acknowledged.
    pub ended: Vec<End>,
}

/// What runs on a worker in one lifetime.
#[derive(Debug, Default)]
pub struct Runs {
    running: BTreeMap<String, Run>,
    /// Highest attempt that was stopped or has ended, by task.
    barred: BTreeMap<String, u64>,
    ended: VecDeque<End>,
    /// Ends `done` that were not acknowledged, and whether the lease has lapsed since.
    done: BTreeMap<u64, (RunKey, bool)>,
    ends: u64,
    fence: u64,
    lease_ms: u64,
}

impl Runs {
    /// Attempt of a task that runs; a start of a higher one takes its place.
    #[must_use]
    pub fn attempt(&self, task: &str) -> Option<u64> {
        self.running.get(task).map(|run| run.attempt)
    }

    /// Starts a run. True when it is new, false when it was there already.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn start(
        &mut self,
        now_ms: u64,
        start: Start,
        length_ms: Option<u64>,
    ) -> Result<bool, Refusal> {
        self.check_fence(start.fence)?;
        self.pass(now_ms);
        if start.lease_ms <= now_ms {
            return Err(Refusal::Late);
        }
        self.lease_ms = self.lease_ms.max(start.lease_ms);
        let (task, attempt) = start.run;
        if self.barred.get(&task).is_some_and(|&most| attempt <= most) {
            return Err(Refusal::Old);
        }
        match self.running.get(&task) {
            Some(run) if run.attempt == attempt => return Ok(false),
            Some(run) if run.attempt > attempt => return Err(Refusal::Old),
            _ => {}
        }
        let run = Run {
            attempt,
            spec: start.spec,
            started_ms: now_ms,
            length_ms,
            stopping: false,
        };
        self.running.insert(task, run);
        Ok(true)
    }

    /// Begins the stop of a run, or bars its start. True when the run is there.
    ///
    /// # Errors
    /// [`Refusal::Fence`].
    pub fn stop(&mut self, fence: u64, (task, attempt): &RunKey) -> Result<bool, Refusal> {
        self.check_fence(fence)?;
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(*attempt);
        let Some(run) = self.running.get_mut(task) else {
            return Ok(false);
        };
        run.stopping |= run.attempt <= *attempt;
        Ok(run.stopping)
    }

    /// Extends the lease and forgets acknowledged ends. Returns the runs whose end `done` counts
    /// from now on: it was acknowledged before the lease lapsed.
    ///
    /// # Errors
    /// [`Refusal::Fence`].
    pub fn hold(
        &mut self,
        now_ms: u64,
        fence: u64,
        lease_ms: Option<u64>,
        acknowledged: u64,
    ) -> Result<Vec<RunKey>, Refusal> {
        self.check_fence(fence)?;
        self.pass(now_ms);
        self.lease_ms = self.lease_ms.max(lease_ms.unwrap_or_default());
        self.ended.retain(|end| end.number > acknowledged);
        let kept = self.done.split_off(&(acknowledged + 1));
        let noted = std::mem::replace(&mut self.done, kept);
        let noted = noted.into_values().filter(|(_, lapsed)| !lapsed);
        Ok(noted.map(|(run, _)| run).collect())
    }

    /// Notes when the lease has lapsed: earlier ends count for nothing.
    fn pass(&mut self, now_ms: u64) {
        if now_ms >= self.lease_ms {
            for end in self.done.values_mut() {
                end.1 = true;
            }
        }
    }

    /// Ends a run, if it is still there.
    pub fn end(&mut self, run: &RunKey, cause: &'static str) -> Option<Run> {
        if self.running.get(&run.0)?.attempt != run.1 {
            return None;
        }
        let ended = self.running.remove(&run.0)?;
        let barred = self.barred.entry(run.0.clone()).or_default();
        *barred = (*barred).max(run.1);
        self.ends += 1;
        if cause == "done" {
            self.done.insert(self.ends, (run.clone(), false));
        }
        self.ended.push_back(End {
            number: self.ends,
            run: run.clone(),
            cause,
        });
        Some(ended)
    }

    /// Runs whose lease has passed.
    #[must_use]
    pub fn lapsed(&mut self, now_ms: u64) -> Vec<RunKey> {
        self.pass(now_ms);
        if now_ms < self.lease_ms {
            return Vec::new();
        }
        self.keys()
    }

    /// All runs that have not ended.
    #[must_use]
    pub fn keys(&self) -> Vec<RunKey> {
        let running = self.running.iter();
        running
            .map(|(task, run)| (task.clone(), run.attempt))
            .collect()
    }

    /// Runs whose end was not acknowledged.
    pub fn unacknowledged(&self) -> impl Iterator<Item = RunKey> {
        self.ended.iter().map(|end| end.run.clone())
    }

    /// Whether an end was not acknowledged.
    #[must_use]
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// The lists.
    #[must_use]
    pub fn lists(&self, now_ms: u64) -> Holding {
        let running = self.running.iter();
        Holding {
            running: running
                .map(|(task, run)| (task.clone(), run.attempt, run.percent(now_ms)))
                .collect(),
            ended: self.ended.iter().take(LISTED_ENDS).cloned().collect(),
        }
    }

    fn check_fence(&mut self, fence: u64) -> Result<(), Refusal> {
        if fence < self.fence {
            return Err(Refusal::Fence);
        }
        self.fence = fence;
        Ok(())
    }
}
