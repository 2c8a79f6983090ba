//! What a stand-in reports to the test.

use super::runs::RunKey;

/// Told of each start and end as it takes effect on a worker.
pub trait Watcher: std::fmt::Debug + Send + Sync + 'static {
    /// A run has started.
    fn started(&self, worker: usize, run: &RunKey, spec: &str);

    /// A run has ended, `lost` when its worker is gone.
    fn ended(&self, worker: usize, run: &RunKey, cause: &'static str);

    /// A worker crashes; the ends of its runs are reported next. `lost` are these runs, and those whose
    /// end was not acknowledged: nobody may ever learn of it.
    fn crashed(&self, worker: usize, lost: &[RunKey]);

    /// The end `done` of a run was acknowledged, and its lease had not lapsed meanwhile.
    fn noted(&self, run: &RunKey);

    /// An agent has acknowledged that the worker is leaving.
    fn leaving(&self, worker: usize);

    /// A new lifetime of the worker has begun.
    fn renewed(&self, worker: usize);
}
