//! Calls to the worker that have no outcome yet.

use std::time::Duration;

use super::io::CallKey;
use crate::deterministic::DeterministicMap;
use crate::job::RunId;

/// What a call is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Starting a run.
    Start(RunId),
    /// Stopping a run.
    Stop(RunId),
    /// Extending the lease and waiting for an end.
    Hold,
    /// Finding out what became of starts without an answer.
    Probe,
}

/// A call without an outcome.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) purpose: Purpose,
    /// Lifetime of the worker that it was made to.
    pub(super) life: u32,
    /// Fence that it carries.
    pub(super) fence: u64,
    /// Ends up to this number were taken when it was made.
    pub(super) taken: u64,
    /// Time when it was made.
    pub(super) made: Duration,
}

/// All calls without an outcome.
#[derive(Debug, Default)]
pub(super) struct Calls {
    open: DeterministicMap<CallKey, Call>,
    last: u64,
    /// Waiting holds and when the last one was made.
    holds: u32,
    held: Duration,
    probes: u32,
    others: u32,
}

impl Calls {
    pub(super) fn add(&mut self, call: Call) -> CallKey {
        self.last += 1;
        *self.counter(&call.purpose) += 1;
        if call.purpose == Purpose::Hold {
            self.held = call.made;
        }
        let key = CallKey(self.last);
        self.open.insert(key, call);
        key
    }

    /// Takes a call whose outcome has come; None for one to an earlier lifetime.
    pub(super) fn take(&mut self, key: CallKey, life: u32) -> Option<Call> {
        let call = self.open.remove(&key)?;
        if call.life != life {
            return None;
        }
        *self.counter(&call.purpose) -= 1;
        Some(call)
    }

    /// Forgets the counts of calls to an earlier lifetime.
    pub(super) fn begin_life(&mut self) {
        self.holds = 0;
        self.probes = 0;
    }

    /// Whether a hold is on its way that was made after `since`. An older one has lost its answer.
    pub(super) fn is_holding(&self, since: Duration) -> bool {
        self.holds > 0 && self.held >= since
    }

    /// Time of the last hold.
    pub(super) fn last_hold(&self) -> Duration {
        self.held
    }

    pub(super) fn is_probing(&self) -> bool {
        self.probes > 0
    }

    fn counter(&mut self, purpose: &Purpose) -> &mut u32 {
        match purpose {
            Purpose::Hold => &mut self.holds,
            Purpose::Probe => &mut self.probes,
            Purpose::Start(_) | Purpose::Stop(_) => &mut self.others,
        }
    }
}
