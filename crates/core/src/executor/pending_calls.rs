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
    RenewLease,
    /// Finding out what became of starts without an answer.
    Probe,
}

/// A call without an outcome.
#[derive(Debug, Clone)]
pub(super) struct PendingCall {
    pub(super) purpose: Purpose,
    /// Lifetime of the worker that it was made to.
    pub(super) generation: u32,
    /// Fence that it carries.
    pub(super) fence: u64,
    /// Ends up to this number were taken when it was made.
    pub(super) acknowledged: u64,
    /// Time when it was made.
    pub(super) made_at: Duration,
}

/// All calls without an outcome.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    pending: DeterministicMap<CallKey, PendingCall>,
    last_key: u64,
    /// Waiting holds and when the last one was made.
    renewals: u32,
    last_renewal_at: Duration,
    probes: u32,
    others: u32,
}

impl PendingCalls {
    pub(super) fn add(&mut self, call: PendingCall) -> CallKey {
        self.last_key += 1;
        *self.counter(&call.purpose) += 1;
        if call.purpose == Purpose::RenewLease {
            self.last_renewal_at = call.made_at;
        }
        let key = CallKey(self.last_key);
        self.pending.insert(key, call);
        key
    }

    /// Takes a call whose outcome has come; None for one to an earlier lifetime.
    pub(super) fn complete(&mut self, key: CallKey, generation: u32) -> Option<PendingCall> {
        let call = self.pending.remove(&key)?;
        if call.generation != generation {
            return None;
        }
        *self.counter(&call.purpose) -= 1;
        Some(call)
    }

    /// Forgets the counts of calls to an earlier lifetime.
    pub(super) fn reset_counts(&mut self) {
        self.renewals = 0;
        self.probes = 0;
    }

    /// Whether a hold is on its way that was made after `since`. An older one has lost its answer.
    pub(super) fn is_renewing(&self, since: Duration) -> bool {
        self.renewals > 0 && self.last_renewal_at >= since
    }

    /// Time of the last hold.
    pub(super) fn last_renewal(&self) -> Duration {
        self.last_renewal_at
    }

    pub(super) fn is_probing(&self) -> bool {
        self.probes > 0
    }

    fn counter(&mut self, purpose: &Purpose) -> &mut u32 {
        match purpose {
            Purpose::RenewLease => &mut self.renewals,
            Purpose::Probe => &mut self.probes,
            Purpose::Start(_) | Purpose::Stop(_) => &mut self.others,
        }
    }
}
